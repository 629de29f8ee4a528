package router

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/freshness"
	"github.com/galenalatch/galenalatch/internal/peer/gossip"
	"github.com/galenalatch/galenalatch/internal/platform/leases"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// joinGossip makes the exchange of versions and holders with other routers.
func (r *Router) joinGossip() error {
	var err error
	r.gossip, err = gossip.New(gossip.Options{
		Self:    r.settings.ID,
		Send:    r.mesh.Send,
		Changes: changes{r},
		Head: func(ctx context.Context) (galenalatch.Version, error) {
			v, _, err := r.catalogue.Confirm(ctx)
			if ctx.Err() != context.Canceled {
				r.platform.note(err)
			}
			return v, err
		},
		FreshChanged: func(fresh bool, reason freshness.Reason) {
			n := events.CatalogueStale
			switch {
			case fresh:
				n = events.CatalogueFresh
			case reason == freshness.Starting:
				return
			}
			r.log.Event(n, "reason", reason, "version", r.catalogue.Current().Version)
		},
		HolderChanged: func(h galenalatch.Holder) {
			if h.Router != r.settings.ID {
				r.leases.Heard(h.Cell, h.Epoch)
			}
		},
	})
	return err
}

// changes gives peers the catalogue's changes and takes in theirs.
type changes struct {
	router *Router
}

// ChangesAfter implements gossip.Changes.
func (c changes) ChangesAfter(v galenalatch.Version) [][]byte {
	return c.router.catalogue.ChangesAfter(v)
}

// Learn implements gossip.Changes.
func (c changes) Learn(encoded [][]byte) error {
	_, err := c.router.catalogue.Learn(encoded)
	if err != nil {
		c.router.log.Event(events.CatalogueInvalid, "error", err)
	}
	return err
}

// fresh returns nil while the catalogue is known to be current.
func (r *Router) fresh() error {
	if ok, reason := r.gossip.Fresh(); !ok {
		return galenalatch.KindCatalogueStale.Errorf("the catalogue of version %d is not confirmed (%s)", r.catalogue.Current().Version, reason)
	}
	return nil
}

// accepted returns how many of the listed routers hold a version.
func (r *Router) accepted(v galenalatch.Version) (held, total int) {
	r.gossip.Watch(v)
	return r.gossip.Accepted(v)
}

// listsEvery is how often the router looks whether the catalogue's list of
// routers must follow the instance list.
const listsEvery = time.Second

// runLists keeps the catalogue's list of routers in step with the instance
// list. A majority of this list proves freshness, so it changes by versions.
func (r *Router) runLists(ctx context.Context) error {
	return r.loopLists(ctx)
}

func (r *Router) loopLists(ctx context.Context) error {
	tick := time.NewTicker(listsEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			r.changeLists(ctx)
		}
	}
}

// changeLists applies a change to exactly the held version. It is not made
// again on a conflict: the next look decides anew.
func (r *Router) changeLists(ctx context.Context) {
	base := r.catalogue.Current().Version
	put, remove := r.gossip.ListChange()
	if len(put)+len(remove) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listsEvery)
	defer cancel()
	_, err := r.catalogue.Apply(ctx, base, galenalatch.Change{
		ID:            uuid.NewString(),
		Author:        "router " + string(r.settings.ID),
		At:            time.Now(),
		PutRouters:    put,
		RemoveRouters: remove,
	})
	r.log.Event(events.RoutersChanged, "put", put, "removed", remove, "error", err)
}

// publishHolders tells the other routers which holders the lease rows name,
// unless that was published before.
func (r *Router) publishHolders(published map[galenalatch.CellID]galenalatch.Holder) {
	for c, s := range r.leases.States() {
		if h, ok := r.rowHolder(c, s); ok && h != published[c] {
			published[c] = h
			r.gossip.SetHolder(h)
		}
	}
}

// rowHolder returns the holder of a cell by what is known of its row.
func (r *Router) rowHolder(c galenalatch.CellID, s leases.State) (galenalatch.Holder, bool) {
	if s.Epoch != 0 && (s.Held || s.Lapsed) {
		return galenalatch.Holder{Cell: c, Router: r.settings.ID, Epoch: s.Epoch}, true
	}
	if s.Holder == "" || s.Released || s.Holder == r.settings.ID {
		return galenalatch.Holder{}, false
	}
	return galenalatch.Holder{Cell: c, Router: s.Holder, Epoch: s.HolderEpoch}, true
}

// holder returns the newest known holder of a cell.
func (r *Router) holder(c galenalatch.CellID) (galenalatch.Holder, bool) {
	s := r.leases.State(c)
	row, byRow := r.rowHolder(c, s)
	heard, byPeer := r.gossip.Holder(c)
	switch {
	case byPeer && heard.Epoch > max(row.Epoch, s.HolderEpoch):
		return heard, true
	case byRow:
		return row, true
	}
	return galenalatch.Holder{}, false
}

// holders returns the newest known holders of all cells.
func (r *Router) holders() []galenalatch.Holder {
	var all []galenalatch.Holder
	for _, c := range r.fleet.Directory().AllCells() {
		if h, ok := r.holder(c); ok {
			all = append(all, h)
		}
	}
	return all
}
