// Package dispatch runs the cells whose leases the router holds: it feeds
// them messages, load reports and lease states, and sends what they decide.
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
	// refreshEvery is how often lease states and the directory are read.
	refreshEvery = 50 * time.Millisecond
	// holdersEvery is how often the holders of all cells are read. The work
	// grows with the number of cells of the fleet.
	holdersEvery = 200 * time.Millisecond
	// inboxLength bounds the messages that wait for the host.
	inboxLength = 4096
)

// LeaseState is the state of a cell's lease on this router.
type LeaseState struct {
	Epoch galenalatch.Epoch
	// Expires is the end of the lease on the local clock.
	Expires time.Time
	// Lapsed says that the lease could not be renewed and that no newer
	// epoch is known.
	Lapsed bool
	// Unconfirmed says that the holder before may still act.
	Unconfirmed bool
	// Released says that the holder before released the lease.
	Released bool
}

// Options are the parts that a host works with.
type Options struct {
	Self      galenalatch.RouterID
	Directory func() *directory.Directory
	// Leases returns the cells that this router holds.
	Leases func() map[galenalatch.CellID]LeaseState
	// Holders returns the newest known holders of all cells.
	Holders  func() []galenalatch.Holder
	Reporter galenalatch.Reporter
	Send     func(galenalatch.RouterID, galenalatch.Message) bool
	// Observer is told what happens in the cells; nil means none.
	Observer Observer
}

// Observer receives what happens in the held cells. Its methods are called
// from the host's loop and must not block.
type Observer interface {
	// ServerChanged is called when a server has another state or boot
	// identity than before. The state before is empty for a server that was
	// not listed when the cell was opened.
	ServerChanged(c galenalatch.CellID, before, now warmup.Status)
	// RouterGone is called when the slots of a silent router were freed.
	RouterGone(c galenalatch.CellID, r galenalatch.RouterID)
	// Granting is called when a new holder starts to grant.
	Granting(c galenalatch.CellID, e galenalatch.Epoch, after time.Duration)
}

// Host runs cells. Create it with New.
type Host struct {
	options Options
	inbox   chan event
	cells   map[galenalatch.CellID]*hosted
	links   map[galenalatch.RouterID]string
	pollers map[galenalatch.ServerID]poller
	// polled is the number of servers that are polled.
	polled atomic.Int64
	status chan chan []cell.Status
	stop   chan chan []galenalatch.Handover
	wake   chan struct{}
	// handovers are kept for cells whose lease is not yet held.
	handovers map[galenalatch.CellID]handover
	stopped   bool

	// holders is the newest list of holders, holdersSeen the number of
	// different lists so far.
	holders     []galenalatch.Holder
	holdersSeen uint64
	holdersRead time.Time
}

// handover is a message that arrived before its cell was opened.
type handover struct {
	from    galenalatch.RouterID
	message galenalatch.Handover
}

// hosted is one cell with the inputs it has seen.
type hosted struct {
	cell      *cell.Cell
	epoch     galenalatch.Epoch
	directory *directory.Directory
	lease     LeaseState
	// holders is the number of the list of holders that the cell has.
	holders  uint64
	dirty    bool
	opened   time.Time
	granting bool
	// servers is the state that the observer was told, nil before the
	// first look.
	servers map[galenalatch.ServerID]warmup.Status
}

// event is one input of the loop; its fields are alternatives.
type event struct {
	from    galenalatch.RouterID
	message galenalatch.Message
	link    *linkEvent
	load    *loadEvent
}

type linkEvent struct {
	up    bool
	start string
}

type loadEvent struct {
	cell    galenalatch.CellID
	server  galenalatch.ServerID
	sampled time.Time
	report  galenalatch.LoadReport
	err     error
}

// New returns a host without cells.
func New(o Options) *Host {
	return &Host{
		options: o,
		inbox:   make(chan event, inboxLength),
		cells:   make(map[galenalatch.CellID]*hosted),
		links:   make(map[galenalatch.RouterID]string),
		pollers: make(map[galenalatch.ServerID]poller),
		status:  make(chan chan []cell.Status),
		stop:    make(chan chan []galenalatch.Handover),
		wake:    make(chan struct{}, 1),

		handovers: make(map[galenalatch.CellID]handover),
	}
}

// Handle queues a message for the cells. It reports false for messages that
// are not for dispatchers. When the inbox is full the message is dropped:
// senders repeat what matters.
func (h *Host) Handle(from galenalatch.RouterID, m galenalatch.Message) bool {
	if _, ok := target(m); !ok {
		return false
	}
	h.put(event{from: from, message: m})
	return true
}

// LinkUp says that the connection to a router is up. Another start than
// before means that the router has lost its requests.
func (h *Host) LinkUp(r galenalatch.RouterID, start string) {
	h.put(event{from: r, link: &linkEvent{up: true, start: start}})
}

// LinkDown says that the connection to a router is down.
func (h *Host) LinkDown(r galenalatch.RouterID) {
	h.put(event{from: r, link: &linkEvent{}})
}

func (h *Host) put(e event) {
	select {
	case h.inbox <- e:
	default:
	}
}

// Status returns the state of the held cells.
func (h *Host) Status(ctx context.Context) []cell.Status {
	reply := make(chan []cell.Status, 1)
	select {
	case h.status <- reply:
		return <-reply
	case <-ctx.Done():
		return nil
	}
}

// Stop ends granting in all held cells, for good, and returns what their next
// holders need. Messages are still handled while the leases are held.
func (h *Host) Stop(ctx context.Context) []galenalatch.Handover {
	reply := make(chan []galenalatch.Handover, 1)
	select {
	case h.stop <- reply:
		return <-reply
	case <-ctx.Done():
		return nil
	}
}

// Wake makes the host look at the leases at once.
func (h *Host) Wake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run runs the cells until the context ends.
func (h *Host) Run(ctx context.Context) error {
	return h.loop(ctx)
}

func (h *Host) loop(ctx context.Context) error {
	refresh := time.NewTicker(refreshEvery)
	defer refresh.Stop()
	due := time.NewTimer(time.Hour)
	defer due.Stop()
	observe := time.NewTicker(observeEvery)
	defer observe.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-h.inbox:
			h.handle(time.Now(), e)
			h.drain()
		case reply := <-h.status:
			reply <- h.states()
		case reply := <-h.stop:
			reply <- h.stopAll()
		case <-h.wake:
			h.refresh(ctx, time.Now())
		case <-refresh.C:
			h.refresh(ctx, time.Now())
		case <-observe.C:
			h.observe(time.Now())
			continue
		case <-due.C:
		}
		due.Reset(h.tick(time.Now()))
	}
}

// drain handles what else waits, so that one tick serves many messages.
func (h *Host) drain() {
	for range inboxLength {
		select {
		case e := <-h.inbox:
			h.handle(time.Now(), e)
		default:
			return
		}
	}
}

func (h *Host) handle(now time.Time, e event) {
	switch {
	case e.link != nil:
		h.link(now, e.from, *e.link)
	case e.load != nil:
		if c, ok := h.cells[e.load.cell]; ok {
			c.cell.SetLoad(now, e.load.server, e.load.sampled, e.load.report, e.load.err)
			c.dirty = true
		}
	default:
		h.deliver(now, e.from, e.message)
	}
}

func (h *Host) link(now time.Time, r galenalatch.RouterID, l linkEvent) {
	if l.up {
		h.links[r] = l.start
	} else {
		delete(h.links, r)
	}
	for _, c := range h.cells {
		if l.up {
			c.cell.RouterUp(now, r, l.start)
		} else {
			c.cell.RouterDown(now, r)
		}
		c.dirty = true
	}
}

func (h *Host) deliver(now time.Time, from galenalatch.RouterID, m galenalatch.Message) {
	id, _ := target(m)
	if s, ok := m.(galenalatch.Summary); ok {
		for c, t := range h.cells {
			if c.Pool == s.Cell.Pool && c != s.Cell {
				t.cell.Handle(now, from, m)
				t.dirty = true
			}
		}
		return
	}
	if c, ok := h.cells[id]; ok {
		c.cell.Handle(now, from, m)
		c.dirty = true
		return
	}
	if o, ok := m.(galenalatch.Handover); ok {
		h.handovers[id] = handover{from, o}
	}
}

func (h *Host) stopAll() []galenalatch.Handover {
	h.stopped = true
	var all []galenalatch.Handover
	for _, c := range h.cells {
		c.cell.Stop()
		all = append(all, c.cell.Handover())
	}
	return all
}

// target returns the cell to which a message is addressed. It reports false
// for messages that are not for dispatchers.
func target(m galenalatch.Message) (galenalatch.CellID, bool) {
	switch m := m.(type) {
	case galenalatch.Report:
		return m.Cell, true
	case galenalatch.Enqueue:
		return m.Cell, true
	case galenalatch.Withdraw:
		return m.Cell, true
	case galenalatch.Progress:
		return m.Cell, true
	case galenalatch.Finish:
		return m.Cell, true
	case galenalatch.LeaseAsk:
		return m.Cell, true
	case galenalatch.Summary:
		return m.Cell, true
	case galenalatch.Lend:
		return m.To, true
	case galenalatch.GiveBack:
		return m.To, true
	case galenalatch.Handover:
		return m.Cell, true
	}
	return galenalatch.CellID{}, false
}

// tick runs the cells that have new input or are due and returns the time
// until the next one is due.
func (h *Host) tick(now time.Time) time.Duration {
	next := time.Hour
	for _, c := range h.cells {
		at, ok := c.cell.Deadline()
		if c.dirty || ok && !at.After(now) {
			c.dirty = false
			h.send(c.cell.Tick(now))
			at, ok = c.cell.Deadline()
		}
		if ok {
			next = min(next, max(at.Sub(now), time.Millisecond))
		}
	}
	return next
}

func (h *Host) send(out []galenalatch.Outgoing) {
	for _, o := range out {
		h.options.Send(o.To, o.Message)
	}
}

func (h *Host) states() []cell.Status {
	var all []cell.Status
	for _, c := range h.cells {
		all = append(all, c.cell.Status(time.Now()))
	}
	return all
}
