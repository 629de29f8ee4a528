package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

type router struct {
	start    string
	up       bool
	listed   bool
	reported bool
	// down is when the connection was lost.
	down time.Time
	// freed says that the slots were freed since then.
	freed bool
}

func (c *Cell) router(id galenalatch.RouterID) *router {
	r := c.routers[id]
	if r == nil {
		r = &router{}
		c.routers[id] = r
	}
	return r
}

// RouterUp records a new connection to a router. Another start id means that
// the router's earlier requests are gone.
func (c *Cell) RouterUp(now time.Time, id galenalatch.RouterID, start string) {
	c.changed = true
	r := c.router(id)
	if r.start != "" && r.start != start {
		c.dropRouter(now, id)
		r.reported = false
	}
	r.start, r.up, r.down, r.freed = start, true, time.Time{}, false
	c.askLoans(now, id)
}

// RouterDown records the loss of the connection to a router. Its waiting
// requests leave the queue, since a grant could not reach it; it reports them
// on its next connection.
func (c *Cell) RouterDown(now time.Time, id galenalatch.RouterID) {
	c.changed = true
	r := c.router(id)
	if r.up || r.down.IsZero() {
		r.down, r.freed = now, false
	}
	r.up = false
	for n, q := range c.requests {
		if q.router == id {
			q.again = nil
			if c.queue.Remove(n) && len(q.grants) == 0 {
				delete(c.requests, n)
			}
		}
	}
}

func (c *Cell) anyDown() bool {
	for _, r := range c.routers {
		if !r.down.IsZero() && !r.freed {
			return true
		}
	}
	return false
}

func (c *Cell) allReported() bool {
	for _, r := range c.routers {
		if r.listed && !r.reported {
			return false
		}
	}
	return c.listed
}

// dropGoneRouters frees the slots of routers that have been disconnected for
// too long.
func (c *Cell) dropGoneRouters(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.routers)) {
		r := c.routers[id]
		if r.down.IsZero() || r.freed || now.Sub(r.down) < c.cfg.RouterGone {
			continue
		}
		if c.dropRouter(now, id) {
			c.gone = append(c.gone, id)
		}
		r.freed = true
	}
}

// dropRouter ends the requests of a router that are gone. Nobody confirmed
// that their servers have stopped working on them, so the servers get no new
// work before their next load reports. It reports whether slots were freed.
func (c *Cell) dropRouter(now time.Time, id galenalatch.RouterID) (freed bool) {
	for _, n := range slices.Sorted(maps.Keys(c.grants)) {
		if g := c.grants[n]; g.router == id {
			c.end(now, g, ending{assumed: true, units: g.units})
			freed = true
		}
	}
	for n, q := range c.requests {
		if q.router == id {
			c.queue.Remove(n)
			c.queue.Settle(n, 0)
			delete(c.requests, n)
		}
	}
	return freed
}

// Gone returns the routers whose slots were freed since the last call,
// because they had been disconnected for too long.
func (c *Cell) Gone() []galenalatch.RouterID {
	gone := c.gone
	c.gone = nil
	return gone
}

// report takes in what an entry has waiting and running.
func (c *Cell) report(now time.Time, from galenalatch.RouterID, m galenalatch.Report) {
	if c.superseded(m.Epoch) {
		return
	}
	r := c.router(from)
	if m.Epoch == c.cfg.Epoch && !m.More {
		r.reported = true
	}
	seen := make(map[uint64]bool, len(m.Running))
	for _, n := range m.Running {
		seen[n.Serial] = true
		c.adopt(now, from, n)
	}
	for _, w := range m.Waiting {
		c.enqueue(now, from, w)
	}
	for _, g := range c.grants {
		if g.router == from && !seen[g.serial] {
			// The grant or its end was lost, or the report is older than
			// the grant. Only the entry's answer can tell.
			g.probe = now
		}
	}
	c.nextScan = now
}

// adopt records a running request of an entry's report. It may run on a slot
// of this cell that was lent to another cell.
func (c *Cell) adopt(now time.Time, from galenalatch.RouterID, n galenalatch.Running) {
	if g := c.find(n.Request, n.Serial); g != nil {
		c.confirm(now, g, n.Units)
		return
	}
	if _, over := c.ended[n.Serial]; over && n.Serial != 0 {
		return
	}
	if n.Home != c.cfg.ID {
		if n.ServerCell == c.cfg.ID && n.Slot != "" && c.loans[n.Slot] == nil {
			c.loans[n.Slot] = c.restoreLoan(now, n)
		}
		return
	}
	if n.Serial == 0 {
		c.serial++
		n.Serial = c.serial
	}
	q := c.requests[n.Request]
	if q == nil {
		q = &request{router: from}
		c.requests[n.Request] = q
	}
	q.waiting = galenalatch.Waiting{Request: n.Request, Workspace: n.Workspace, Class: n.Class, Estimate: n.Estimate}
	g := &grant{
		serial: n.Serial, request: q, router: from, server: n.Server, boot: n.Boot,
		serverCell: n.ServerCell, granted: now, probe: now.Add(c.cfg.ProgressWait),
	}
	if n.Slot != "" {
		g.offer = c.restoreOffer(now, n)
		g.offer.grant = g
	} else {
		c.servers.Start(now, n.Serial, n.Server, n.Boot)
	}
	q.grants = append(q.grants, g)
	c.grants[n.Serial] = g
	c.learn(n.Workspace)
	c.confirm(now, g, n.Units)
}
