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
	summaryAt   time.Time
	// holderChanged says that the loans to an earlier holder must be probed.
	holderChanged bool
}

func (p *peer) setHolder(r galenalatch.RouterID, e galenalatch.Epoch) {
	if e >= p.epoch {
		if e > p.epoch {
			p.waiting = 0
			p.holderChanged = true
		}
		p.router, p.epoch = r, e
	}
}

// loan is a slot of this cell that another cell may use.
type loan struct {
	slotSerial uint64
	to         galenalatch.CellID
	message    galenalatch.Lend
	probeAt    time.Time
	probes     int
	// confirmed says that the borrower's entry runs a request on the slot.
	confirmed bool
}

// slotKey identifies a borrowed slot.
type slotKey struct {
	lender galenalatch.CellID
	slot   string
}

type slotState int

const (
	slotUnused slotState = iota
	slotUsed
	slotReturned
)

// borrowedSlot is a slot of another cell that this cell may use, or has used
// or returned. Its answer returned the slot and is sent again when the lender
// queries the slot.
type borrowedSlot struct {
	key        slotKey
	epoch      galenalatch.Epoch
	target     warmup.Target
	state      slotState
	stateSince time.Time
	expires    time.Time
	answer     galenalatch.GiveBack
	// grant is the grant that uses the slot.
	grant *grant
	// restored says that the slot is known from an entry's report only.
	restored bool
}

func (o *borrowedSlot) setState(s slotState, now time.Time) {
	o.state, o.stateSince = s, now
}

func (c *Cell) peer(id galenalatch.CellID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{cell: id}
		c.peers[id] = p
	}
	return p
}

func (c *Cell) handleSummary(now time.Time, from galenalatch.RouterID, m galenalatch.Summary) {
	if m.Cell == c.cfg.ID {
		c.stopIfSuperseded(m.Epoch)
		return
	}
	if m.Cell.Pool != c.cfg.ID.Pool {
		return
	}
	p := c.peer(m.Cell)
	if m.Epoch < p.epoch {
		return
	}
	p.setHolder(from, m.Epoch)
	p.virtualTime, p.waiting, p.summaryAt = m.VirtualTime, m.Waiting, now
	if m.Waiting > 0 && c.queue.VirtualTime() < m.VirtualTime-c.cfg.MaxVirtualTimeLag {
		c.queue.RaiseVirtualTime(m.VirtualTime - c.cfg.MaxVirtualTimeLag)
	}
}

// nextBorrower returns the peer with the lowest virtual time among those with
// waiting requests and a recent summary, or nil.
func (c *Cell) nextBorrower(now time.Time) *peer {
	var best *peer
	for _, p := range c.peers {
		if p.waiting <= 0 || p.router == "" || now.Sub(p.summaryAt) > c.cfg.SummaryMaxAge {
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

// raiseVirtualTime raises the virtual time of a cell that becomes busy to the
// lowest one of the other busy cells. A cell earns no credit while it is idle.
func (c *Cell) raiseVirtualTime(now time.Time) {
	if c.wasBusy || c.queue.Ready() == 0 {
		return
	}
	if p := c.nextBorrower(now); p != nil {
		c.queue.RaiseVirtualTime(p.virtualTime)
	}
}

func (c *Cell) lend(now time.Time, p *peer, t warmup.Target) {
	c.serial++
	slot := strconv.FormatUint(c.serial, 36)
	l := &loan{
		slotSerial: c.serial,
		to:         p.cell,
		message: galenalatch.Lend{
			From: c.cfg.ID, Epoch: c.cfg.Epoch, To: p.cell, ToEpoch: p.epoch, Slot: slot,
			Server: t.Server, Address: t.Address, Boot: t.Boot, DataCentre: t.DataCentre,
			TermMillis: c.cfg.LoanTerm.Milliseconds(),
		},
		probeAt: now.Add(loanProbePeriod / 2),
	}
	if !c.servers.IsWarm(t.Server) {
		l.probeAt = now.Add(loanConfirmTimeout)
	}
	c.loans[slot] = l
	c.servers.Start(now, l.slotSerial, t.Server, t.Boot)
	p.waiting--
	c.send(p.router, l.message)
}

// restoreLoan records a slot that a previous holder of the cell lent.
func (c *Cell) restoreLoan(now time.Time, n galenalatch.Running) *loan {
	c.serial++
	c.servers.Start(now, c.serial, n.Server, n.Boot)
	c.servers.Confirm(now, c.serial)
	return &loan{
		slotSerial: c.serial, to: n.Home, probeAt: now.Add(c.cfg.ProgressTimeout),
		message: galenalatch.Lend{From: c.cfg.ID, Epoch: c.cfg.Epoch, To: n.Home, Slot: n.Slot, Server: n.Server, Boot: n.Boot},
	}
}

// maxUnlistedProbes is the number of probes after which a loan to a cell that
// is no longer listed ends. They take two minutes.
const maxUnlistedProbes = 3

// loanConfirmTimeout is how long after a loan on a server that is not warm the
// borrower is queried. Entries confirm a grant within a second. Without a
// confirmation the request counts twice, as lent and as unknown, and the
// server warms up more slowly.
const loanConfirmTimeout = 1500 * time.Millisecond

// loanProbePeriod is the time between probes of a loan. The first one is due
// after half of it. Most requests are still running when the term of their
// slot has ended, so frequent probes cost more than the rare loss of an
// answer. After a new connection to the holder of the borrowing cell, or a
// change of its holder, the probe is due early.
const loanProbePeriod = time.Minute

// probeLoans queries the borrowers of slots whose probes are due. A slot stays
// occupied after its term until the borrower answers, since the borrower may
// have granted it just before the end of the term.
func (c *Cell) probeLoans(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(c.loans)) {
		l := c.loans[n]
		p := c.peers[l.to]
		if p != nil && p.holderChanged {
			l.probeAt = now.Add(newHolderAnswerDelay + time.Second)
		}
		if now.Before(l.probeAt) {
			continue
		}
		if p == nil && l.probes >= maxUnlistedProbes {
			// The borrowing cell no longer exists.
			delete(c.loans, n)
			c.servers.Finish(now, l.slotSerial, warmup.Result{Unverified: true})
			continue
		}
		l.probeAt = now.Add(loanProbePeriod)
		if !l.confirmed && !c.servers.IsWarm(l.message.Server) {
			l.probeAt = now.Add(c.cfg.ConfirmTimeout)
		}
		l.probes++
		if p == nil {
			continue
		}
		m := l.message
		m.StatusQuery, m.ToEpoch = true, p.epoch
		c.send(p.router, m)
	}
	for _, p := range c.peers {
		p.holderChanged = false
	}
}

// scheduleLoanProbes makes the probes of all slots lent to cells of the router
// due now.
func (c *Cell) scheduleLoanProbes(now time.Time, id galenalatch.RouterID) {
	for _, l := range c.loans {
		if p := c.peers[l.to]; p != nil && p.router == id {
			l.probeAt = now
		}
	}
}

func (c *Cell) handleGiveBack(now time.Time, m galenalatch.GiveBack) {
	l := c.loans[m.Slot]
	if l == nil || l.to != m.From {
		return
	}
	if m.InUse {
		l.confirmed = true
		c.servers.Confirm(now, l.slotSerial)
		return
	}
	delete(c.loans, m.Slot)
	c.returnedLoans[m.Slot] = now
	c.servers.Finish(now, l.slotSerial, warmup.Result{Completed: m.Completed, Failed: m.Failed, Unverified: m.Unverified})
	if p := c.peers[m.From]; p != nil && !m.Used {
		// The borrower's last summary is out of date. Another loan based on
		// it would keep the slot idle for another round trip.
		p.waiting = 0
	}
}

// handleLend records a slot lent by another cell, or answers a query about
// one.
func (c *Cell) handleLend(now time.Time, from galenalatch.RouterID, m galenalatch.Lend) {
	k := slotKey{m.From, m.Slot}
	p := c.peer(m.From)
	p.setHolder(from, m.Epoch)
	o := c.borrowedSlots[k]
	if o != nil {
		switch {
		case o.state == slotReturned:
			c.send(from, o.answer)
		case m.StatusQuery && o.grant != nil && o.grant.confirmed:
			c.send(from, galenalatch.GiveBack{From: c.cfg.ID, To: k.lender, Slot: k.slot, InUse: true})
		}
		return
	}
	if m.StatusQuery && (!c.reportsComplete || now.Before(c.cfg.Start.Add(newHolderAnswerDelay))) {
		return
	}
	o = &borrowedSlot{
		key: k, epoch: m.Epoch, stateSince: now,
		target:  warmup.Target{Server: m.Server, Address: m.Address, DataCentre: m.DataCentre, Boot: m.Boot},
		expires: now.Add(time.Duration(m.TermMillis) * time.Millisecond),
	}
	c.borrowedSlots[k] = o
	if m.StatusQuery || m.ToEpoch != c.cfg.Epoch || m.Epoch < p.epoch {
		// An earlier holder of this cell may have used the slot.
		c.returnSlot(now, o, grantResult{unverified: true})
		return
	}
	c.unusedSlots = append(c.unusedSlots, o)
	c.borrowedSinceSummary++
}

// newHolderAnswerDelay is how long a new holder leaves queries about lent
// slots unanswered. After that time no entry can start a request on a grant of
// the previous holder, and the running ones have been reported.
const newHolderAnswerDelay = 5 * time.Second

// restoreBorrowedSlot records a borrowed slot that an entry has reported.
func (c *Cell) restoreBorrowedSlot(now time.Time, n galenalatch.Running) *borrowedSlot {
	k := slotKey{n.ServerCell, n.Slot}
	o := c.borrowedSlots[k]
	if o == nil {
		o = &borrowedSlot{key: k, restored: true}
		c.borrowedSlots[k] = o
	}
	o.setState(slotUsed, now)
	return o
}

// useBorrowedSlots grants unused borrowed slots to waiting requests. Slots
// whose term has ended or whose lender has a newer holder stay unused.
func (c *Cell) useBorrowedSlots(now time.Time) {
	c.unusedSlots = slices.DeleteFunc(c.unusedSlots, func(o *borrowedSlot) bool {
		p := c.peers[o.key.lender]
		if c.queue.Ready() == 0 || !now.Before(o.expires) || p != nil && p.epoch > o.epoch {
			return false
		}
		c.grantNext(now, o.target, o)
		return true
	})
}

// returnUnusedSlots returns the borrowed slots that were not granted.
func (c *Cell) returnUnusedSlots(now time.Time) {
	for _, o := range c.unusedSlots {
		c.returnSlot(now, o, grantResult{})
	}
	c.unusedSlots = nil
}

func (c *Cell) returnSlot(now time.Time, o *borrowedSlot, e grantResult) {
	o.setState(slotReturned, now)
	o.answer = galenalatch.GiveBack{
		From: c.cfg.ID, To: o.key.lender, Slot: o.key.slot,
		Used: e.ran, Failed: e.failed, Completed: e.completed, Unverified: e.unverified || e.unreachable,
	}
	if p := c.peers[o.key.lender]; p != nil {
		c.send(p.router, o.answer)
	}
}

// sendSummary sends the state of the cell to the other cells of the pool while
// it has requests that could start, and once more when it has none.
func (c *Cell) sendSummary(now time.Time) {
	ready := c.queue.Ready()
	if c.stopped || ready == 0 && c.lastSummary.Waiting == 0 || now.Before(c.summaryDue()) {
		return
	}
	c.summaryChecked = now
	m := galenalatch.Summary{
		Cell: c.cfg.ID, Epoch: c.cfg.Epoch, VirtualTime: c.queue.VirtualTime(),
		Waiting: ready, Free: c.servers.Free(now),
	}
	if now.Before(c.summaryRefresh) && !c.summaryDiffers(m) {
		return
	}
	c.summaryRefresh = now.Add(c.cfg.SummaryRefresh)
	c.lastSummary, c.borrowedSinceSummary = m, 0
	for _, id := range slices.SortedFunc(maps.Keys(c.peers), compareCells) {
		c.send(c.peers[id].router, m)
	}
}

// summaryDue returns when the next summary may be sent. It is due early when
// the cell has borrowed as many slots as it had announced waiting requests:
// the lenders then assume that no request waits, and their slots would stay
// idle for a whole period.
func (c *Cell) summaryDue() time.Time {
	if c.queue.Ready() > 0 && c.borrowedSinceSummary >= c.lastSummary.Waiting {
		return c.summaryChecked.Add(c.cfg.SummaryPeriod / 10)
	}
	return c.summaryChecked.Add(c.cfg.SummaryPeriod)
}

// summaryDiffers reports whether a summary would lead other cells to other
// decisions than the last one. A difference of virtual time of up to half of
// LendTolerance is ignored, since it can at most double the tolerance's part
// of the fairness bound. A lender stops when it has lent as many slots as
// there were announced waiting requests, so a new summary is due before that.
func (c *Cell) summaryDiffers(m galenalatch.Summary) bool {
	o := c.lastSummary
	d := m.VirtualTime - o.VirtualTime
	return max(d, -d) > c.cfg.LendTolerance/2 || m.Waiting > 2*o.Waiting || 2*m.Waiting < o.Waiting ||
		2*c.borrowedSinceSummary >= o.Waiting
}
