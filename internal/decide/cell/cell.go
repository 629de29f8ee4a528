// Package cell decides for one cell of a pool: which waiting request runs
// next on which backend server, and which other cell of the pool borrows a
// free slot.
//
// A Cell does no I/O, starts no goroutine and reads no clock. Messages and
// observations go in through its methods; Tick runs the systems over the
// tables and returns the messages to send. The cell tolerates lost,
// duplicated, reordered and delayed messages: a slot is freed only by the
// entry's answer for the serial number of its grant, or when the entry can no
// longer use the grant.
package cell

import (
	"cmp"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/fairqueue"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// Config holds the settings of a cell for one epoch. Durations and amounts
// that are zero stand for defaults.
type Config struct {
	ID     galenalatch.CellID
	Router galenalatch.RouterID
	Epoch  galenalatch.Epoch
	Pool   galenalatch.Pool
	// Unconfirmed says that a previous holder did not release the lease and
	// may still act. It must also be set when that holds for an earlier
	// predecessor within ReserveFor.
	Unconfirmed bool
	// Released says that the previous holder released the lease. Entries may
	// then still use its last grants until the lease would have expired.
	Released bool
	// Start is when the router took over the cell.
	Start time.Time
	// Servers tunes the table of backend servers.
	Servers warmup.Tuning
	// SummaryPeriod is the time between two summaries. The default is 200 ms.
	SummaryPeriod time.Duration
	// SummaryRefresh is the longest time between two summaries of a busy cell
	// whose state hardly changes. The default is five periods.
	SummaryRefresh time.Duration
	// SummaryAge is the age from which a summary no longer counts. The
	// default is 2.5 times SummaryRefresh.
	SummaryAge time.Duration
	// LoanTerm is how long a lent slot may wait for use. The default is 1 s.
	LoanTerm time.Duration
	// ReportWait is how long a new holder waits for reports. The default is
	// 2 s.
	ReportWait time.Duration
	// ReleaseWait replaces ReportWait when Released is set: the duration of
	// a lease. The default is 4 s.
	ReleaseWait time.Duration
	// ConfirmWait is how long a grant may stay unconfirmed before it is sent
	// again. The default is 2 s.
	ConfirmWait time.Duration
	// ProgressWait is how long a running request may go without progress
	// before its entry is asked. Entries confirm a running request every 5 s.
	// The default is 12 s, so that one lost message leads to no question.
	ProgressWait time.Duration
	// RouterGone is how long a router must be disconnected before its slots
	// are freed. The default is 10 s.
	RouterGone time.Duration
	// ReserveFor is how long half of each cold limit stays unused after an
	// unconfirmed predecessor, and how long a lapsed holder continues. The
	// default is 2 h.
	ReserveFor time.Duration
	// LendTolerance is the difference of virtual time up to which the cell
	// prefers its own workspaces. The default is a quarter of the pool's
	// MaxCost.
	LendTolerance int64
	// MaxCatchUp bounds how far the cell's virtual time may be behind that
	// of another cell. The default is 64 times the pool's MaxCost.
	MaxCatchUp int64
}

func (c Config) withDefaults() Config {
	c.SummaryPeriod = cmp.Or(c.SummaryPeriod, 200*time.Millisecond)
	c.SummaryRefresh = cmp.Or(c.SummaryRefresh, 5*c.SummaryPeriod)
	c.SummaryAge = cmp.Or(c.SummaryAge, c.SummaryRefresh*5/2)
	c.LoanTerm = cmp.Or(c.LoanTerm, time.Second)
	c.ReportWait = cmp.Or(c.ReportWait, 2*time.Second)
	c.ReleaseWait = cmp.Or(c.ReleaseWait, 4*time.Second)
	if c.Released {
		c.ReportWait = max(c.ReportWait, c.ReleaseWait)
	}
	c.ConfirmWait = cmp.Or(c.ConfirmWait, 2*time.Second)
	c.ProgressWait = cmp.Or(c.ProgressWait, 12*time.Second)
	c.RouterGone = cmp.Or(c.RouterGone, 10*time.Second)
	c.ReserveFor = cmp.Or(c.ReserveFor, 2*time.Hour)
	c.LendTolerance = cmp.Or(c.LendTolerance, max(1, c.Pool.MaxCost/4))
	c.MaxCatchUp = cmp.Or(c.MaxCatchUp, 64*max(1, c.Pool.MaxCost))
	return c
}

// memory is how long the cell remembers ended grants and returned slots, so
// that a late duplicate of a message does not revive them.
const memory = 10 * time.Minute

// maxIdle is the number of workspaces from which records of idle ones are
// dropped: about 1 MB.
const maxIdle = 2000

// scanPeriod is the time between two looks for grants, loans and routers
// whose waiting times have passed.
const scanPeriod = 500 * time.Millisecond

// Cell is the state of one cell while this router holds it.
type Cell struct {
	cfg       Config
	catalogue galenalatch.Catalogue
	queue     *fairqueue.Queue
	servers   *warmup.Servers
	prefixes  prefixes
	serial    uint64

	requests map[galenalatch.RequestID]*request
	grants   map[uint64]*grant
	ended    map[uint64]time.Time
	loans    map[string]*loan
	repaid   map[string]time.Time
	offers   []*offer
	borrowed map[slotKey]*offer
	routers  map[galenalatch.RouterID]*router
	gone     []galenalatch.RouterID
	peers    map[galenalatch.CellID]*peer

	leaseExpires time.Time
	lapsed       bool
	lapsedSince  time.Time
	stopped      bool
	removed      bool
	listed       bool
	collected    bool
	busy         bool
	announced    galenalatch.Summary
	// received counts the slots borrowed since the last summary.
	received   int
	summarised time.Time
	refresh    time.Time
	nextScan   time.Time
	nextForget time.Time
	changed    bool
	out        []galenalatch.Outgoing
}

// New returns the state of a cell that the router has just taken over. All
// servers are cold.
func New(cfg Config) *Cell {
	cfg = cfg.withDefaults()
	c := &Cell{
		cfg:      cfg,
		queue:    fairqueue.New(cfg.Pool.MaxCost),
		servers:  warmup.New(cfg.Servers),
		prefixes: newPrefixes(),
		serial:   uint64(cfg.Epoch) << 32,
		requests: make(map[galenalatch.RequestID]*request),
		grants:   make(map[uint64]*grant),
		ended:    make(map[uint64]time.Time),
		loans:    make(map[string]*loan),
		repaid:   make(map[string]time.Time),
		borrowed: make(map[slotKey]*offer),
		routers:  make(map[galenalatch.RouterID]*router),
		peers:    make(map[galenalatch.CellID]*peer),
	}
	c.servers.SetLimits(cfg.Pool.ColdLimit, cfg.Pool.WarmLimit)
	if cfg.Unconfirmed {
		c.servers.SetReserve(cfg.Start.Add(cfg.ReserveFor))
	}
	return c
}

// Handle takes in a message from another router. Messages for other cells
// change nothing.
func (c *Cell) Handle(now time.Time, from galenalatch.RouterID, m galenalatch.Message) {
	c.changed = true
	switch m := m.(type) {
	case galenalatch.Enqueue:
		if m.Cell == c.cfg.ID {
			c.enqueue(now, from, m.Waiting)
		}
	case galenalatch.Withdraw:
		if m.Cell == c.cfg.ID {
			c.withdraw(m.Request)
		}
	case galenalatch.Progress:
		if m.Cell == c.cfg.ID {
			c.progress(now, from, m.Used)
		}
	case galenalatch.Finish:
		if m.Cell == c.cfg.ID {
			c.finish(now, m)
		}
	case galenalatch.Report:
		if m.Cell == c.cfg.ID {
			c.report(now, from, m)
		}
	case galenalatch.LeaseAsk:
		if m.Cell == c.cfg.ID {
			c.leaseAsked(now, from, m)
		}
	case galenalatch.Summary:
		c.summary(now, from, m)
	case galenalatch.Lend:
		if m.To == c.cfg.ID {
			c.lent(now, from, m)
		}
	case galenalatch.GiveBack:
		if m.To == c.cfg.ID {
			c.givenBack(now, m)
		}
	case galenalatch.Handover:
		if m.Cell == c.cfg.ID {
			c.handover(m)
		}
	}
}

// Tick runs the systems and returns the messages to send. A message may be
// addressed to the cell's own router, for another cell that it holds.
func (c *Cell) Tick(now time.Time) []galenalatch.Outgoing {
	c.changed = false
	if !now.Before(c.nextScan) {
		c.nextScan = now.Add(scanPeriod)
		c.dropGoneRouters(now)
		c.probeGrants(now)
		c.probeLoans(now)
		c.forget(now)
	}
	if c.mayGrant(now) {
		c.join(now)
		c.useOffers(now)
		c.dispatch(now)
	}
	c.busy = c.queue.Ready() > 0
	c.returnOffers(now)
	c.summarise(now)
	out := c.out
	c.out = nil
	return out
}

// Deadline returns the time of the next tick that is due without a message.
// It reports false when the cell is quiet.
func (c *Cell) Deadline() (time.Time, bool) {
	if c.changed {
		return time.Time{}, true
	}
	var at time.Time
	add := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if !c.stopped && (c.announced.Waiting > 0 || c.queue.Ready() > 0) {
		add(c.summaryDue())
	}
	if len(c.grants) > 0 || len(c.loans) > 0 || len(c.offers) > 0 || c.anyDown() {
		add(c.nextScan)
	}
	if !c.collected && c.queue.Len() > 0 {
		add(c.cfg.Start.Add(c.cfg.ReportWait))
	}
	return at, !at.IsZero()
}

// Stop ends granting for good, before the lease is released. Messages are
// still handled and answered.
func (c *Cell) Stop() {
	c.stopped = true
	c.changed = true
}

// Handover returns the message for the next holder. Stop must have been
// called before.
func (c *Cell) Handover() galenalatch.Handover {
	counters := c.queue.Counters()
	counters[virtualTimeKey] = c.queue.VirtualTime()
	return galenalatch.Handover{Cell: c.cfg.ID, Epoch: c.cfg.Epoch, Counters: counters, Warm: c.servers.Warm()}
}

// virtualTimeKey is the key of the virtual time among the counters of a
// handover. No workspace has an empty name.
const virtualTimeKey = ""

func (c *Cell) handover(m galenalatch.Handover) {
	if m.Epoch >= c.cfg.Epoch {
		return
	}
	if m.Epoch+1 == c.cfg.Epoch && !c.cfg.Unconfirmed {
		for id, w := range m.Warm {
			c.servers.SetWarm(galenalatch.ServerID(id), w)
		}
	}
	c.queue.Lift(m.Counters[virtualTimeKey])
	for w, v := range m.Counters {
		if w != virtualTimeKey {
			c.learn(galenalatch.WorkspaceName(w))
			c.queue.SetCounter(galenalatch.WorkspaceName(w), v)
		}
	}
}

func (c *Cell) send(to galenalatch.RouterID, m galenalatch.Message) {
	if to != "" {
		c.out = append(c.out, galenalatch.Outgoing{To: to, Message: m})
	}
}

// superseded stops the cell when a newer epoch is known.
func (c *Cell) superseded(e galenalatch.Epoch) bool {
	if e > c.cfg.Epoch {
		c.stopped = true
	}
	return c.stopped
}

// mayGrant reports whether the lease allows grants and the reports of the
// entries are complete.
func (c *Cell) mayGrant(now time.Time) bool {
	if c.stopped || c.removed {
		return false
	}
	if c.lapsed && now.Sub(c.lapsedSince) > c.cfg.ReserveFor {
		c.stopped = true
		return false
	}
	if !c.lapsed && !now.Before(c.leaseExpires) {
		return false
	}
	if !c.collected {
		c.collected = !now.Before(c.cfg.Start.Add(c.cfg.ReportWait)) || c.allReported()
	}
	return c.collected
}

func (c *Cell) leaseAsked(now time.Time, from galenalatch.RouterID, m galenalatch.LeaseAsk) {
	s := galenalatch.LeaseState{Cell: c.cfg.ID, Epoch: c.cfg.Epoch, Echo: m.Stamp, Reported: c.router(from).reported}
	if !c.stopped {
		s.RemainingMillis = max(0, c.leaseExpires.Sub(now).Milliseconds())
		s.Lapsed = c.lapsed
	}
	c.send(from, s)
}

// forget drops memories that no late message can refer to any more.
func (c *Cell) forget(now time.Time) {
	if now.Before(c.nextForget) {
		return
	}
	c.nextForget = now.Add(memory / 10)
	c.queue.Forget(maxIdle)
	for k, t := range c.ended {
		if now.Sub(t) > memory/5 {
			delete(c.ended, k)
		}
	}
	for k, t := range c.repaid {
		if now.Sub(t) > memory {
			delete(c.repaid, k)
		}
	}
	for k, o := range c.borrowed {
		if o.state == returned && now.Sub(o.changed) > memory {
			delete(c.borrowed, k)
		}
	}
}
