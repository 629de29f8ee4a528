// Package cell decides for one cell of a pool: which waiting request runs
// next on which backend server, and which other cell of the pool borrows a
// free slot.
//
// A Cell does no I/O, starts no goroutine and reads no clock. Its methods
// take messages and observations as input; Tick makes the decisions that are
// due and returns the messages to send. The cell tolerates lost, duplicated,
// reordered and delayed messages: a slot is freed only by the entry's answer
// for the serial number of its grant, or when the entry can no longer use the
// grant.
package cell

import (
	"cmp"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/fairqueue"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// Config holds the settings of a cell for one epoch. Zero durations and
// amounts select the defaults.
type Config struct {
	ID     galenalatch.CellID
	Router galenalatch.RouterID
	Epoch  galenalatch.Epoch
	Pool   galenalatch.Pool
	// PredecessorUnconfirmed says that a previous holder did not release the lease
	// and may still act. It must also be set if that applies to an earlier
	// predecessor within ReserveDuration.
	PredecessorUnconfirmed bool
	// PredecessorReleased says that the previous holder released the lease.
	// Entries may then still use its last grants until the lease would have
	// expired.
	PredecessorReleased bool
	// Start is when the router took over the cell.
	Start time.Time
	// ServerTuning sets the parameters of the warm-up of backend servers.
	ServerTuning warmup.Tuning
	// SummaryPeriod is the time between two summaries. The default is 200 ms.
	SummaryPeriod time.Duration
	// SummaryRefresh is the longest time between two summaries of a cell
	// with waiting requests whose state hardly changes. The default is five
	// summary periods.
	SummaryRefresh time.Duration
	// SummaryMaxAge is the age above which a summary of another cell is
	// ignored. The default is 2.5 times SummaryRefresh.
	SummaryMaxAge time.Duration
	// LoanTerm is how long the borrower of a slot may wait before it grants
	// the slot. The default is 1 s.
	LoanTerm time.Duration
	// ReportTimeout is how long a new holder waits for the reports of
	// entries before it grants. The default is 2 s.
	ReportTimeout time.Duration
	// ReleasedReportTimeout replaces ReportTimeout when PredecessorReleased is set
	// and it is longer. It is the duration of a lease. The default is 4 s.
	ReleasedReportTimeout time.Duration
	// ConfirmTimeout is how long a grant may stay unconfirmed before it is
	// sent again. The default is 2 s.
	ConfirmTimeout time.Duration
	// ProgressTimeout is how long a running request may go without progress
	// before the cell queries its entry. Entries confirm a running request
	// every 5 s. The default of 12 s tolerates one lost message.
	ProgressTimeout time.Duration
	// RouterTimeout is how long a router must be disconnected before its
	// slots are freed. The default is 10 s.
	RouterTimeout time.Duration
	// ReserveDuration is how long half of each cold limit stays unused after
	// an unconfirmed predecessor, and how long a lapsed holder continues.
	// The default is 2 h.
	ReserveDuration time.Duration
	// LendTolerance is by how much the cell's virtual time may exceed that
	// of another cell before free slots are lent to that cell. The default
	// is a quarter of the pool's MaxCost.
	LendTolerance int64
	// MaxVirtualTimeLag bounds how far the cell's virtual time may be behind
	// that of another cell. The default is 64 times the pool's MaxCost.
	MaxVirtualTimeLag int64
}

func (c Config) withDefaults() Config {
	c.SummaryPeriod = cmp.Or(c.SummaryPeriod, 200*time.Millisecond)
	c.SummaryRefresh = cmp.Or(c.SummaryRefresh, 5*c.SummaryPeriod)
	c.SummaryMaxAge = cmp.Or(c.SummaryMaxAge, c.SummaryRefresh*5/2)
	c.LoanTerm = cmp.Or(c.LoanTerm, time.Second)
	c.ReportTimeout = cmp.Or(c.ReportTimeout, 2*time.Second)
	c.ReleasedReportTimeout = cmp.Or(c.ReleasedReportTimeout, 4*time.Second)
	if c.PredecessorReleased {
		c.ReportTimeout = max(c.ReportTimeout, c.ReleasedReportTimeout)
	}
	c.ConfirmTimeout = cmp.Or(c.ConfirmTimeout, 2*time.Second)
	c.ProgressTimeout = cmp.Or(c.ProgressTimeout, 12*time.Second)
	c.RouterTimeout = cmp.Or(c.RouterTimeout, 10*time.Second)
	c.ReserveDuration = cmp.Or(c.ReserveDuration, 2*time.Hour)
	c.LendTolerance = cmp.Or(c.LendTolerance, max(1, c.Pool.MaxCost/4))
	c.MaxVirtualTimeLag = cmp.Or(c.MaxVirtualTimeLag, 64*max(1, c.Pool.MaxCost))
	return c
}

// recordRetention is how long the cell keeps records of returned slots. It
// keeps records of ended grants for a fifth of that time. With a record, a
// late duplicate of a message does not revive the grant or the slot.
const recordRetention = 10 * time.Minute

// maxWorkspaceRecords is the number of workspace records above which those of
// idle workspaces are dropped. That many records take about 1 MB.
const maxWorkspaceRecords = 2000

// scanPeriod is the time between two scans for grants, loans and routers
// whose timeouts have passed.
const scanPeriod = 500 * time.Millisecond

// Cell is the state of one cell while this router holds it.
type Cell struct {
	cfg       Config
	catalogue galenalatch.Catalogue
	queue     *fairqueue.Queue
	servers   *warmup.Servers
	prefixes  prefixAffinity
	serial    uint64

	requests       map[galenalatch.RequestID]*request
	grants         map[uint64]*grant
	endedGrants    map[uint64]time.Time
	loans          map[string]*loan
	returnedLoans  map[string]time.Time
	unusedSlots    []*borrowedSlot
	borrowedSlots  map[slotKey]*borrowedSlot
	routers        map[galenalatch.RouterID]*router
	expiredRouters []galenalatch.RouterID
	peers          map[galenalatch.CellID]*peer

	leaseExpires    time.Time
	lapsed          bool
	lapsedSince     time.Time
	stopped         bool
	poolRemoved     bool
	routersListed   bool
	reportsComplete bool
	wasBusy         bool
	lastSummary     galenalatch.Summary
	// borrowedSinceSummary counts the slots borrowed since the last summary.
	borrowedSinceSummary int
	summaryChecked       time.Time
	summaryRefresh       time.Time
	nextScan             time.Time
	nextPrune            time.Time
	tickPending          bool
	outgoing             []galenalatch.Outgoing
}

// New returns the state of a cell that the router has just taken over. All
// servers are cold.
func New(cfg Config) *Cell {
	cfg = cfg.withDefaults()
	c := &Cell{
		cfg:           cfg,
		queue:         fairqueue.New(cfg.Pool.MaxCost),
		servers:       warmup.New(cfg.ServerTuning),
		prefixes:      newPrefixAffinity(),
		serial:        uint64(cfg.Epoch) << 32,
		requests:      make(map[galenalatch.RequestID]*request),
		grants:        make(map[uint64]*grant),
		endedGrants:   make(map[uint64]time.Time),
		loans:         make(map[string]*loan),
		returnedLoans: make(map[string]time.Time),
		borrowedSlots: make(map[slotKey]*borrowedSlot),
		routers:       make(map[galenalatch.RouterID]*router),
		peers:         make(map[galenalatch.CellID]*peer),
	}
	c.servers.SetLimits(cfg.Pool.ColdLimit, cfg.Pool.WarmLimit)
	if cfg.PredecessorUnconfirmed {
		c.servers.ReserveUntil(cfg.Start.Add(cfg.ReserveDuration))
	}
	return c
}

// Handle processes a message from another router. It ignores messages that
// are addressed to other cells.
func (c *Cell) Handle(now time.Time, from galenalatch.RouterID, m galenalatch.Message) {
	c.tickPending = true
	switch m := m.(type) {
	case galenalatch.Enqueue:
		if m.Cell == c.cfg.ID {
			c.enqueue(now, from, m.Waiting)
		}
	case galenalatch.Withdraw:
		if m.Cell == c.cfg.ID {
			c.handleWithdraw(m.Request)
		}
	case galenalatch.Progress:
		if m.Cell == c.cfg.ID {
			c.handleProgress(now, from, m.Used)
		}
	case galenalatch.Finish:
		if m.Cell == c.cfg.ID {
			c.handleFinish(now, m)
		}
	case galenalatch.Report:
		if m.Cell == c.cfg.ID {
			c.handleReport(now, from, m)
		}
	case galenalatch.LeaseRequest:
		if m.Cell == c.cfg.ID {
			c.handleLeaseRequest(now, from, m)
		}
	case galenalatch.Summary:
		c.handleSummary(now, from, m)
	case galenalatch.Lend:
		if m.To == c.cfg.ID {
			c.handleLend(now, from, m)
		}
	case galenalatch.GiveBack:
		if m.To == c.cfg.ID {
			c.handleGiveBack(now, m)
		}
	case galenalatch.Handover:
		if m.Cell == c.cfg.ID {
			c.handleHandover(m)
		}
	}
}

// Tick makes the decisions that are due and returns the messages to send. A
// message may be addressed to the cell's own router, for another cell that
// this router holds.
func (c *Cell) Tick(now time.Time) []galenalatch.Outgoing {
	c.tickPending = false
	if !now.Before(c.nextScan) {
		c.nextScan = now.Add(scanPeriod)
		c.expireRouters(now)
		c.probeGrants(now)
		c.probeLoans(now)
		c.pruneRecords(now)
	}
	if c.mayGrant(now) {
		c.raiseVirtualTime(now)
		c.useBorrowedSlots(now)
		c.dispatch(now)
	}
	c.wasBusy = c.queue.Ready() > 0
	c.returnUnusedSlots(now)
	c.sendSummary(now)
	out := c.outgoing
	c.outgoing = nil
	return out
}

// NextTick returns when the next tick is due if no message arrives before.
// The zero time means at once. It reports false when no tick is due.
func (c *Cell) NextTick() (time.Time, bool) {
	if c.tickPending {
		return time.Time{}, true
	}
	var at time.Time
	add := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if !c.stopped && (c.lastSummary.Waiting > 0 || c.queue.Ready() > 0) {
		add(c.summaryDue())
	}
	if len(c.grants) > 0 || len(c.loans) > 0 || len(c.unusedSlots) > 0 || c.hasDisconnected() {
		add(c.nextScan)
	}
	if !c.reportsComplete && c.queue.Len() > 0 {
		add(c.cfg.Start.Add(c.cfg.ReportTimeout))
	}
	return at, !at.IsZero()
}

// StopGranting ends granting permanently. It must be called before the lease is
// released. Messages are still handled and answered.
func (c *Cell) StopGranting() {
	c.stopped = true
	c.tickPending = true
}

// Handover returns the message for the next holder. StopGranting must have been
// called before.
func (c *Cell) Handover() galenalatch.Handover {
	counters := c.queue.Counters()
	counters[virtualTimeKey] = c.queue.VirtualTime()
	return galenalatch.Handover{Cell: c.cfg.ID, Epoch: c.cfg.Epoch, Counters: counters, Warm: c.servers.Warm()}
}

// virtualTimeKey is the key of the virtual time among the counters of a
// handover. No workspace has an empty name.
const virtualTimeKey = ""

func (c *Cell) handleHandover(m galenalatch.Handover) {
	if m.Epoch >= c.cfg.Epoch {
		return
	}
	if m.Epoch+1 == c.cfg.Epoch && !c.cfg.PredecessorUnconfirmed {
		for id, w := range m.Warm {
			c.servers.SetWarm(galenalatch.ServerID(id), w)
		}
	}
	c.queue.RaiseVirtualTime(m.Counters[virtualTimeKey])
	for w, v := range m.Counters {
		if w != virtualTimeKey {
			c.ensureLimits(galenalatch.WorkspaceName(w))
			c.queue.RaiseCounter(galenalatch.WorkspaceName(w), v)
		}
	}
}

func (c *Cell) send(to galenalatch.RouterID, m galenalatch.Message) {
	if to != "" {
		c.outgoing = append(c.outgoing, galenalatch.Outgoing{To: to, Message: m})
	}
}

// stopIfSuperseded stops the cell if e is newer than its own epoch. It reports
// whether the cell is stopped.
func (c *Cell) stopIfSuperseded(e galenalatch.Epoch) bool {
	if e > c.cfg.Epoch {
		c.stopped = true
	}
	return c.stopped
}

// mayGrant reports whether the lease allows grants and the reports of the
// entries are complete.
func (c *Cell) mayGrant(now time.Time) bool {
	if c.stopped || c.poolRemoved {
		return false
	}
	if c.lapsed && now.Sub(c.lapsedSince) > c.cfg.ReserveDuration {
		c.stopped = true
		return false
	}
	if !c.lapsed && !now.Before(c.leaseExpires) {
		return false
	}
	if !c.reportsComplete {
		c.reportsComplete = !now.Before(c.cfg.Start.Add(c.cfg.ReportTimeout)) || c.allReported()
	}
	return c.reportsComplete
}

func (c *Cell) handleLeaseRequest(now time.Time, from galenalatch.RouterID, m galenalatch.LeaseRequest) {
	s := galenalatch.LeaseState{Cell: c.cfg.ID, Epoch: c.cfg.Epoch, Echo: m.Stamp, Reported: c.router(from).reported}
	if !c.stopped {
		s.RemainingMillis = max(0, c.leaseExpires.Sub(now).Milliseconds())
		s.Lapsed = c.lapsed
	}
	c.send(from, s)
}

// pruneRecords drops the records of ended grants and returned slots to which
// no late message can refer any more, and surplus records of idle workspaces.
func (c *Cell) pruneRecords(now time.Time) {
	if now.Before(c.nextPrune) {
		return
	}
	c.nextPrune = now.Add(recordRetention / 10)
	c.queue.DropIdle(maxWorkspaceRecords)
	for k, t := range c.endedGrants {
		if now.Sub(t) > recordRetention/5 {
			delete(c.endedGrants, k)
		}
	}
	for k, t := range c.returnedLoans {
		if now.Sub(t) > recordRetention {
			delete(c.returnedLoans, k)
		}
	}
	for k, o := range c.borrowedSlots {
		if o.state == slotReturned && now.Sub(o.stateSince) > recordRetention {
			delete(c.borrowedSlots, k)
		}
	}
}
