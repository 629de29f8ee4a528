package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenalatch/galenalatch"
)

// simulation is a discrete-event simulation of cells, fake routers and fake
// servers.
type simulation struct {
	now         time.Time
	rng         *rand.Rand
	events      eventHeap
	eventCount  int
	pool        galenalatch.Pool
	config      Config
	routers     []*fakeRouter
	routersByID map[galenalatch.RouterID]*fakeRouter
	servers     map[galenalatch.ServerID]*fakeServer
	leaseRows   map[galenalatch.CellID]*leaseRow
	// transmit returns the delays of the copies of a message that arrive.
	transmit func(from, to *fakeRouter) []time.Duration
	// fail is called when an invariant is violated.
	fail func(format string, args ...any)
	// onRequestEnd is called when a request has ended for its caller.
	onRequestEnd func(*fakeRequest)
	// onSend is called for each message sent.
	onSend          func(from *fakeRouter, m galenalatch.Message)
	onDecision      func(grants int, d time.Duration)
	catalogue       galenalatch.Catalogue
	loadReportDelay time.Duration
	simulateLeases  bool
	// unitTime is the running time of one service unit.
	unitTime       time.Duration
	onRequestStart func(*fakeRequest)
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
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

// leaseRow is the lease of a cell as stored in the platform.
type leaseRow struct {
	holder   *fakeRouter
	epoch    galenalatch.Epoch
	renewed  time.Time
	released bool
	// unconfirmed says that some previous holder did not release the lease.
	unconfirmed bool
}

type fakeServer struct {
	sim       *simulation
	instance  galenalatch.Instance
	cell      galenalatch.CellID
	boots     int
	completed int
	running   map[*fakeRequest]bool
	down      bool
}

func (s *fakeServer) bootID() galenalatch.BootID {
	return galenalatch.BootID(fmt.Sprint(s.instance.ID, "#", s.boots))
}

func newSimulation(seed uint64, pool galenalatch.Pool) *simulation {
	return &simulation{
		now: start, rng: rand.New(rand.NewPCG(seed, 1)), pool: pool,
		routersByID:     map[galenalatch.RouterID]*fakeRouter{},
		servers:         map[galenalatch.ServerID]*fakeServer{},
		leaseRows:       map[galenalatch.CellID]*leaseRow{},
		transmit:        func(_, _ *fakeRouter) []time.Duration { return []time.Duration{1500 * time.Microsecond} },
		fail:            func(f string, a ...any) { panic(fmt.Sprintf(f, a...)) },
		onRequestEnd:    func(*fakeRequest) {},
		onSend:          func(*fakeRouter, galenalatch.Message) {},
		onDecision:      func(int, time.Duration) {},
		catalogue:       galenalatch.Catalogue{Version: 1, Pools: []galenalatch.Pool{pool}},
		loadReportDelay: 100 * time.Millisecond,
		unitTime:        40 * time.Millisecond,
		onRequestStart:  func(*fakeRequest) {},
	}
}

func (w *simulation) after(d time.Duration, do func()) {
	w.eventCount++
	heap.Push(&w.events, event{w.now.Add(d), w.eventCount, do})
}

// every calls do now and then once in each period d.
func (w *simulation) every(d time.Duration, do func()) {
	do()
	w.after(d, func() { w.every(d, do) })
}

// run processes the events of the next d.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *simulation) addRouter(dc string) *fakeRouter {
	n := &fakeRouter{sim: w, id: galenalatch.RouterID(fmt.Sprint("r", len(w.routers))), dataCentre: dc}
	n.restart()
	w.routers = append(w.routers, n)
	w.routersByID[n.id] = n
	offset := time.Duration(w.rng.Int64N(int64(time.Second)))
	w.after(offset, func() { w.every(time.Second, n.sendProgress) })
	return n
}

func (w *simulation) addServer(id string, cell galenalatch.CellID) *fakeServer {
	s := &fakeServer{
		sim: w, cell: cell, running: map[*fakeRequest]bool{},
		instance: galenalatch.Instance{ID: id, Address: id + ":80", DataCentre: cell.DataCentre, Pool: cell.Pool},
	}
	w.servers[galenalatch.ServerID(id)] = s
	offset := time.Duration(w.rng.Int64N(int64(time.Second)))
	w.after(offset, func() { w.every(time.Second, s.reportLoad) })
	return s
}

// reportLoad sends the load to all routers that hold the cell, or have not
// noticed that they have lost it.
func (s *fakeServer) reportLoad() {
	if s.down {
		return
	}
	w, l, sampled := s.sim, galenalatch.LoadReport{Boot: s.bootID(), Running: len(s.running)}, s.sim.now
	for _, n := range w.routers {
		if h := n.cells[s.cell]; h != nil {
			lag := w.loadReportDelay/2 + time.Duration(w.rng.Int64N(int64(w.loadReportDelay)))
			w.after(lag, func() {
				n.runUnpaused(func() {
					h.cell.SetLoad(w.now, galenalatch.ServerID(s.instance.ID), sampled, l, nil)
					n.scheduleTick(h)
				})
			})
		}
	}
}

// startRequest runs a request and checks that the server's limit holds and
// that the request does not run already.
func (s *fakeServer) startRequest(k *fakeRequest) {
	w := s.sim
	if limit := w.pool.ColdLimit + s.completed; len(s.running)+1 > limit {
		w.fail("server %s got request %s beyond its limit %d at %v", s.instance.ID, k.id, limit, w.now.Sub(start))
	}
	if k.server != nil {
		w.fail("request %s runs twice", k.id)
	}
	s.running[k] = true
	k.server, k.started, k.serverBoot = s, w.now, s.boots
	k.duration = time.Duration(k.cost) * w.unitTime
	w.onRequestStart(k)
	boot, serial := s.boots, k.serial
	w.after(k.duration, func() {
		if s.boots != boot || k.server != s || k.serial != serial {
			return
		}
		s.completed++
		s.removeRequest(k)
		k.router.runUnpaused(func() { k.router.runEnded(k, galenalatch.Answered, false) })
	})
}

func (s *fakeServer) removeRequest(k *fakeRequest) {
	delete(s.running, k)
	k.server = nil
}

// coldRestart replaces the process of the server.
func (s *fakeServer) coldRestart() {
	s.boots++
	s.completed = 0
	for _, k := range sortedRequests(s.running) {
		s.removeRequest(k)
		k.router.runUnpaused(func() { k.router.runEnded(k, galenalatch.StreamBroken, true) })
	}
}

// takeOver makes the router the holder of a cell.
func (w *simulation) takeOver(n *fakeRouter, id galenalatch.CellID) {
	r := w.leaseRows[id]
	if r == nil {
		r = &leaseRow{}
		w.leaseRows[id] = r
	}
	unconfirmed, released := r.epoch > 0 && !r.released, r.released
	r.unconfirmed = r.unconfirmed || unconfirmed
	r.epoch++
	r.holder, r.renewed, r.released = n, w.now, false
	cfg := w.config
	cfg.ID, cfg.Router, cfg.Epoch, cfg.Pool, cfg.Start, cfg.PredecessorUnconfirmed, cfg.PredecessorReleased = id, n.id, r.epoch, w.pool, w.now, r.unconfirmed, released
	h := &heldCell{cell: New(cfg), id: id, epoch: r.epoch, expires: w.now.Add(leaseDuration)}
	n.cells[id] = h
	h.cell.SetCatalogue(w.now, w.catalogue)
	h.cell.SetServers(w.now, w.instances(id))
	var routers []galenalatch.RouterID
	for _, o := range w.routers {
		routers = append(routers, o.id)
		if n.reaches(o) {
			h.cell.RouterConnected(w.now, o.id, o.startID)
		}
	}
	h.cell.SetRouters(w.now, routers)
	expires := h.expires
	if !w.simulateLeases {
		expires = w.now.Add(1000 * time.Hour)
	}
	h.cell.SetLease(expires, false)
	n.recordHolder(galenalatch.Holder{Cell: id, Router: n.id, Epoch: r.epoch})
	n.updatePeers(h)
	n.scheduleTick(h)
}

func (w *simulation) instances(id galenalatch.CellID) []galenalatch.Instance {
	var all []galenalatch.Instance
	for _, s := range w.servers {
		if s.cell == id {
			all = append(all, s.instance)
		}
	}
	return all
}

const (
	leaseDuration    = 4 * time.Second
	leaseRenewPeriod = 1400 * time.Millisecond
	leaseMargin      = 500 * time.Millisecond
)

// updateLeases renews leases and lets other routers take over cells whose
// leases have ended.
func (w *simulation) updateLeases() {
	for _, id := range sortedCells(w.leaseRows) {
		r := w.leaseRows[id]
		if n := r.holder; !r.released && n.cells[id] != nil && n.cells[id].epoch == r.epoch && n.reachesPlatform() {
			if h := n.cells[id]; w.now.Sub(r.renewed) >= leaseRenewPeriod {
				r.renewed = w.now
				h.expires = w.now.Add(leaseDuration)
				h.cell.SetLease(h.expires, false)
				n.scheduleTick(h)
			}
			continue
		}
		if !r.released && w.now.Sub(r.renewed) < leaseDuration+leaseMargin {
			continue
		}
		for _, n := range w.routers {
			if n.reachesPlatform() && (n != r.holder || n.cells[id] == nil || r.released) {
				w.takeOver(n, id)
				break
			}
		}
	}
	for _, n := range w.routers {
		n.checkLeases()
	}
}
