package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/cell"
)

// refresh opens and closes cells according to the held leases and passes new
// lease states, directories and holders to them.
func (d *Dispatcher) refresh(ctx context.Context, now time.Time) {
	leases := d.options.Leases()
	if len(leases) > 0 && now.Sub(d.holdersReadAt) >= holdersInterval {
		d.holdersReadAt = now
		if all := d.options.Holders(); !slices.Equal(all, d.holders) {
			d.holders = all
			d.holdersVersion++
		}
	}
	for id, c := range d.cells {
		if l, ok := leases[id]; !ok || l.Epoch != c.epoch {
			delete(d.cells, id)
		}
	}
	for id, l := range leases {
		c, ok := d.cells[id]
		if !ok {
			c = d.openCell(now, id, l)
			if c == nil {
				continue
			}
		}
		if l != c.lease {
			c.lease = l
			c.cell.SetLease(l.Expires, l.Lapsed)
			c.dirty = true
		}
		d.refreshDirectory(now, id, c)
	}
	d.refreshPollers(ctx)
}

// openCell creates the cell of a new lease. It returns nil when the catalogue has
// no such pool.
func (d *Dispatcher) openCell(now time.Time, id galenalatch.CellID, l LeaseState) *heldCell {
	pool, ok := d.options.Directory().Catalogue().Pool(id.Pool)
	if !ok {
		return nil
	}
	c := &heldCell{epoch: l.Epoch, opened: now, cell: cell.New(cell.Config{
		ID:                     id,
		Router:                 d.options.Self,
		Epoch:                  l.Epoch,
		Pool:                   pool,
		PredecessorUnconfirmed: l.Unconfirmed,
		PredecessorReleased:    l.Released,
		Start:                  now,
	})}
	d.cells[id] = c
	for r, start := range d.links {
		c.cell.RouterConnected(now, r, start)
	}
	if o, ok := d.handovers[id]; ok {
		delete(d.handovers, id)
		c.cell.Handle(now, o.from, o.message)
	}
	if d.stopped {
		c.cell.StopGranting()
	}
	return c
}

// refreshDirectory passes a changed directory or list of holders to a cell.
func (d *Dispatcher) refreshDirectory(now time.Time, id galenalatch.CellID, c *heldCell) {
	latest := d.options.Directory()
	if latest != c.directory {
		c.directory = latest
		c.cell.SetCatalogue(now, latest.Catalogue())
		c.cell.SetServers(now, latest.Servers(id))
		var routers []galenalatch.RouterID
		for _, r := range latest.Routers() {
			routers = append(routers, galenalatch.RouterID(r.ID))
		}
		c.cell.SetRouters(now, routers)
		c.dirty = true
	}
	if c.seenHoldersVersion == d.holdersVersion {
		return
	}
	c.seenHoldersVersion = d.holdersVersion
	var peers []galenalatch.Holder
	for _, p := range d.holders {
		if p.Cell.Pool == id.Pool && p.Cell != id {
			peers = append(peers, p)
		}
	}
	c.cell.SetPeers(now, peers)
	c.dirty = true
}

// refreshPollers starts a poller for each server of the held cells and stops
// those of other servers.
func (d *Dispatcher) refreshPollers(ctx context.Context) {
	wanted := make(map[galenalatch.ServerID]bool)
	for id, c := range d.cells {
		for _, s := range c.directory.Servers(id) {
			server := galenalatch.ServerID(s.ID)
			wanted[server] = true
			p, ok := d.pollers[server]
			if ok && p.cell == id && p.address == s.Address {
				continue
			}
			if ok {
				p.stop()
			}
			d.pollers[server] = d.startPoller(ctx, id, s)
		}
	}
	d.polledServers.Store(int64(len(wanted)))
	for s, p := range d.pollers {
		if !wanted[s] {
			p.stop()
			delete(d.pollers, s)
		}
	}
}
