package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// request is a request that waits in the cell or was granted by it.
type request struct {
	waiting galenalatch.Waiting
	router  galenalatch.RouterID
	// repeated is the record of a repeated Enqueue, if any. The request is
	// queued again from it when its last grant has ended.
	repeated *galenalatch.Waiting
	// grants holds the grants that are not known to have ended. An entry
	// runs at most one of them.
	grants []*grant
	// ran says that one of the grants has run to completion or failure.
	ran bool
}

type grant struct {
	serial     uint64
	request    *request
	router     galenalatch.RouterID
	server     galenalatch.ServerID
	boot       galenalatch.BootID
	serverCell galenalatch.CellID
	message    galenalatch.Grant
	granted    time.Time
	confirmed  bool
	units      int64
	// probeAt is when the grant is next sent again or queried.
	probeAt time.Time
	probes  int
	// borrowed is the borrowed slot that the grant uses, if any.
	borrowed *borrowedSlot
}

// grantResult says how a grant ended.
type grantResult struct {
	units     int64
	ran       bool
	completed bool
	failed    bool
	// unreachable says that no connection to the server could be made. The
	// server gets no new work before its next load report.
	unreachable bool
	unverified  bool
}

func (c *Cell) enqueue(now time.Time, from galenalatch.RouterID, w galenalatch.Waiting) {
	if c.stopped || !c.router(from).disconnectedAt.IsZero() {
		return
	}
	q := c.requests[w.Request]
	if q != nil {
		q.repeated = &w
		if n := len(q.grants); n > 0 && !q.grants[n-1].confirmed && !q.ran {
			c.resend(now, q.grants[n-1])
		}
		return
	}
	c.ensureLimits(w.Workspace)
	if err := c.queue.Add(now, w); err != nil {
		kind := galenalatch.KindOf(err)
		c.send(from, galenalatch.Refuse{
			Cell: c.cfg.ID, Request: w.Request, Kind: kind,
			RetryAfterMillis: kind.Reply().RetryAfter.Milliseconds(),
		})
		return
	}
	c.requests[w.Request] = &request{waiting: w, router: from}
}

func (c *Cell) handleWithdraw(id galenalatch.RequestID) {
	q := c.requests[id]
	if q == nil {
		return
	}
	q.repeated = nil
	if c.queue.Remove(id) && len(q.grants) == 0 {
		delete(c.requests, id)
	}
}

// findGrant returns the grant with the serial number, or the newest grant of
// the request if the number is zero. It returns nil if there is none.
func (c *Cell) findGrant(id galenalatch.RequestID, serial uint64) *grant {
	if serial != 0 {
		return c.grants[serial]
	}
	if q := c.requests[id]; q != nil && len(q.grants) > 0 {
		return q.grants[len(q.grants)-1]
	}
	return nil
}

func (c *Cell) handleProgress(now time.Time, from galenalatch.RouterID, used []galenalatch.Used) {
	for _, u := range used {
		if g := c.findGrant(u.Request, u.Serial); g != nil && g.router == from {
			c.confirmGrant(now, g, u.Units)
		}
	}
}

// confirmGrant records that the entry runs the grant. It ends the grants of
// the same request with lower serial numbers, which the entry can no longer
// use.
func (c *Cell) confirmGrant(now time.Time, g *grant, units int64) {
	q := g.request
	if !g.confirmed {
		g.confirmed = true
		q.repeated = nil
		c.servers.Confirm(now, g.serial)
		// The request may be waiting again because this grant was considered
		// unusable.
		c.queue.Remove(q.waiting.Request)
		c.queue.Restore(q.waiting, units)
	}
	g.probeAt, g.probes = now.Add(c.cfg.ProgressTimeout), 0
	g.units = max(g.units, units)
	c.queue.Charge(q.waiting.Request, g.units)
	for _, o := range slices.Clone(q.grants) {
		if o.serial < g.serial {
			c.endGrant(now, o, grantResult{})
		}
	}
}

func (c *Cell) handleFinish(now time.Time, m galenalatch.Finish) {
	g := c.findGrant(m.Request, m.Serial)
	if g == nil {
		if m.Serial != 0 {
			c.endedGrants[m.Serial] = now
		}
		return
	}
	c.endGrant(now, g, grantResult{
		units: m.Units, ran: m.Outcome != galenalatch.NotRun,
		completed: m.Completed, failed: m.Failed, unreachable: m.Unreachable,
	})
}

// endGrant frees the slot of a grant. If the request has run or has no other
// grant, its final cost is charged.
func (c *Cell) endGrant(now time.Time, g *grant, e grantResult) {
	delete(c.grants, g.serial)
	c.endedGrants[g.serial] = now
	if g.borrowed != nil {
		c.returnSlot(now, g.borrowed, e)
	} else {
		c.servers.Finish(now, g.serial, warmup.Result{Completed: e.completed, Failed: e.failed, Unverified: e.unverified || e.unreachable, Units: e.units})
	}
	q := g.request
	id := q.waiting.Request
	q.grants = slices.DeleteFunc(q.grants, func(o *grant) bool { return o == g })
	if e.ran {
		q.ran = true
		c.queue.Remove(id)
		c.queue.Settle(id, max(1, e.units))
	}
	if len(q.grants) > 0 || c.queue.IsWaiting(id) {
		return
	}
	c.queue.Settle(id, e.units)
	delete(c.requests, id)
	if q.repeated != nil && !e.unverified {
		c.enqueue(now, q.router, *q.repeated)
	}
}

// dispatch grants free slots to waiting requests of this cell or lends them
// to the cell with the lowest virtual time.
func (c *Cell) dispatch(now time.Time) {
	for {
		t, ok := c.servers.Pick(now)
		if !ok {
			return
		}
		p := c.nextBorrower(now)
		if !c.lapsed && c.leaseExpires.Sub(now) < c.cfg.LoanTerm {
			// The loan could outlive the lease, and the next holder would not
			// know of it.
			p = nil
		}
		switch {
		case c.queue.Ready() > 0 && (p == nil || c.queue.VirtualTime() <= p.virtualTime+c.cfg.LendTolerance):
			c.grantNext(now, t, nil)
		case p != nil:
			c.lend(now, p, t)
		default:
			return
		}
	}
}

// grantNext grants the next waiting request a slot of the server t, or the
// borrowed slot o if it is not nil.
func (c *Cell) grantNext(now time.Time, t warmup.Target, o *borrowedSlot) {
	w, ok := c.queue.Next(now)
	if !ok {
		return
	}
	if o == nil {
		t = c.prefixes.chooseServer(now, c.servers, w, t)
	}
	q := c.requests[w.Request]
	if q == nil {
		c.queue.Settle(w.Request, 0)
		return
	}
	c.serial++
	g := &grant{
		serial: c.serial, request: q, router: q.router, server: t.Server, boot: t.Boot,
		serverCell: c.cfg.ID, granted: now, probeAt: now.Add(c.cfg.ConfirmTimeout), borrowed: o,
	}
	g.message = galenalatch.Grant{
		Cell: c.cfg.ID, Epoch: c.cfg.Epoch, Request: w.Request, Serial: g.serial,
		Server: t.Server, Address: t.Address, Boot: t.Boot, DataCentre: t.DataCentre,
		ServerCell: c.cfg.ID, ServerEpoch: c.cfg.Epoch, Lapsed: c.lapsed,
	}
	if o != nil {
		g.serverCell = o.key.lender
		g.message.ServerCell, g.message.ServerEpoch, g.message.Slot = o.key.lender, o.epoch, o.key.slot
		o.setState(slotUsed, now)
		o.grant = g
	} else {
		c.servers.Start(now, g.serial, t.Server, t.Boot)
	}
	q.repeated = nil
	q.grants = append(q.grants, g)
	c.grants[g.serial] = g
	c.send(q.router, g.message)
}

// resend sends a grant again. The message is only a query when the grant is
// confirmed, was probed more than once or can no longer start the request.
func (c *Cell) resend(now time.Time, g *grant) {
	g.probeAt = now.Add(c.cfg.ConfirmTimeout << min(g.probes, 4))
	m := g.message
	m.Cell, m.Epoch, m.Request, m.Serial = c.cfg.ID, c.cfg.Epoch, g.request.waiting.Request, g.serial
	m.Lapsed = c.lapsed
	m.StatusQuery = g.probes > 1 || g.confirmed || !c.mayStart(now, g)
	c.send(g.router, m)
}

// mayStart reports whether the grant may still start its request.
func (c *Cell) mayStart(now time.Time, g *grant) bool {
	if g.request.ran || !c.mayGrant(now) || g.message.Server == "" {
		return false
	}
	if g.borrowed != nil {
		return now.Before(g.borrowed.expires)
	}
	_, ok := c.servers.Target(now, g.server, g.boot)
	return ok
}

// probeGrants sends grants again that their entries have not confirmed in
// time, and queries those without progress.
func (c *Cell) probeGrants(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(c.grants)) {
		g := c.grants[n]
		if now.Before(g.probeAt) || !c.router(g.router).disconnectedAt.IsZero() {
			continue
		}
		g.probes++
		c.resend(now, g)
		q := g.request
		if !g.confirmed && !q.ran && len(q.grants) == 1 && !c.mayStart(now, g) {
			// The server can no longer be used. The request waits again; the
			// slot stays occupied until the entry answers.
			c.queue.Requeue(now, q.waiting.Request)
		}
	}
}
