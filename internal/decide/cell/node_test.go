package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// node is a fake router: it holds cells and is an entry.
type node struct {
	world      *world
	id         galenalatch.RouterID
	dataCentre string
	starts     int
	start      string
	cells      map[galenalatch.CellID]*holding
	holders    map[galenalatch.CellID]galenalatch.Holder
	calls      map[galenalatch.RequestID]*call
	leases     map[galenalatch.CellID]leaseView
	paused     bool
	inbox      []func()
	noPlatform bool
	// cut holds the routers that this one cannot reach.
	cut map[*node]bool
}

// holding is a cell that a node holds or believes to hold.
type holding struct {
	cell    *Cell
	id      galenalatch.CellID
	epoch   galenalatch.Epoch
	expires time.Time
	waking  bool
	wakeAt  time.Time
}

// leaseView is what an entry knows about a holder's lease.
type leaseView struct {
	epoch  galenalatch.Epoch
	until  time.Time
	lapsed bool
	asked  time.Time
	// heard is when the question was sent that the newest answer echoes.
	heard time.Time
}

// call is a caller's request.
type call struct {
	// confirms counts the waits for the word of a grant's holders.
	confirms   int
	node       *node
	id         galenalatch.RequestID
	workspace  galenalatch.WorkspaceName
	class      galenalatch.Class
	cost       int64
	hint       int64
	home       galenalatch.CellID
	arrived    time.Time
	started    time.Time
	duration   time.Duration
	server     *fakeServer
	serverBoot int
	grant      galenalatch.Grant
	serial     uint64
	seen       map[galenalatch.CellID]uint64
	attempts   int
	ended      bool
}

func (k *call) units() int64 {
	if k.server == nil {
		return 0
	}
	return min(k.cost, int64(k.node.world.now.Sub(k.started)/k.node.world.unit))
}

func (n *node) restart() {
	for _, k := range sortedCalls(callSet(n.calls)) {
		if k.server != nil {
			k.server.leave(k)
		}
		k.ended = true
		n.world.onEnd(k)
	}
	n.starts++
	n.start = fmt.Sprint(n.id, "#", n.starts)
	n.cells = map[galenalatch.CellID]*holding{}
	n.holders = map[galenalatch.CellID]galenalatch.Holder{}
	n.calls = map[galenalatch.RequestID]*call{}
	n.leases = map[galenalatch.CellID]leaseView{}
	n.inbox, n.paused = nil, false
	if n.cut == nil {
		n.cut = map[*node]bool{}
	}
}

// do runs f now, or after the end of a pause.
func (n *node) do(f func()) {
	if n.paused {
		n.inbox = append(n.inbox, f)
		return
	}
	f()
}

func (n *node) resume() {
	n.paused = false
	box := n.inbox
	n.inbox = nil
	n.checkLeases()
	for _, f := range box {
		f()
	}
}

func (n *node) reachesPlatform() bool { return !n.paused && !n.noPlatform }

func (n *node) sees(o *node) bool { return n == o || !n.cut[o] && !o.cut[n] }

func (n *node) send(to galenalatch.RouterID, m galenalatch.Message) {
	w := n.world
	o := w.byID[to]
	if o == nil {
		return
	}
	w.onSend(n, m)
	if o == n {
		w.after(0, func() { n.do(func() { n.receive(n.id, m) }) })
		return
	}
	if !n.sees(o) {
		return
	}
	from, fromStart, toStart := n.id, n.starts, o.starts
	for _, d := range w.transmit(n, o) {
		w.after(d, func() {
			o.do(func() {
				// A connection ends with either process.
				if n.starts == fromStart && o.starts == toStart {
					o.receive(from, m)
				}
			})
		})
	}
}

func (n *node) receive(from galenalatch.RouterID, m galenalatch.Message) {
	switch m := m.(type) {
	case galenalatch.Grant:
		n.granted(from, m)
	case galenalatch.LeaseState:
		v := leaseView{epoch: m.Epoch, until: start.Add(time.Duration(m.Echo+m.RemainingMillis) * time.Millisecond), lapsed: m.Lapsed, asked: n.leases[m.Cell].asked, heard: start.Add(time.Duration(m.Echo) * time.Millisecond)}
		if old := n.leases[m.Cell]; m.Epoch >= old.epoch {
			if m.Epoch == old.epoch && old.until.After(v.until) {
				v.until = old.until
			}
			n.leases[m.Cell] = v
		}
		n.learn(galenalatch.Holder{Cell: m.Cell, Router: from, Epoch: m.Epoch})
	case galenalatch.Refuse:
		if k := n.calls[m.Request]; k != nil && k.server == nil {
			n.over(k)
		}
	case galenalatch.Gossip:
		for _, h := range m.Holders {
			n.learn(h)
		}
	default:
		for _, id := range sortedCells(n.cells) {
			h := n.cells[id]
			before := time.Now()
			h.cell.Handle(n.world.now, from, m)
			n.world.onWork(0, time.Since(before))
			n.wake(h)
		}
	}
}

// wake schedules a tick, at most one in 2 ms.
func (n *node) wake(h *holding) {
	if h.waking {
		return
	}
	h.waking = true
	n.world.after(2*time.Millisecond, func() { n.do(func() { h.waking = false; n.tick(h) }) })
}

func (n *node) tick(h *holding) {
	if n.cells[h.id] != h {
		return
	}
	w := n.world
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
	w.onWork(grants, d)
	at, ok := h.cell.Deadline()
	if ok && (at != h.wakeAt || !at.After(w.now)) {
		h.wakeAt = at
		w.after(max(2*time.Millisecond, at.Sub(w.now)), func() {
			if h.wakeAt.Equal(at) {
				h.wakeAt = time.Time{}
				n.do(func() { n.tick(h) })
			}
		})
	}
}

// checkLeases marks leases that ran out as lapsed while the platform cannot
// be reached, and drops cells whose lease was lost.
func (n *node) checkLeases() {
	w := n.world
	if n.paused || !w.leases {
		return
	}
	for _, id := range sortedCells(n.cells) {
		h := n.cells[id]
		switch r := w.rows[id]; {
		case n.holders[id].Epoch > h.epoch, r.epoch > h.epoch && n.reachesPlatform():
			delete(n.cells, id)
		case !w.now.Before(h.expires) && !n.reachesPlatform():
			h.cell.SetLease(h.expires, true)
			n.wake(h)
		}
	}
}

// learn records a holder and reports to a newer one.
func (n *node) learn(h galenalatch.Holder) {
	old := n.holders[h.Cell]
	if h.Epoch < old.Epoch || h == old {
		return
	}
	n.holders[h.Cell] = h
	for _, id := range sortedCells(n.cells) {
		n.tell(n.cells[id])
	}
	n.reportTo(h.Cell)
}

func (n *node) tell(h *holding) {
	h.cell.SetPeers(n.world.now, slices.Collect(maps.Values(n.holders)))
	n.wake(h)
}

// reportTo sends what the entry has waiting in the cell and running on it.
func (n *node) reportTo(id galenalatch.CellID) {
	h, ok := n.holders[id]
	if !ok {
		return
	}
	n.askLease(id)
	m := galenalatch.Report{Cell: id, Epoch: h.Epoch}
	for _, q := range slices.Sorted(maps.Keys(n.calls)) {
		k := n.calls[q]
		if k.server != nil {
			if k.grant.Cell == id || k.grant.ServerCell == id {
				m.Running = append(m.Running, galenalatch.Running{
					Request: k.id, Workspace: k.workspace, Class: k.class, Server: k.grant.Server, Boot: k.grant.Boot,
					Estimate: k.hint, Units: k.units(), Home: k.grant.Cell, Slot: k.grant.Slot,
					ServerCell: k.grant.ServerCell, Serial: k.serial,
				})
			}
		} else if k.home == id {
			m.Waiting = append(m.Waiting, n.waiting(k))
		}
	}
	n.send(h.Router, m)
}

func (n *node) askLease(id galenalatch.CellID) {
	w := n.world
	v := n.leases[id]
	h, ok := n.holders[id]
	if !ok || v.epoch == h.Epoch && w.now.Sub(v.asked) < time.Second {
		return
	}
	v.asked = w.now
	n.leases[id] = v
	n.send(h.Router, galenalatch.LeaseAsk{Cell: id, Stamp: w.now.Sub(start).Milliseconds()})
}

func (n *node) waiting(k *call) galenalatch.Waiting {
	return galenalatch.Waiting{
		Request: k.id, Workspace: k.workspace, Class: k.class, Estimate: k.hint, Bytes: 1000,
		AgeMillis: n.world.now.Sub(k.arrived).Milliseconds(),
	}
}

func compareCalls(a, b *call) int { return cmp.Compare(a.id, b.id) }

func sortedCalls(m map[*call]bool) []*call { return slices.SortedFunc(maps.Keys(m), compareCalls) }

func sortedCells[V any](m map[galenalatch.CellID]V) []galenalatch.CellID {
	return slices.SortedFunc(maps.Keys(m), compareCells)
}
