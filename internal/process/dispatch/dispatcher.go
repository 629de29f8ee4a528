// Package dispatch runs the cells whose leases the router holds: it passes
// messages, load reports and lease states to them and sends the messages that
// they return.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/cell"
	"github.com/galenalatch/galenalatch/internal/decide/directory"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

const (
	// refreshInterval is how often the lease states and the directory are read.
	refreshInterval = 50 * time.Millisecond
	// holdersInterval is how often the holders of all cells are read. It is
	// longer than refreshInterval, since the cost grows with the number of cells
	// of the fleet.
	holdersInterval = 200 * time.Millisecond
	// inboxCapacity bounds the events that wait for the loop.
	inboxCapacity = 4096
)

// LeaseState is the state of a cell's lease on this router.
type LeaseState struct {
	Epoch galenalatch.Epoch
	// Expires is the end of the lease on the local clock.
	Expires time.Time
	// Lapsed is set when the lease could not be renewed and no newer epoch is
	// known.
	Lapsed bool
	// Unconfirmed is set while the previous holder may still grant.
	Unconfirmed bool
	// Released is set when the previous holder released the lease.
	Released bool
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	Self galenalatch.RouterID
	// Directory returns the current directory.
	Directory func() *directory.Directory
	// Leases returns the leases that this router holds, by cell.
	Leases func() map[galenalatch.CellID]LeaseState
	// Holders returns the newest known holders of all cells.
	Holders func() []galenalatch.Holder
	// Reporter reads the load reports of backend servers.
	Reporter galenalatch.Reporter
	// Send queues a message for a router, which may be Self.
	Send func(galenalatch.RouterID, galenalatch.Message) bool
	// Observer receives the events of the cells; nil means none.
	Observer Observer
}

// Observer receives the events of the held cells. Its methods are called from
// the dispatcher's loop and must not block.
type Observer interface {
	// ServerChanged is called when the state or the boot identity of a server
	// has changed. The status before is empty for a server that was added after
	// the cell was opened.
	ServerChanged(c galenalatch.CellID, before, now warmup.Status)
	// RouterExpired is called when the slots of a router were freed because it
	// was disconnected for too long.
	RouterExpired(c galenalatch.CellID, r galenalatch.RouterID)
	// GrantingStarted is called when a cell starts to grant, with the time
	// since it was opened.
	GrantingStarted(c galenalatch.CellID, e galenalatch.Epoch, after time.Duration)
}

// Dispatcher runs the cells whose leases the router holds. It is safe for
// concurrent use. Create it with New.
type Dispatcher struct {
	options Options
	inbox   chan event
	cells   map[galenalatch.CellID]*heldCell
	links   map[galenalatch.RouterID]string
	pollers map[galenalatch.ServerID]poller
	// polledServers is the number of servers that are polled.
	polledServers atomic.Int64
	status        chan chan []cell.Status
	stop          chan chan []galenalatch.Handover
	wake          chan struct{}
	// handovers holds messages for cells that are not open yet.
	handovers map[galenalatch.CellID]handover
	stopped   bool

	// holders is the newest list of holders. holdersVersion is incremented
	// whenever the list changes.
	holders        []galenalatch.Holder
	holdersVersion uint64
	holdersReadAt  time.Time
}

// handover is a message that arrived before its cell was opened.
type handover struct {
	from    galenalatch.RouterID
	message galenalatch.Handover
}

// heldCell is an open cell with the inputs that were passed to it.
type heldCell struct {
	cell      *cell.Cell
	epoch     galenalatch.Epoch
	directory *directory.Directory
	lease     LeaseState
	// seenHoldersVersion is the holdersVersion of the holders that were last
	// passed to the cell.
	seenHoldersVersion uint64
	dirty              bool
	opened             time.Time
	granting           bool
	// servers is the state that was last reported to the observer, nil before
	// the first time.
	servers map[galenalatch.ServerID]warmup.Status
}

// New returns a dispatcher without cells. Cells are opened while Run runs.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options: o,
		inbox:   make(chan event, inboxCapacity),
		cells:   make(map[galenalatch.CellID]*heldCell),
		links:   make(map[galenalatch.RouterID]string),
		pollers: make(map[galenalatch.ServerID]poller),
		status:  make(chan chan []cell.Status),
		stop:    make(chan chan []galenalatch.Handover),
		wake:    make(chan struct{}, 1),

		handovers: make(map[galenalatch.CellID]handover),
	}
}

// Handle queues a message for the cells. It reports false for types of messages
// that are not addressed to dispatchers. When the inbox is full, the message is
// dropped and the result is still true; senders repeat messages that must not be
// lost.
func (d *Dispatcher) Handle(from galenalatch.RouterID, m galenalatch.Message) bool {
	if _, ok := targetCell(m); !ok {
		return false
	}
	d.queueEvent(event{from: from, message: m})
	return true
}

// RouterConnected records that the connection to a router is up. A start that
// differs from the previous one means that the router has restarted and lost its
// requests.
func (d *Dispatcher) RouterConnected(r galenalatch.RouterID, start string) {
	d.queueEvent(event{from: r, link: &linkEvent{up: true, start: start}})
}

// RouterDisconnected records that the connection to a router is down.
func (d *Dispatcher) RouterDisconnected(r galenalatch.RouterID) {
	d.queueEvent(event{from: r, link: &linkEvent{}})
}

// Status returns the state of the held cells, nil when ctx ends before
// Run answers.
func (d *Dispatcher) Status(ctx context.Context) []cell.Status {
	reply := make(chan []cell.Status, 1)
	select {
	case d.status <- reply:
		return <-reply
	case <-ctx.Done():
		return nil
	}
}

// StopGranting ends granting in all cells permanently and returns the state that
// their next holders need, nil when ctx ends first. Messages are still handled
// while the leases are held.
func (d *Dispatcher) StopGranting(ctx context.Context) []galenalatch.Handover {
	reply := make(chan []galenalatch.Handover, 1)
	select {
	case d.stop <- reply:
		return <-reply
	case <-ctx.Done():
		return nil
	}
}

// Wake makes the dispatcher read the lease states immediately.
func (d *Dispatcher) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run runs the cells until ctx ends. It always returns nil.
func (d *Dispatcher) Run(ctx context.Context) error {
	return d.loop(ctx)
}

func (d *Dispatcher) loop(ctx context.Context) error {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	nextTick := time.NewTimer(time.Hour)
	defer nextTick.Stop()
	observe := time.NewTicker(observeInterval)
	defer observe.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.inbox:
			d.handleEvent(time.Now(), e)
			d.handleQueued()
		case reply := <-d.status:
			reply <- d.cellStatuses()
		case reply := <-d.stop:
			reply <- d.stopAll()
		case <-d.wake:
			d.refresh(ctx, time.Now())
		case <-refresh.C:
			d.refresh(ctx, time.Now())
		case <-observe.C:
			d.observe(time.Now())
			continue
		case <-nextTick.C:
		}
		nextTick.Reset(d.tick(time.Now()))
	}
}

func (d *Dispatcher) stopAll() []galenalatch.Handover {
	d.stopped = true
	var all []galenalatch.Handover
	for _, c := range d.cells {
		c.cell.StopGranting()
		all = append(all, c.cell.Handover())
	}
	return all
}

// tick runs the cells that have new input or whose deadline has passed and
// returns the time until the next deadline, at least one millisecond and at most
// one hour.
func (d *Dispatcher) tick(now time.Time) time.Duration {
	next := time.Hour
	for _, c := range d.cells {
		at, ok := c.cell.NextTick()
		if c.dirty || ok && !at.After(now) {
			c.dirty = false
			d.send(c.cell.Tick(now))
			at, ok = c.cell.NextTick()
		}
		if ok {
			next = min(next, max(at.Sub(now), time.Millisecond))
		}
	}
	return next
}

func (d *Dispatcher) send(out []galenalatch.Outgoing) {
	for _, o := range out {
		d.options.Send(o.To, o.Message)
	}
}

func (d *Dispatcher) cellStatuses() []cell.Status {
	var all []cell.Status
	for _, c := range d.cells {
		all = append(all, c.cell.Status(time.Now()))
	}
	return all
}
