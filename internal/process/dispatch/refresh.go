package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/cell"
)

// refresh brings the set of cells, their leases and their directory up to
// date.
func (h *Host) refresh(ctx context.Context, now time.Time) {
	leases := h.options.Leases()
	if len(leases) > 0 && now.Sub(h.holdersRead) >= holdersEvery {
		h.holdersRead = now
		if all := h.options.Holders(); !slices.Equal(all, h.holders) {
			h.holders = all
			h.holdersSeen++
		}
	}
	for id, c := range h.cells {
		if l, ok := leases[id]; !ok || l.Epoch != c.epoch {
			delete(h.cells, id)
		}
	}
	for id, l := range leases {
		c, ok := h.cells[id]
		if !ok {
			c = h.open(now, id, l)
			if c == nil {
				continue
			}
		}
		if l != c.lease {
			c.lease = l
			c.cell.SetLease(l.Expires, l.Lapsed)
			c.dirty = true
		}
		h.refreshDirectory(now, id, c)
	}
	h.refreshPollers(ctx)
}

// open creates a cell whose lease is new.
func (h *Host) open(now time.Time, id galenalatch.CellID, l LeaseState) *hosted {
	pool, ok := h.options.Directory().Catalogue().Pool(id.Pool)
	if !ok {
		return nil
	}
	c := &hosted{epoch: l.Epoch, opened: now, cell: cell.New(cell.Config{
		ID:          id,
		Router:      h.options.Self,
		Epoch:       l.Epoch,
		Pool:        pool,
		Unconfirmed: l.Unconfirmed,
		Released:    l.Released,
		Start:       now,
	})}
	h.cells[id] = c
	for r, start := range h.links {
		c.cell.RouterUp(now, r, start)
	}
	if o, ok := h.handovers[id]; ok {
		delete(h.handovers, id)
		c.cell.Handle(now, o.from, o.message)
	}
	if h.stopped {
		c.cell.Stop()
	}
	return c
}

func (h *Host) refreshDirectory(now time.Time, id galenalatch.CellID, c *hosted) {
	d := h.options.Directory()
	if d != c.directory {
		c.directory = d
		c.cell.SetCatalogue(now, d.Catalogue())
		c.cell.SetServers(now, d.Servers(id))
		var routers []galenalatch.RouterID
		for _, r := range d.Routers() {
			routers = append(routers, galenalatch.RouterID(r.ID))
		}
		c.cell.SetRouters(now, routers)
		c.dirty = true
	}
	if c.holders == h.holdersSeen {
		return
	}
	c.holders = h.holdersSeen
	var peers []galenalatch.Holder
	for _, p := range h.holders {
		if p.Cell.Pool == id.Pool && p.Cell != id {
			peers = append(peers, p)
		}
	}
	c.cell.SetPeers(now, peers)
	c.dirty = true
}

// refreshPollers starts a poller for each server of the held cells and stops
// the others.
func (h *Host) refreshPollers(ctx context.Context) {
	wanted := make(map[galenalatch.ServerID]bool)
	for id, c := range h.cells {
		for _, s := range c.directory.Servers(id) {
			server := galenalatch.ServerID(s.ID)
			wanted[server] = true
			p, ok := h.pollers[server]
			if ok && p.cell == id && p.address == s.Address {
				continue
			}
			if ok {
				p.stop()
			}
			h.pollers[server] = h.startPoller(ctx, id, s)
		}
	}
	h.polled.Store(int64(len(wanted)))
	for s, p := range h.pollers {
		if !wanted[s] {
			p.stop()
			delete(h.pollers, s)
		}
	}
}
