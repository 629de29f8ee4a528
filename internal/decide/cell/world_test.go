package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenalatch/galenalatch"
)

// world runs cells, fake entries and fake servers in discrete events.
type world struct {
	now     time.Time
	rng     *rand.Rand
	events  eventHeap
	count   int
	pool    galenalatch.Pool
	config  Config
	nodes   []*node
	byID    map[galenalatch.RouterID]*node
	servers map[galenalatch.ServerID]*fakeServer
	rows    map[galenalatch.CellID]*row
	// transmit returns the delays of the copies that arrive.
	transmit func(from, to *node) []time.Duration
	// fail receives broken promises.
	fail func(format string, args ...any)
	// onEnd is called when a request has ended for its caller.
	onEnd func(*call)
	// onSend counts messages.
	onSend    func(from *node, m galenalatch.Message)
	onWork    func(grants int, d time.Duration)
	catalogue galenalatch.Catalogue
	loadLag   time.Duration
	leases    bool
	// unit is the running time of one service unit.
	unit    time.Duration
	onStart func(*call)
}

type event struct {
	at time.Time
	n  int
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].n < h[j].n
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	o := *h
	e := o[len(o)-1]
	o[len(o)-1] = event{}
	*h = o[:len(o)-1]
	return e
}

// row is the lease row of a cell.
type row struct {
	holder   *node
	epoch    galenalatch.Epoch
	renewed  time.Time
	released bool
	// unconfirmed says that some predecessor never confirmed its stop.
	unconfirmed bool
}

type fakeServer struct {
	world     *world
	instance  galenalatch.Instance
	cell      galenalatch.CellID
	boots     int
	completed int
	running   map[*call]bool
	down      bool
}

func (s *fakeServer) boot() galenalatch.BootID {
	return galenalatch.BootID(fmt.Sprint(s.instance.ID, "#", s.boots))
}

func newWorld(seed uint64, pool galenalatch.Pool) *world {
	return &world{
		now: start, rng: rand.New(rand.NewPCG(seed, 1)), pool: pool,
		byID:      map[galenalatch.RouterID]*node{},
		servers:   map[galenalatch.ServerID]*fakeServer{},
		rows:      map[galenalatch.CellID]*row{},
		transmit:  func(_, _ *node) []time.Duration { return []time.Duration{1500 * time.Microsecond} },
		fail:      func(f string, a ...any) { panic(fmt.Sprintf(f, a...)) },
		onEnd:     func(*call) {},
		onSend:    func(*node, galenalatch.Message) {},
		onWork:    func(int, time.Duration) {},
		catalogue: galenalatch.Catalogue{Version: 1, Pools: []galenalatch.Pool{pool}},
		loadLag:   100 * time.Millisecond,
		unit:      40 * time.Millisecond,
		onStart:   func(*call) {},
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.events, event{w.now.Add(d), w.count, do})
}

// every calls do at once and then in each period.
func (w *world) every(d time.Duration, do func()) {
	do()
	w.after(d, func() { w.every(d, do) })
}

// run processes the events of the next d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) addNode(dc string) *node {
	n := &node{world: w, id: galenalatch.RouterID(fmt.Sprint("r", len(w.nodes))), dataCentre: dc}
	n.restart()
	w.nodes = append(w.nodes, n)
	w.byID[n.id] = n
	offset := time.Duration(w.rng.Int64N(int64(time.Second)))
	w.after(offset, func() { w.every(time.Second, n.progress) })
	return n
}

func (w *world) addServer(id string, cell galenalatch.CellID) *fakeServer {
	s := &fakeServer{
		world: w, cell: cell, running: map[*call]bool{},
		instance: galenalatch.Instance{ID: id, Address: id + ":80", DataCentre: cell.DataCentre, Pool: cell.Pool},
	}
	w.servers[galenalatch.ServerID(id)] = s
	offset := time.Duration(w.rng.Int64N(int64(time.Second)))
	w.after(offset, func() { w.every(time.Second, s.report) })
	return s
}

// report sends the load to all routers that believe they hold the cell.
func (s *fakeServer) report() {
	if s.down {
		return
	}
	w, l, sampled := s.world, galenalatch.LoadReport{Boot: s.boot(), Running: len(s.running)}, s.world.now
	for _, n := range w.nodes {
		if h := n.cells[s.cell]; h != nil {
			lag := w.loadLag/2 + time.Duration(w.rng.Int64N(int64(w.loadLag)))
			w.after(lag, func() {
				n.do(func() {
					h.cell.SetLoad(w.now, galenalatch.ServerID(s.instance.ID), sampled, l, nil)
					n.wake(h)
				})
			})
		}
	}
}

// begin runs a call and checks the promise of the cold limit.
func (s *fakeServer) begin(k *call) {
	w := s.world
	if limit := w.pool.ColdLimit + s.completed; len(s.running)+1 > limit {
		w.fail("server %s got request %s beyond its limit %d at %v", s.instance.ID, k.id, limit, w.now.Sub(start))
	}
	if k.server != nil {
		w.fail("request %s runs twice", k.id)
	}
	s.running[k] = true
	k.server, k.started, k.serverBoot = s, w.now, s.boots
	k.duration = time.Duration(k.cost) * w.unit
	w.onStart(k)
	boot, serial := s.boots, k.serial
	w.after(k.duration, func() {
		if s.boots != boot || k.server != s || k.serial != serial {
			return
		}
		s.completed++
		s.leave(k)
		k.node.do(func() { k.node.finished(k, galenalatch.Answered, false) })
	})
}

func (s *fakeServer) leave(k *call) {
	delete(s.running, k)
	k.server = nil
}

// coldRestart replaces the process of the server.
func (s *fakeServer) coldRestart() {
	s.boots++
	s.completed = 0
	for _, k := range sortedCalls(s.running) {
		s.leave(k)
		k.node.do(func() { k.node.finished(k, galenalatch.Broken, true) })
	}
}

// hold makes the node the holder of a cell from now on.
func (w *world) hold(n *node, id galenalatch.CellID) {
	r := w.rows[id]
	if r == nil {
		r = &row{}
		w.rows[id] = r
	}
	unconfirmed, released := r.epoch > 0 && !r.released, r.released
	r.unconfirmed = r.unconfirmed || unconfirmed
	r.epoch++
	r.holder, r.renewed, r.released = n, w.now, false
	cfg := w.config
	cfg.ID, cfg.Router, cfg.Epoch, cfg.Pool, cfg.Start, cfg.Unconfirmed, cfg.Released = id, n.id, r.epoch, w.pool, w.now, r.unconfirmed, released
	h := &holding{cell: New(cfg), id: id, epoch: r.epoch, expires: w.now.Add(leaseTime)}
	n.cells[id] = h
	h.cell.SetCatalogue(w.now, w.catalogue)
	h.cell.SetServers(w.now, w.instances(id))
	var routers []galenalatch.RouterID
	for _, o := range w.nodes {
		routers = append(routers, o.id)
		if n.sees(o) {
			h.cell.RouterUp(w.now, o.id, o.start)
		}
	}
	h.cell.SetRouters(w.now, routers)
	expires := h.expires
	if !w.leases {
		expires = w.now.Add(1000 * time.Hour)
	}
	h.cell.SetLease(expires, false)
	n.learn(galenalatch.Holder{Cell: id, Router: n.id, Epoch: r.epoch})
	n.tell(h)
	n.wake(h)
}

func (w *world) instances(id galenalatch.CellID) []galenalatch.Instance {
	var all []galenalatch.Instance
	for _, s := range w.servers {
		if s.cell == id {
			all = append(all, s.instance)
		}
	}
	return all
}

const (
	leaseTime   = 4 * time.Second
	renewEvery  = 1400 * time.Millisecond
	leaseMargin = 500 * time.Millisecond
)

// leaseStep renews leases and lets candidates take over.
func (w *world) leaseStep() {
	for _, id := range sortedCells(w.rows) {
		r := w.rows[id]
		if n := r.holder; !r.released && n.cells[id] != nil && n.cells[id].epoch == r.epoch && n.reachesPlatform() {
			if h := n.cells[id]; w.now.Sub(r.renewed) >= renewEvery {
				r.renewed = w.now
				h.expires = w.now.Add(leaseTime)
				h.cell.SetLease(h.expires, false)
				n.wake(h)
			}
			continue
		}
		if !r.released && w.now.Sub(r.renewed) < leaseTime+leaseMargin {
			continue
		}
		for _, n := range w.nodes {
			if n.reachesPlatform() && (n != r.holder || n.cells[id] == nil || r.released) {
				w.hold(n, id)
				break
			}
		}
	}
	for _, n := range w.nodes {
		n.checkLeases()
	}
}
