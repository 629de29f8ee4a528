package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// fakeRouter holds cells and acts as an entry.
type fakeRouter struct {
	sim          *simulation
	id           galenalatch.RouterID
	dataCentre   string
	starts       int
	startID      string
	cells        map[galenalatch.CellID]*heldCell
	holders      map[galenalatch.CellID]galenalatch.Holder
	requests     map[galenalatch.RequestID]*fakeRequest
	leases       map[galenalatch.CellID]knownLease
	paused       bool
	inbox        []func()
	platformDown bool
	// unreachable holds the routers that this one cannot reach.
	unreachable map[*fakeRouter]bool
}

// heldCell is a cell that a router holds, or whose lease it has lost without
// having noticed.
type heldCell struct {
	cell          *Cell
	id            galenalatch.CellID
	epoch         galenalatch.Epoch
	expires       time.Time
	tickScheduled bool
	tickAt        time.Time
}

// knownLease is the state of a holder's lease as received by an entry.
type knownLease struct {
	epoch      galenalatch.Epoch
	validUntil time.Time
	lapsed     bool
	askedAt    time.Time
	// confirmedAt is when the query was sent that the newest answer echoes.
	confirmedAt time.Time
}

// fakeRequest is a caller's request.
type fakeRequest struct {
	// leaseChecks counts the waits for the confirmation of a grant's leases.
	leaseChecks    int
	router         *fakeRouter
	id             galenalatch.RequestID
	workspace      galenalatch.WorkspaceName
	class          galenalatch.Class
	cost           int64
	estimate       int64
	home           galenalatch.CellID
	arrived        time.Time
	started        time.Time
	duration       time.Duration
	server         *fakeServer
	serverBoot     int
	grant          galenalatch.Grant
	serial         uint64
	highestSerials map[galenalatch.CellID]uint64
	attempts       int
	ended          bool
}

func (k *fakeRequest) units() int64 {
	if k.server == nil {
		return 0
	}
	return min(k.cost, int64(k.router.sim.now.Sub(k.started)/k.router.sim.unitTime))
}

func (n *fakeRouter) restart() {
	for _, k := range sortedRequests(requestSet(n.requests)) {
		if k.server != nil {
			k.server.removeRequest(k)
		}
		k.ended = true
		n.sim.onRequestEnd(k)
	}
	n.starts++
	n.startID = fmt.Sprint(n.id, "#", n.starts)
	n.cells = map[galenalatch.CellID]*heldCell{}
	n.holders = map[galenalatch.CellID]galenalatch.Holder{}
	n.requests = map[galenalatch.RequestID]*fakeRequest{}
	n.leases = map[galenalatch.CellID]knownLease{}
	n.inbox, n.paused = nil, false
	if n.unreachable == nil {
		n.unreachable = map[*fakeRouter]bool{}
	}
}

// runUnpaused runs f now, or after the end of a pause.
func (n *fakeRouter) runUnpaused(f func()) {
	if n.paused {
		n.inbox = append(n.inbox, f)
		return
	}
	f()
}

func (n *fakeRouter) resume() {
	n.paused = false
	box := n.inbox
	n.inbox = nil
	n.checkLeases()
	for _, f := range box {
		f()
	}
}

func (n *fakeRouter) reachesPlatform() bool { return !n.paused && !n.platformDown }

func (n *fakeRouter) reaches(o *fakeRouter) bool {
	return n == o || !n.unreachable[o] && !o.unreachable[n]
}

func (n *fakeRouter) send(to galenalatch.RouterID, m galenalatch.Message) {
	w := n.sim
	o := w.routersByID[to]
	if o == nil {
		return
	}
	w.onSend(n, m)
	if o == n {
		w.after(0, func() { n.runUnpaused(func() { n.receive(n.id, m) }) })
		return
	}
	if !n.reaches(o) {
		return
	}
	from, fromStart, toStart := n.id, n.starts, o.starts
	for _, d := range w.transmit(n, o) {
		w.after(d, func() {
			o.runUnpaused(func() {
				// A connection ends with either process.
				if n.starts == fromStart && o.starts == toStart {
					o.receive(from, m)
				}
			})
		})
	}
}

func (n *fakeRouter) receive(from galenalatch.RouterID, m galenalatch.Message) {
	switch m := m.(type) {
	case galenalatch.Grant:
		n.handleGrant(from, m)
	case galenalatch.LeaseState:
		v := knownLease{epoch: m.Epoch, validUntil: start.Add(time.Duration(m.Echo+m.RemainingMillis) * time.Millisecond), lapsed: m.Lapsed, askedAt: n.leases[m.Cell].askedAt, confirmedAt: start.Add(time.Duration(m.Echo) * time.Millisecond)}
		if old := n.leases[m.Cell]; m.Epoch >= old.epoch {
			if m.Epoch == old.epoch && old.validUntil.After(v.validUntil) {
				v.validUntil = old.validUntil
			}
			n.leases[m.Cell] = v
		}
		n.recordHolder(galenalatch.Holder{Cell: m.Cell, Router: from, Epoch: m.Epoch})
	case galenalatch.Refuse:
		if k := n.requests[m.Request]; k != nil && k.server == nil {
			n.endRequest(k)
		}
	case galenalatch.Gossip:
		for _, h := range m.Holders {
			n.recordHolder(h)
		}
	default:
		for _, id := range sortedCells(n.cells) {
			h := n.cells[id]
			before := time.Now()
			h.cell.Handle(n.sim.now, from, m)
			n.sim.onDecision(0, time.Since(before))
			n.scheduleTick(h)
		}
	}
}

// scheduleTick schedules a tick in 2 ms unless one is scheduled.
func (n *fakeRouter) scheduleTick(h *heldCell) {
	if h.tickScheduled {
		return
	}
	h.tickScheduled = true
	n.sim.after(2*time.Millisecond, func() { n.runUnpaused(func() { h.tickScheduled = false; n.tick(h) }) })
}

func (n *fakeRouter) tick(h *heldCell) {
	if n.cells[h.id] != h {
		return
	}
	w := n.sim
	before := time.Now()
	out := h.cell.Tick(w.now)
	d := time.Since(before)
	grants := 0
	for _, o := range out {
		if _, ok := o.Message.(galenalatch.Grant); ok {
			grants++
		}
		n.send(o.To, o.Message)
	}
	w.onDecision(grants, d)
	at, ok := h.cell.NextTick()
	if ok && (at != h.tickAt || !at.After(w.now)) {
		h.tickAt = at
		w.after(max(2*time.Millisecond, at.Sub(w.now)), func() {
			if h.tickAt.Equal(at) {
				h.tickAt = time.Time{}
				n.runUnpaused(func() { n.tick(h) })
			}
		})
	}
}

// checkLeases marks leases that ran out as lapsed while the platform cannot
// be reached, and drops cells whose lease was lost.
func (n *fakeRouter) checkLeases() {
	w := n.sim
	if n.paused || !w.simulateLeases {
		return
	}
	for _, id := range sortedCells(n.cells) {
		h := n.cells[id]
		switch r := w.leaseRows[id]; {
		case n.holders[id].Epoch > h.epoch, r.epoch > h.epoch && n.reachesPlatform():
			delete(n.cells, id)
		case !w.now.Before(h.expires) && !n.reachesPlatform():
			h.cell.SetLease(h.expires, true)
			n.scheduleTick(h)
		}
	}
}

// recordHolder records a holder and reports to it if it is newer.
func (n *fakeRouter) recordHolder(h galenalatch.Holder) {
	old := n.holders[h.Cell]
	if h.Epoch < old.Epoch || h == old {
		return
	}
	n.holders[h.Cell] = h
	for _, id := range sortedCells(n.cells) {
		n.updatePeers(n.cells[id])
	}
	n.reportTo(h.Cell)
}

func (n *fakeRouter) updatePeers(h *heldCell) {
	h.cell.SetPeers(n.sim.now, slices.Collect(maps.Values(n.holders)))
	n.scheduleTick(h)
}

// reportTo sends the requests of the entry that wait in the cell or run on its
// grants or servers.
func (n *fakeRouter) reportTo(id galenalatch.CellID) {
	h, ok := n.holders[id]
	if !ok {
		return
	}
	n.askLease(id)
	m := galenalatch.Report{Cell: id, Epoch: h.Epoch}
	for _, q := range slices.Sorted(maps.Keys(n.requests)) {
		k := n.requests[q]
		if k.server != nil {
			if k.grant.Cell == id || k.grant.ServerCell == id {
				m.Running = append(m.Running, galenalatch.Running{
					Request: k.id, Workspace: k.workspace, Class: k.class, Server: k.grant.Server, Boot: k.grant.Boot,
					Estimate: k.estimate, Units: k.units(), Home: k.grant.Cell, Slot: k.grant.Slot,
					ServerCell: k.grant.ServerCell, Serial: k.serial,
				})
			}
		} else if k.home == id {
			m.Waiting = append(m.Waiting, n.waiting(k))
		}
	}
	n.send(h.Router, m)
}

func (n *fakeRouter) askLease(id galenalatch.CellID) {
	w := n.sim
	v := n.leases[id]
	h, ok := n.holders[id]
	if !ok || v.epoch == h.Epoch && w.now.Sub(v.askedAt) < time.Second {
		return
	}
	v.askedAt = w.now
	n.leases[id] = v
	n.send(h.Router, galenalatch.LeaseRequest{Cell: id, Stamp: w.now.Sub(start).Milliseconds()})
}

func (n *fakeRouter) waiting(k *fakeRequest) galenalatch.Waiting {
	return galenalatch.Waiting{
		Request: k.id, Workspace: k.workspace, Class: k.class, Estimate: k.estimate, Bytes: 1000,
		AgeMillis: n.sim.now.Sub(k.arrived).Milliseconds(),
	}
}

func compareRequests(a, b *fakeRequest) int { return cmp.Compare(a.id, b.id) }

func sortedRequests(m map[*fakeRequest]bool) []*fakeRequest {
	return slices.SortedFunc(maps.Keys(m), compareRequests)
}

func sortedCells[V any](m map[galenalatch.CellID]V) []galenalatch.CellID {
	return slices.SortedFunc(maps.Keys(m), compareCells)
}
