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

// setUpGossip creates the exchange of catalogue versions and cell holders with
// other routers.
func (r *Router) setUpGossip() error {
	var err error
	r.gossip, err = gossip.New(gossip.Options{
		Self:    r.settings.ID,
		Send:    r.mesh.Send,
		Changes: catalogueChanges{r},
		Head: func(ctx context.Context) (galenalatch.Version, error) {
			v, _, err := r.catalogue.CatchUp(ctx)
			if ctx.Err() != context.Canceled {
				r.platformOutage.record(err)
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
				r.leases.ObserveEpoch(h.Cell, h.Epoch)
			}
		},
	})
	return err
}

// catalogueChanges reads changes for peers from the catalogue and applies those
// received from peers.
type catalogueChanges struct {
	router *Router
}

// ChangesAfter implements gossip.Changes.
func (c catalogueChanges) ChangesAfter(v galenalatch.Version) [][]byte {
	return c.router.catalogue.EncodedChangesAfter(v)
}

// ApplyEncoded implements gossip.Changes.
func (c catalogueChanges) ApplyEncoded(encoded [][]byte) error {
	_, err := c.router.catalogue.ApplyEncoded(encoded)
	if err != nil {
		c.router.log.Event(events.CatalogueInvalid, "error", err)
	}
	return err
}

// checkFresh returns nil while the catalogue is known to be current, and an error
// of KindCatalogueStale otherwise.
func (r *Router) checkFresh() error {
	if ok, reason := r.gossip.Fresh(); !ok {
		return galenalatch.KindCatalogueStale.Errorf("the catalogue of version %d is not confirmed (%s)", r.catalogue.Current().Version, reason)
	}
	return nil
}

// versionAcceptance returns how many of the listed routers hold a version, and
// how many are listed.
func (r *Router) versionAcceptance(v galenalatch.Version) (held, total int) {
	r.gossip.AwaitAcceptance(v)
	return r.gossip.Accepted(v)
}

// routerListInterval is how often the catalogue's list of routers is compared
// with the instance list.
const routerListInterval = time.Second

// runRouterList updates the catalogue's list of routers from the instance list.
// The list is versioned, since a catalogue is fresh only when a majority of the
// listed routers confirms it.
func (r *Router) runRouterList(ctx context.Context) error {
	return r.loopRouterList(ctx)
}

func (r *Router) loopRouterList(ctx context.Context) error {
	tick := time.NewTicker(routerListInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			r.updateRouterList(ctx)
		}
	}
}

// updateRouterList applies a change that is based on the held version. It does
// not retry after a conflict, since the next call computes a new change.
func (r *Router) updateRouterList(ctx context.Context) {
	base := r.catalogue.Current().Version
	put, remove := r.gossip.RouterListChange()
	if len(put)+len(remove) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, routerListInterval)
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

// publishHolders sends the holders in the lease rows to the other routers and
// records them in published. Holders that are recorded there are not sent again.
func (r *Router) publishHolders(published map[galenalatch.CellID]galenalatch.Holder) {
	for c, s := range r.leases.States() {
		if h, ok := r.rowHolder(c, s); ok && h != published[c] {
			published[c] = h
			r.gossip.SetHolder(h)
		}
	}
}

// rowHolder returns the holder of a cell according to the last known state of its
// lease row.
func (r *Router) rowHolder(c galenalatch.CellID, s leases.State) (galenalatch.Holder, bool) {
	if s.Epoch != 0 && (s.Held || s.Lapsed) {
		return galenalatch.Holder{Cell: c, Router: r.settings.ID, Epoch: s.Epoch}, true
	}
	if s.Holder == "" || s.Released || s.Holder == r.settings.ID {
		return galenalatch.Holder{}, false
	}
	return galenalatch.Holder{Cell: c, Router: s.Holder, Epoch: s.HolderEpoch}, true
}

// holder returns the newest holder of a cell that is known from its lease row or
// from gossip.
func (r *Router) holder(c galenalatch.CellID) (galenalatch.Holder, bool) {
	s := r.leases.State(c)
	row, byRow := r.rowHolder(c, s)
	gossiped, byPeer := r.gossip.Holder(c)
	switch {
	case byPeer && gossiped.Epoch > max(row.Epoch, s.HolderEpoch):
		return gossiped, true
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
