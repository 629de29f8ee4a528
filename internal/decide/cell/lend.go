package cell

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// peer is another cell of the pool.
type peer struct {
	cell        galenalatch.CellID
	router      galenalatch.RouterID
	epoch       galenalatch.Epoch
	virtualTime int64
	waiting     int
	heard       time.Time
	// changed says that loans to an earlier holder must be asked about.
	changed bool
}

func (p *peer) meet(r galenalatch.RouterID, e galenalatch.Epoch) {
	if e >= p.epoch {
		if e > p.epoch {
			p.waiting = 0
			p.changed = true
		}
		p.router, p.epoch = r, e
	}
}

// loan is a slot of this cell that another cell may use.
type loan struct {
	key     uint64
	to      galenalatch.CellID
	message galenalatch.Lend
	probe   time.Time
	tries   int
	// confirmed says that the borrower's entry runs a request on the slot.
	confirmed bool
}

// slotKey names a borrowed slot.
type slotKey struct {
	lender galenalatch.CellID
	slot   string
}

type offerState int

const (
	offered offerState = iota
	used
	returned
)

// offer is a slot that this cell has borrowed.
type offer struct {
	key     slotKey
	epoch   galenalatch.Epoch
	target  warmup.Target
	state   offerState
	changed time.Time
	expires time.Time
	answer  galenalatch.GiveBack
	// grant is the grant that uses the slot.
	grant *grant
	// restored says that the slot is known from an entry's report only.
	restored bool
}

func (o *offer) become(s offerState, now time.Time) {
	o.state, o.changed = s, now
}

func (c *Cell) peer(id galenalatch.CellID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{cell: id}
		c.peers[id] = p
	}
	return p
}

func (c *Cell) summary(now time.Time, from galenalatch.RouterID, m galenalatch.Summary) {
	if m.Cell == c.cfg.ID {
		c.superseded(m.Epoch)
		return
	}
	if m.Cell.Pool != c.cfg.ID.Pool {
		return
	}
	p := c.peer(m.Cell)
	if m.Epoch < p.epoch {
		return
	}
	p.meet(from, m.Epoch)
	p.virtualTime, p.waiting, p.heard = m.VirtualTime, m.Waiting, now
	if m.Waiting > 0 && c.queue.VirtualTime() < m.VirtualTime-c.cfg.MaxCatchUp {
		c.queue.Lift(m.VirtualTime - c.cfg.MaxCatchUp)
	}
}

// neediest returns the peer with the lowest virtual time among those with
// work that waits.
func (c *Cell) neediest(now time.Time) *peer {
	var best *peer
	for _, p := range c.peers {
		if p.waiting <= 0 || p.router == "" || now.Sub(p.heard) > c.cfg.SummaryAge {
			continue
		}
		if best == nil || p.virtualTime < best.virtualTime || p.virtualTime == best.virtualTime && compareCells(p.cell, best.cell) < 0 {
			best = p
		}
	}
	return best
}

func compareCells(a, b galenalatch.CellID) int {
	return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Index, b.Index))
}

// join raises the virtual time of a cell that becomes busy to the lowest one
// of the other busy cells. Being quiet earns no credit.
func (c *Cell) join(now time.Time) {
	if c.busy || c.queue.Ready() == 0 {
		return
	}
	if p := c.neediest(now); p != nil {
		c.queue.Lift(p.virtualTime)
	}
}

func (c *Cell) lend(now time.Time, p *peer, t warmup.Target) {
	c.serial++
	slot := strconv.FormatUint(c.serial, 36)
	l := &loan{
		key: c.serial,
		to:  p.cell,
		message: galenalatch.Lend{
			From: c.cfg.ID, Epoch: c.cfg.Epoch, To: p.cell, ToEpoch: p.epoch, Slot: slot,
			Server: t.Server, Address: t.Address, Boot: t.Boot, DataCentre: t.DataCentre,
			TermMillis: c.cfg.LoanTerm.Milliseconds(),
		},
		probe: now.Add(c.cfg.LoanTerm + c.cfg.ConfirmWait),
	}
	if !c.servers.IsWarm(t.Server) {
		l.probe = now.Add(confirmLoan)
	}
	c.loans[slot] = l
	c.servers.Start(now, l.key, t.Server, t.Boot)
	p.waiting--
	c.send(p.router, l.message)
}

// restoreLoan records a slot that a previous holder of the cell lent.
func (c *Cell) restoreLoan(now time.Time, n galenalatch.Running) *loan {
	c.serial++
	c.servers.Start(now, c.serial, n.Server, n.Boot)
	c.servers.Confirm(now, c.serial)
	return &loan{
		key: c.serial, to: n.Home, probe: now.Add(c.cfg.ProgressWait),
		message: galenalatch.Lend{From: c.cfg.ID, Epoch: c.cfg.Epoch, To: n.Home, Slot: n.Slot, Server: n.Server, Boot: n.Boot},
	}
}

// lostTries is the number of questions after which a loan to a cell that is
// no longer listed ends: two minutes.
const lostTries = 3

// confirmLoan is how long after a loan on a server that is not warm the
// borrower is asked. Entries confirm a grant within a second. Without a
// confirmation the request counts twice, as lent and as unknown, and the
// server warms up more slowly.
const confirmLoan = 1500 * time.Millisecond

// loanAskPeriod is the time between questions about a loan after the first
// one. Most requests are still running when the term of their slot has ended,
// so frequent questions cost more than the rare loss of an answer. After a new connection to the holder
// of the borrowing cell, or a new holder, the question comes early.
const loanAskPeriod = time.Minute

// probeLoans asks borrowers about slots whose term has ended. The slot stays
// occupied until a borrower answers: it may have granted the slot just before
// the end of its term.
func (c *Cell) probeLoans(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(c.loans)) {
		l := c.loans[n]
		p := c.peers[l.to]
		if p != nil && p.changed {
			l.probe = now.Add(askWait + time.Second)
		}
		if now.Before(l.probe) {
			continue
		}
		if p == nil && l.tries >= lostTries {
			// The borrowing cell no longer exists.
			delete(c.loans, n)
			c.servers.Finish(now, l.key, warmup.End{Assumed: true})
			continue
		}
		l.probe = now.Add(loanAskPeriod)
		if !l.confirmed && !c.servers.IsWarm(l.message.Server) {
			l.probe = now.Add(c.cfg.ConfirmWait)
		}
		l.tries++
		if p == nil {
			continue
		}
		m := l.message
		m.Ask, m.ToEpoch = true, p.epoch
		c.send(p.router, m)
	}
	for _, p := range c.peers {
		p.changed = false
	}
}

// askLoans asks soon about the slots lent to cells that the router holds.
func (c *Cell) askLoans(now time.Time, id galenalatch.RouterID) {
	for _, l := range c.loans {
		if p := c.peers[l.to]; p != nil && p.router == id {
			l.probe = now
		}
	}
}

func (c *Cell) givenBack(now time.Time, m galenalatch.GiveBack) {
	l := c.loans[m.Slot]
	if l == nil || l.to != m.From {
		return
	}
	if m.InUse {
		l.confirmed = true
		c.servers.Confirm(now, l.key)
		return
	}
	delete(c.loans, m.Slot)
	c.servers.Finish(now, l.key, warmup.End{Completed: m.Completed, Failed: m.Failed, Assumed: m.Assumed})
	if p := c.peers[m.From]; p != nil && !m.Used {
		// Its last summary is out of date. Lending on its word again would
		// keep the slot idle for another round trip.
		p.waiting = 0
	}
}

// lent takes in a slot of another cell, or a question about one.
func (c *Cell) lent(now time.Time, from galenalatch.RouterID, m galenalatch.Lend) {
	k := slotKey{m.From, m.Slot}
	p := c.peer(m.From)
	p.meet(from, m.Epoch)
	o := c.borrowed[k]
	if o != nil {
		switch {
		case o.state == returned:
			c.send(from, o.answer)
		case m.Ask && o.grant != nil && o.grant.confirmed:
			c.send(from, galenalatch.GiveBack{From: c.cfg.ID, To: k.lender, Slot: k.slot, InUse: true})
		}
		return
	}
	if m.Ask && (!c.collected || now.Before(c.cfg.Start.Add(askWait))) {
		return
	}
	o = &offer{
		key: k, epoch: m.Epoch, changed: now,
		target:  warmup.Target{Server: m.Server, Address: m.Address, DataCentre: m.DataCentre, Boot: m.Boot},
		expires: now.Add(time.Duration(m.TermMillis) * time.Millisecond),
	}
	c.borrowed[k] = o
	if m.Ask || m.ToEpoch != c.cfg.Epoch || m.Epoch < p.epoch {
		// An earlier holder of this cell may have used the slot.
		c.giveBack(now, o, ending{assumed: true})
		return
	}
	c.offers = append(c.offers, o)
	c.received++
}

// askWait is how long a new holder leaves questions about lent slots
// unanswered. By then no entry can start a request on a grant of its
// predecessor, and those that run have been reported.
const askWait = 5 * time.Second

// restoreOffer records a borrowed slot that an entry has reported.
func (c *Cell) restoreOffer(now time.Time, n galenalatch.Running) *offer {
	k := slotKey{n.ServerCell, n.Slot}
	o := c.borrowed[k]
	if o == nil {
		o = &offer{key: k, restored: true}
		c.borrowed[k] = o
	}
	o.become(used, now)
	return o
}

// useOffers grants waiting requests the borrowed slots.
func (c *Cell) useOffers(now time.Time) {
	c.offers = slices.DeleteFunc(c.offers, func(o *offer) bool {
		p := c.peers[o.key.lender]
		if c.queue.Ready() == 0 || !now.Before(o.expires) || p != nil && p.epoch > o.epoch {
			return false
		}
		c.grant(now, o.target, o)
		return true
	})
}

// returnOffers returns the borrowed slots that are not needed.
func (c *Cell) returnOffers(now time.Time) {
	for _, o := range c.offers {
		c.giveBack(now, o, ending{})
	}
	c.offers = nil
}

func (c *Cell) giveBack(now time.Time, o *offer, e ending) {
	o.become(returned, now)
	o.answer = galenalatch.GiveBack{
		From: c.cfg.ID, To: o.key.lender, Slot: o.key.slot,
		Used: e.ran, Failed: e.failed, Completed: e.completed, Assumed: e.assumed || e.unreached,
	}
	if p := c.peers[o.key.lender]; p != nil {
		c.send(p.router, o.answer)
	}
}

// summarise tells the other cells of the pool about this one while it is
// busy, and once more when it has become quiet.
func (c *Cell) summarise(now time.Time) {
	ready := c.queue.Ready()
	if c.stopped || ready == 0 && c.announced.Waiting == 0 || now.Before(c.summaryDue()) {
		return
	}
	c.summarised = now
	m := galenalatch.Summary{
		Cell: c.cfg.ID, Epoch: c.cfg.Epoch, VirtualTime: c.queue.VirtualTime(),
		Waiting: ready, Free: c.servers.Free(now),
	}
	if now.Before(c.refresh) && !c.differs(m) {
		return
	}
	c.refresh = now.Add(c.cfg.SummaryRefresh)
	c.announced, c.received = m, 0
	for _, id := range slices.SortedFunc(maps.Keys(c.peers), compareCells) {
		c.send(c.peers[id].router, m)
	}
}

// summaryDue returns when the next summary may be sent. It is early when the
// lenders believe that no work waits here, so that their slots do not stay
// idle for a whole period.
func (c *Cell) summaryDue() time.Time {
	if c.queue.Ready() > 0 && c.received >= c.announced.Waiting {
		return c.summarised.Add(c.cfg.SummaryPeriod / 10)
	}
	return c.summarised.Add(c.cfg.SummaryPeriod)
}

// differs reports whether a summary would lead other cells to other decisions
// than the last one. A difference of virtual time below half the tolerance
// would not, since it can only double the tolerance's part of the bound. A
// lender stops when it has lent as many slots as were announced to wait, so
// a new summary is due before that.
func (c *Cell) differs(m galenalatch.Summary) bool {
	o := c.announced
	d := m.VirtualTime - o.VirtualTime
	return max(d, -d) > c.cfg.LendTolerance/2 || m.Waiting > 2*o.Waiting || 2*m.Waiting < o.Waiting ||
		2*c.received >= o.Waiting
}
