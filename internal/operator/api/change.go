package api

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/message"
)

// Bounds of the texts of a change.
const (
	maxID     = 64
	maxAuthor = 128
	maxName   = 64
)

// attempts bounds how often a change of service is applied again after it
// lost a race. Such a change does not depend on what the others did.
const attempts = 5

func (h *Handler) apply(w http.ResponseWriter, r *http.Request) (any, error) {
	var a message.Apply
	if err := h.decode(w, r, &a); err != nil {
		return nil, err
	}
	if a.Base == nil {
		return nil, galenalatch.KindBadRequest.Errorf("base: a missing field is not allowed; allowed: the version that the change starts from")
	}
	// The store sets these.
	a.Change.Version, a.Change.At = 0, time.Time{}
	if a.Change.ID == "" {
		a.Change.ID = uuid.NewString()
	}
	if err := identity(a.Change); err != nil {
		return nil, err
	}
	if len(a.Change.PutRouters)+len(a.Change.RemoveRouters) > 0 {
		// A list that does not follow the accepted versions would break the
		// overlap of majorities.
		return nil, galenalatch.KindBadRequest.Errorf("change: putRouters and removeRouters are not allowed; the routers follow the instance list by themselves")
	}
	if empty(a.Change) {
		return nil, galenalatch.KindBadRequest.Errorf("change: an empty change is not allowed; allowed: at least one put or remove field")
	}
	v, err := h.store.Apply(r.Context(), *a.Base, a.Change)
	return h.finish(r.Context(), a.Change, v, err)
}

// identity checks the texts that identify a change.
func identity(ch galenalatch.Change) error {
	if !printable(ch.ID, maxID) {
		return galenalatch.KindBadRequest.Errorf("id: %.64q is not allowed; allowed: 1 to %d printable ASCII characters", ch.ID, maxID)
	}
	if !printable(ch.Author, maxAuthor) {
		return galenalatch.KindBadRequest.Errorf("author: %.64q is not allowed; allowed: 1 to %d printable ASCII characters", ch.Author, maxAuthor)
	}
	return nil
}

func printable(s string, most int) bool {
	return s != "" && len(s) <= most && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' })
}

func empty(ch galenalatch.Change) bool {
	return len(ch.PutPools)+len(ch.RemovePools)+len(ch.PutWorkspaces)+len(ch.RemoveWorkspaces)+
		len(ch.PutEntries)+len(ch.RemoveEntries)+len(ch.PutOut)+len(ch.RemoveOut)+
		len(ch.PutServersOut)+len(ch.RemoveServersOut) == 0 && ch.DefaultLimits == nil
}

// finish waits until more than half of the routers hold the version, and
// says that the change is pending when that takes too long.
func (h *Handler) finish(ctx context.Context, ch galenalatch.Change, v galenalatch.Version, err error) (any, error) {
	if err != nil {
		h.observe(ch, message.Result{}, err)
		return nil, err
	}
	res := message.Result{State: message.Pending, Version: v, ID: ch.ID}
	ctx, cancel := context.WithTimeout(ctx, h.wait)
	defer cancel()
	tick := time.NewTicker(h.poll)
	defer tick.Stop()
	for {
		res.Held, res.Total = h.fleet.Accepted(v)
		if 2*res.Held > res.Total {
			res.State = message.Accepted
			break
		}
		select {
		case <-tick.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	h.observe(ch, res, nil)
	return res, nil
}

func (h *Handler) dataCentre(w http.ResponseWriter, r *http.Request) (any, error) {
	d := galenalatch.DataCentre(r.PathValue("name"))
	known := func(i galenalatch.Instance) bool { return i.DataCentre == d }
	return h.service(w, r, known, func(out bool) galenalatch.Change {
		if out {
			return galenalatch.Change{PutOut: []galenalatch.DataCentre{d}}
		}
		return galenalatch.Change{RemoveOut: []galenalatch.DataCentre{d}}
	})
}

func (h *Handler) server(w http.ResponseWriter, r *http.Request) (any, error) {
	s := galenalatch.ServerID(r.PathValue("name"))
	known := func(i galenalatch.Instance) bool {
		return i.Role == galenalatch.ServerRole && i.ID == string(s)
	}
	return h.service(w, r, known, func(out bool) galenalatch.Change {
		if out {
			return galenalatch.Change{PutServersOut: []galenalatch.ServerID{s}}
		}
		return galenalatch.Change{RemoveServersOut: []galenalatch.ServerID{s}}
	})
}

// service takes something out of service or back in. The change is stored
// even when the catalogue of this router says so already: it may be old.
func (h *Handler) service(w http.ResponseWriter, r *http.Request, known func(galenalatch.Instance) bool,
	change func(out bool) galenalatch.Change) (any, error) {
	name, way := r.PathValue("name"), r.PathValue("way")
	if way != "out" && way != "in" {
		return nil, galenalatch.KindNotFound.Errorf("%.20q is not served; allowed: out, in", way)
	}
	if !printable(name, maxName) {
		return nil, galenalatch.KindBadRequest.Errorf("name: %.64q is not allowed; allowed: 1 to %d printable ASCII characters", name, maxName)
	}
	var s message.Service
	if err := h.decode(w, r, &s); err != nil {
		return nil, err
	}
	if s.ID == "" {
		s.ID = uuid.NewString()
	}
	ch := change(way == "out")
	ch.ID, ch.Author = s.ID, s.Author
	if err := identity(ch); err != nil {
		return nil, err
	}
	if way == "out" && !s.Force && !h.listed(known) {
		return nil, galenalatch.KindNotFound.Errorf("name: %q is not in the instance list; allowed: a listed name, or any name with force", name)
	}
	v, err := h.applyAgain(r.Context(), ch)
	return h.finish(r.Context(), ch, v, err)
}

func (h *Handler) listed(known func(galenalatch.Instance) bool) bool {
	for _, i := range h.fleet.Instances() {
		if known(i) {
			return true
		}
	}
	return false
}

// applyAgain applies a change to the current version, and after a conflict
// to the version that won.
func (h *Handler) applyAgain(ctx context.Context, ch galenalatch.Change) (v galenalatch.Version, err error) {
	for range attempts {
		v, err = h.store.Apply(ctx, h.store.Current().Version, ch)
		if galenalatch.KindOf(err) != galenalatch.KindConflict || ctx.Err() != nil {
			return v, err
		}
	}
	return v, err
}
