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
	// again is set when the entry asked once more while a grant was out.
	again *galenalatch.Waiting
	// grants holds the grants that are not known to have ended. An entry
	// runs at most one of them.
	grants []*grant
	// ran says that one of the grants has run to its end.
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
	// probe is when the entry is asked about the grant.
	probe time.Time
	tries int
	// offer is the borrowed slot that the grant uses, if any.
	offer *offer
}

// ending says how a grant ended.
type ending struct {
	units     int64
	ran       bool
	completed bool
	failed    bool
	// unreached says that the server gets no new work before its next load
	// report.
	unreached bool
	assumed   bool
}

func (c *Cell) enqueue(now time.Time, from galenalatch.RouterID, w galenalatch.Waiting) {
	if c.stopped || !c.router(from).down.IsZero() {
		return
	}
	q := c.requests[w.Request]
	if q != nil {
		q.again = &w
		if n := len(q.grants); n > 0 && !q.grants[n-1].confirmed && !q.ran {
			c.resend(now, q.grants[n-1])
		}
		return
	}
	c.learn(w.Workspace)
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

func (c *Cell) withdraw(id galenalatch.RequestID) {
	q := c.requests[id]
	if q == nil {
		return
	}
	q.again = nil
	if c.queue.Remove(id) && len(q.grants) == 0 {
		delete(c.requests, id)
	}
}

// find returns the grant with the serial, or the newest grant of the request
// when the serial is zero.
func (c *Cell) find(id galenalatch.RequestID, serial uint64) *grant {
	if serial != 0 {
		return c.grants[serial]
	}
	if q := c.requests[id]; q != nil && len(q.grants) > 0 {
		return q.grants[len(q.grants)-1]
	}
	return nil
}

func (c *Cell) progress(now time.Time, from galenalatch.RouterID, used []galenalatch.Used) {
	for _, u := range used {
		if g := c.find(u.Request, u.Serial); g != nil && g.router == from {
			c.confirm(now, g, u.Units)
		}
	}
}

// confirm records that the entry runs the grant. Grants of the same request
// with lower serial numbers can no longer be used.
func (c *Cell) confirm(now time.Time, g *grant, units int64) {
	q := g.request
	if !g.confirmed {
		g.confirmed = true
		q.again = nil
		c.servers.Confirm(now, g.serial)
		// The request may be waiting again because this grant was thought
		// to be unusable.
		c.queue.Remove(q.waiting.Request)
		c.queue.Restore(q.waiting, units)
	}
	g.probe, g.tries = now.Add(c.cfg.ProgressWait), 0
	g.units = max(g.units, units)
	c.queue.Charge(q.waiting.Request, g.units)
	for _, o := range slices.Clone(q.grants) {
		if o.serial < g.serial {
			c.end(now, o, ending{})
		}
	}
}

func (c *Cell) finish(now time.Time, m galenalatch.Finish) {
	g := c.find(m.Request, m.Serial)
	if g == nil {
		if m.Serial != 0 {
			c.ended[m.Serial] = now
		}
		return
	}
	c.end(now, g, ending{
		units: m.Units, ran: m.Outcome != galenalatch.NotRun,
		completed: m.Completed, failed: m.Failed, unreached: m.Unreached,
	})
}

// end frees the slot of a grant and settles its request.
func (c *Cell) end(now time.Time, g *grant, e ending) {
	delete(c.grants, g.serial)
	c.ended[g.serial] = now
	if g.offer != nil {
		c.giveBack(now, g.offer, e)
	} else {
		c.servers.Finish(now, g.serial, warmup.End{Completed: e.completed, Failed: e.failed, Assumed: e.assumed || e.unreached, Units: e.units})
	}
	q := g.request
	id := q.waiting.Request
	q.grants = slices.DeleteFunc(q.grants, func(o *grant) bool { return o == g })
	if e.ran {
		q.ran = true
		c.queue.Remove(id)
		c.queue.Settle(id, max(1, e.units))
	}
	if len(q.grants) > 0 || c.queue.Waits(id) {
		return
	}
	c.queue.Settle(id, e.units)
	delete(c.requests, id)
	if q.again != nil && !e.assumed {
		c.enqueue(now, q.router, *q.again)
	}
}

// dispatch gives free slots to waiting requests of this cell or lends them to
// the cell with the lowest virtual time.
func (c *Cell) dispatch(now time.Time) {
	for {
		t, ok := c.servers.Pick(now)
		if !ok {
			return
		}
		p := c.neediest(now)
		if !c.lapsed && c.leaseExpires.Sub(now) < c.cfg.LoanTerm {
			// A successor of this holder would not know of the slot.
			p = nil
		}
		switch {
		case c.queue.Ready() > 0 && (p == nil || c.queue.VirtualTime() <= p.virtualTime+c.cfg.LendTolerance):
			c.grant(now, t, nil)
		case p != nil:
			c.lend(now, p, t)
		default:
			return
		}
	}
}

// grant gives the next waiting request a slot of the server t, or the
// borrowed slot o.
func (c *Cell) grant(now time.Time, t warmup.Target, o *offer) {
	w, ok := c.queue.Next(now)
	if !ok {
		return
	}
	if o == nil {
		t = c.prefixes.choose(now, c.servers, w, t)
	}
	q := c.requests[w.Request]
	if q == nil {
		c.queue.Settle(w.Request, 0)
		return
	}
	c.serial++
	g := &grant{
		serial: c.serial, request: q, router: q.router, server: t.Server, boot: t.Boot,
		serverCell: c.cfg.ID, granted: now, probe: now.Add(c.cfg.ConfirmWait), offer: o,
	}
	g.message = galenalatch.Grant{
		Cell: c.cfg.ID, Epoch: c.cfg.Epoch, Request: w.Request, Serial: g.serial,
		Server: t.Server, Address: t.Address, Boot: t.Boot, DataCentre: t.DataCentre,
		ServerCell: c.cfg.ID, ServerEpoch: c.cfg.Epoch, Lapsed: c.lapsed,
	}
	if o != nil {
		g.serverCell = o.key.lender
		g.message.ServerCell, g.message.ServerEpoch, g.message.Slot = o.key.lender, o.epoch, o.key.slot
		o.become(used, now)
		o.grant = g
	} else {
		c.servers.Start(now, g.serial, t.Server, t.Boot)
	}
	q.again = nil
	q.grants = append(q.grants, g)
	c.grants[g.serial] = g
	c.send(q.router, g.message)
}

// resend repeats an unconfirmed grant, or asks about it when it must not be
// used any more.
func (c *Cell) resend(now time.Time, g *grant) {
	g.probe = now.Add(c.cfg.ConfirmWait << min(g.tries, 4))
	m := g.message
	m.Cell, m.Epoch, m.Request, m.Serial = c.cfg.ID, c.cfg.Epoch, g.request.waiting.Request, g.serial
	m.Lapsed = c.lapsed
	m.Ask = g.tries > 1 || g.confirmed || !c.sendable(now, g)
	c.send(g.router, m)
}

// sendable reports whether the grant may still start the request.
func (c *Cell) sendable(now time.Time, g *grant) bool {
	if g.request.ran || !c.mayGrant(now) || g.message.Server == "" {
		return false
	}
	if g.offer != nil {
		return now.Before(g.offer.expires)
	}
	_, ok := c.servers.Target(now, g.server, g.boot)
	return ok
}

// probeGrants asks entries about grants that they have not mentioned for too
// long.
func (c *Cell) probeGrants(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(c.grants)) {
		g := c.grants[n]
		if now.Before(g.probe) || !c.router(g.router).down.IsZero() {
			continue
		}
		g.tries++
		c.resend(now, g)
		q := g.request
		if !g.confirmed && !q.ran && len(q.grants) == 1 && !c.sendable(now, g) {
			// The server can no longer be used. The request waits again; the
			// slot stays occupied until the entry answers.
			c.queue.Requeue(now, q.waiting.Request)
		}
	}
}
