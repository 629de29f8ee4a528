package dispatch

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// event is one input of the loop: a message, a link event or a load event.
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

func (d *Dispatcher) queueEvent(e event) {
	select {
	case d.inbox <- e:
	default:
	}
}

// handleQueued handles the events that are already queued, so that one tick
// serves many messages.
func (d *Dispatcher) handleQueued() {
	for range inboxCapacity {
		select {
		case e := <-d.inbox:
			d.handleEvent(time.Now(), e)
		default:
			return
		}
	}
}

func (d *Dispatcher) handleEvent(now time.Time, e event) {
	switch {
	case e.link != nil:
		d.handleLink(now, e.from, *e.link)
	case e.load != nil:
		if c, ok := d.cells[e.load.cell]; ok {
			c.cell.SetLoad(now, e.load.server, e.load.sampled, e.load.report, e.load.err)
			c.dirty = true
		}
	default:
		d.handleMessage(now, e.from, e.message)
	}
}

func (d *Dispatcher) handleLink(now time.Time, r galenalatch.RouterID, l linkEvent) {
	if l.up {
		d.links[r] = l.start
	} else {
		delete(d.links, r)
	}
	for _, c := range d.cells {
		if l.up {
			c.cell.RouterConnected(now, r, l.start)
		} else {
			c.cell.RouterDisconnected(now, r)
		}
		c.dirty = true
	}
}

func (d *Dispatcher) handleMessage(now time.Time, from galenalatch.RouterID, m galenalatch.Message) {
	id, _ := targetCell(m)
	if s, ok := m.(galenalatch.Summary); ok {
		for c, t := range d.cells {
			if c.Pool == s.Cell.Pool && c != s.Cell {
				t.cell.Handle(now, from, m)
				t.dirty = true
			}
		}
		return
	}
	if c, ok := d.cells[id]; ok {
		c.cell.Handle(now, from, m)
		c.dirty = true
		return
	}
	if o, ok := m.(galenalatch.Handover); ok {
		d.handovers[id] = handover{from, o}
	}
}

// targetCell returns the cell to which a message is addressed. It reports false
// for types of messages that are not addressed to dispatchers.
func targetCell(m galenalatch.Message) (galenalatch.CellID, bool) {
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
	case galenalatch.LeaseRequest:
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
