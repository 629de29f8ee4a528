package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// router is the state of a connection to a router and of its report.
type router struct {
	startID   string
	connected bool
	listed    bool
	reported  bool
	// disconnectedAt is when the connection was lost, or zero.
	disconnectedAt time.Time
	// slotsFreed says that the router's slots were freed since then.
	slotsFreed bool
}

func (c *Cell) router(id galenalatch.RouterID) *router {
	r := c.routers[id]
	if r == nil {
		r = &router{}
		c.routers[id] = r
	}
	return r
}

// RouterConnected records a new connection to a router. The start ID identifies
// a process of the router: if it differs from that of the last connection, the
// earlier requests of the router no longer exist.
func (c *Cell) RouterConnected(now time.Time, id galenalatch.RouterID, startID string) {
	c.tickPending = true
	r := c.router(id)
	if r.startID != "" && r.startID != startID {
		c.endRouterRequests(now, id)
		r.reported = false
	}
	r.startID, r.connected, r.disconnectedAt, r.slotsFreed = startID, true, time.Time{}, false
	c.scheduleLoanProbes(now, id)
}

// RouterDisconnected records the loss of the connection to a router. Its
// waiting requests leave the queue, since a grant could not reach it; it
// reports them on its next connection.
func (c *Cell) RouterDisconnected(now time.Time, id galenalatch.RouterID) {
	c.tickPending = true
	r := c.router(id)
	if r.connected || r.disconnectedAt.IsZero() {
		r.disconnectedAt, r.slotsFreed = now, false
	}
	r.connected = false
	for n, q := range c.requests {
		if q.router == id {
			q.repeated = nil
			if c.queue.Remove(n) && len(q.grants) == 0 {
				delete(c.requests, n)
			}
		}
	}
}

func (c *Cell) hasDisconnected() bool {
	for _, r := range c.routers {
		if !r.disconnectedAt.IsZero() && !r.slotsFreed {
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
	return c.routersListed
}

// expireRouters frees the slots of routers that have been disconnected for
// RouterTimeout.
func (c *Cell) expireRouters(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.routers)) {
		r := c.routers[id]
		if r.disconnectedAt.IsZero() || r.slotsFreed || now.Sub(r.disconnectedAt) < c.cfg.RouterTimeout {
			continue
		}
		if c.endRouterRequests(now, id) {
			c.expiredRouters = append(c.expiredRouters, id)
		}
		r.slotsFreed = true
	}
}

// endRouterRequests ends all requests of a router that has restarted or been
// disconnected for too long. No entry has confirmed that the servers stopped
// working on them, so these servers get no new work before their next load
// reports. It reports whether slots were freed.
func (c *Cell) endRouterRequests(now time.Time, id galenalatch.RouterID) (freed bool) {
	for _, n := range slices.Sorted(maps.Keys(c.grants)) {
		if g := c.grants[n]; g.router == id {
			c.endGrant(now, g, grantResult{unverified: true, units: g.units})
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

// TakeExpiredRouters returns the routers whose slots were freed since the last
// call because they had been disconnected for too long.
func (c *Cell) TakeExpiredRouters() []galenalatch.RouterID {
	expired := c.expiredRouters
	c.expiredRouters = nil
	return expired
}

// handleReport records the waiting and running requests of an entry.
func (c *Cell) handleReport(now time.Time, from galenalatch.RouterID, m galenalatch.Report) {
	if c.stopIfSuperseded(m.Epoch) {
		return
	}
	r := c.router(from)
	if m.Epoch == c.cfg.Epoch && !m.More {
		r.reported = true
	}
	reportedSerials := make(map[uint64]bool, len(m.Running))
	for _, n := range m.Running {
		reportedSerials[n.Serial] = true
		c.restoreRunning(now, from, n)
	}
	for _, w := range m.Waiting {
		c.enqueue(now, from, w)
	}
	for _, g := range c.grants {
		if g.router == from && !reportedSerials[g.serial] {
			// The grant or its end was lost, or the report is older than
			// the grant. The entry's answer to a probe tells which.
			g.probeAt = now
		}
	}
	c.nextScan = now
}

// restoreRunning records a running request of an entry's report. It may run on
// a slot of this cell that was lent to another cell.
func (c *Cell) restoreRunning(now time.Time, from galenalatch.RouterID, n galenalatch.Running) {
	if g := c.findGrant(n.Request, n.Serial); g != nil {
		c.confirmGrant(now, g, n.Units)
		return
	}
	if _, ended := c.endedGrants[n.Serial]; ended && n.Serial != 0 {
		return
	}
	if n.Home != c.cfg.ID {
		// A late report must not revive a slot that was given back: the
		// borrower would repeat its answer, which would count twice.
		_, ended := c.returnedLoans[n.Slot]
		if n.ServerCell == c.cfg.ID && n.Slot != "" && c.loans[n.Slot] == nil && !ended {
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
		serverCell: n.ServerCell, granted: now, probeAt: now.Add(c.cfg.ProgressTimeout),
	}
	if n.Slot != "" {
		g.borrowed = c.restoreBorrowedSlot(now, n)
		g.borrowed.grant = g
	} else {
		c.servers.Start(now, n.Serial, n.Server, n.Boot)
	}
	q.grants = append(q.grants, g)
	c.grants[n.Serial] = g
	c.ensureLimits(n.Workspace)
	c.confirmGrant(now, g, n.Units)
}
