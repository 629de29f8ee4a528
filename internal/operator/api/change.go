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

// Longest accepted texts, in bytes.
const (
	maxIDLength     = 64
	maxAuthorLength = 128
	maxNameLength   = 64
)

// maxAttempts bounds how often a change of service is applied when others
// change the catalogue at the same time. Such a change does not depend on the
// other changes, so it can be repeated on a newer version.
const maxAttempts = 5

// apply serves a change that the operator bases on a version.
func (h *Handler) apply(w http.ResponseWriter, r *http.Request) (any, error) {
	var a message.ApplyRequest
	if err := h.decode(w, r, &a); err != nil {
		return nil, err
	}
	if a.Base == nil {
		return nil, galenalatch.KindBadRequest.Errorf("base: a missing field is not allowed; allowed: the version that the change starts from")
	}
	// The store sets both fields.
	a.Change.Version, a.Change.At = 0, time.Time{}
	if a.Change.ID == "" {
		a.Change.ID = uuid.NewString()
	}
	if err := checkIDAndAuthor(a.Change); err != nil {
		return nil, err
	}
	if len(a.Change.PutRouters)+len(a.Change.RemoveRouters) > 0 {
		// Majorities overlap only if the list of routers follows the
		// accepted versions.
		return nil, galenalatch.KindBadRequest.Errorf("change: putRouters and removeRouters are not allowed; the routers follow the instance list by themselves")
	}
	if isEmpty(a.Change) {
		return nil, galenalatch.KindBadRequest.Errorf("change: an empty change is not allowed; allowed: at least one put or remove field")
	}
	v, err := h.store.Apply(r.Context(), *a.Base, a.Change)
	return h.awaitAccepted(r.Context(), a.Change, v, err)
}

// checkIDAndAuthor returns an error if one of them is empty, too long or not
// printable ASCII.
func checkIDAndAuthor(ch galenalatch.Change) error {
	if !isPrintable(ch.ID, maxIDLength) {
		return galenalatch.KindBadRequest.Errorf("id: %.64q is not allowed; allowed: 1 to %d printable ASCII characters", ch.ID, maxIDLength)
	}
	if !isPrintable(ch.Author, maxAuthorLength) {
		return galenalatch.KindBadRequest.Errorf("author: %.64q is not allowed; allowed: 1 to %d printable ASCII characters", ch.Author, maxAuthorLength)
	}
	return nil
}

func isPrintable(s string, maxLength int) bool {
	return s != "" && len(s) <= maxLength && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' })
}

func isEmpty(ch galenalatch.Change) bool {
	return len(ch.PutPools)+len(ch.RemovePools)+len(ch.PutWorkspaces)+len(ch.RemoveWorkspaces)+
		len(ch.PutEntries)+len(ch.RemoveEntries)+len(ch.PutOut)+len(ch.RemoveOut)+
		len(ch.PutServersOut)+len(ch.RemoveServersOut) == 0 && ch.DefaultLimits == nil
}

// awaitAccepted waits until more than half of the routers hold version v. After
// the accept timeout it returns a result with the state Pending. An error of
// the change itself is passed to the observer and returned.
func (h *Handler) awaitAccepted(ctx context.Context, ch galenalatch.Change, v galenalatch.Version, err error) (any, error) {
	if err != nil {
		h.observe(ch, message.ApplyResult{}, err)
		return nil, err
	}
	res := message.ApplyResult{State: message.Pending, Version: v, ID: ch.ID}
	ctx, cancel := context.WithTimeout(ctx, h.acceptTimeout)
	defer cancel()
	tick := time.NewTicker(h.pollInterval)
	defer tick.Stop()
	for {
		res.Holders, res.Total = h.fleet.CountHolders(v)
		if 2*res.Holders > res.Total {
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
	match := func(i galenalatch.Instance) bool { return i.DataCentre == d }
	return h.changeService(w, r, match, func(out bool) galenalatch.Change {
		if out {
			return galenalatch.Change{PutOut: []galenalatch.DataCentre{d}}
		}
		return galenalatch.Change{RemoveOut: []galenalatch.DataCentre{d}}
	})
}

func (h *Handler) server(w http.ResponseWriter, r *http.Request) (any, error) {
	s := galenalatch.ServerID(r.PathValue("name"))
	match := func(i galenalatch.Instance) bool {
		return i.Role == galenalatch.ServerRole && i.ID == string(s)
	}
	return h.changeService(w, r, match, func(out bool) galenalatch.Change {
		if out {
			return galenalatch.Change{PutServersOut: []galenalatch.ServerID{s}}
		}
		return galenalatch.Change{RemoveServersOut: []galenalatch.ServerID{s}}
	})
}

// changeService takes a data centre or backend server out of service or back
// in. The change is stored even if it is already in this router's catalogue,
// since that catalogue may be older than the current one.
func (h *Handler) changeService(w http.ResponseWriter, r *http.Request, match func(galenalatch.Instance) bool,
	change func(out bool) galenalatch.Change) (any, error) {
	name, direction := r.PathValue("name"), r.PathValue("way")
	if direction != "out" && direction != "in" {
		return nil, galenalatch.KindNotFound.Errorf("%.20q is not served; allowed: out, in", direction)
	}
	if !isPrintable(name, maxNameLength) {
		return nil, galenalatch.KindBadRequest.Errorf("name: %.64q is not allowed; allowed: 1 to %d printable ASCII characters", name, maxNameLength)
	}
	var s message.ServiceRequest
	if err := h.decode(w, r, &s); err != nil {
		return nil, err
	}
	if s.ID == "" {
		s.ID = uuid.NewString()
	}
	ch := change(direction == "out")
	ch.ID, ch.Author = s.ID, s.Author
	if err := checkIDAndAuthor(ch); err != nil {
		return nil, err
	}
	if direction == "out" && !s.Force && !h.inInstanceList(match) {
		return nil, galenalatch.KindNotFound.Errorf("name: %q is not in the instance list; allowed: a listed name, or any name with force", name)
	}
	v, err := h.applyWithRetry(r.Context(), ch)
	return h.awaitAccepted(r.Context(), ch, v, err)
}

func (h *Handler) inInstanceList(match func(galenalatch.Instance) bool) bool {
	for _, i := range h.fleet.Instances() {
		if match(i) {
			return true
		}
	}
	return false
}

// applyWithRetry applies a change to the current version, and after a conflict
// to the version that caused it.
func (h *Handler) applyWithRetry(ctx context.Context, ch galenalatch.Change) (v galenalatch.Version, err error) {
	for range maxAttempts {
		v, err = h.store.Apply(ctx, h.store.Current().Version, ch)
		if galenalatch.KindOf(err) != galenalatch.KindConflict || ctx.Err() != nil {
			return v, err
		}
	}
	return v, err
}
