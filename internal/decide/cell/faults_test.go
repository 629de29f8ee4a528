package cell

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/galenalatch/galenalatch"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of runs. The flags -rapid.seed and
// -rapid.checks replace them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// faultSimulation is a simulation of two cells on three routers with faults.
// While it is lossy, messages are lost, duplicated and delayed.
type faultSimulation struct {
	*simulation
	lossy        bool
	requestCount int
	openRequests int
}

var cellA, cellB = galenalatch.CellID{Pool: "m", DataCentre: "a"}, galenalatch.CellID{Pool: "m", DataCentre: "b"}

func newFaultSimulation(t *rapid.T) *faultSimulation {
	cold := rapid.IntRange(1, 4).Draw(t, "cold")
	p := galenalatch.Pool{Name: "m", ColdLimit: cold, WarmLimit: cold + rapid.IntRange(0, 6).Draw(t, "warm"), MaxCost: 100}
	f := &faultSimulation{simulation: newSimulation(rapid.Uint64().Draw(t, "seed"), p)}
	f.simulateLeases = true
	f.catalogue.DefaultLimits = galenalatch.Entry{Weight: 1, MaxRunning: rapid.IntRange(1, 4).Draw(t, "max running")}
	f.fail = t.Fatalf
	f.onRequestEnd = func(*fakeRequest) { f.openRequests-- }
	f.transmit = func(_, _ *fakeRouter) []time.Duration {
		d := []time.Duration{time.Duration(f.rng.IntN(5)) * time.Millisecond}
		if !f.lossy {
			return d
		}
		switch x := f.rng.IntN(100); {
		case x < 10:
			return nil
		case x < 30:
			return append(d, time.Duration(f.rng.IntN(8000))*time.Millisecond)
		case x < 50:
			return []time.Duration{time.Duration(f.rng.IntN(4000)) * time.Millisecond}
		}
		return d
	}
	for range 3 {
		f.addRouter("a")
	}
	for i := range rapid.IntRange(1, 2).Draw(t, "servers a") {
		f.addServer(fmt.Sprint("sa", i), cellA)
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "servers b") {
		f.addServer(fmt.Sprint("sb", i), cellB)
	}
	f.takeOver(f.routers[0], cellA)
	f.takeOver(f.routers[1], cellB)
	f.every(200*time.Millisecond, f.updateLeases)
	f.every(250*time.Millisecond, f.gossip)
	return f
}

func (f *faultSimulation) gossip() {
	for _, n := range f.routers {
		if n.paused {
			continue
		}
		var all []galenalatch.Holder
		for _, id := range sortedCells(n.holders) {
			all = append(all, n.holders[id])
		}
		for _, o := range f.routers {
			if o != n {
				n.send(o.id, galenalatch.Gossip{Holders: all})
			}
		}
	}
}

func (f *faultSimulation) drawRouter(t *rapid.T) *fakeRouter {
	return f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "node")]
}

// notifyConnection reports the state of a connection to both sides.
func (f *faultSimulation) notifyConnection(a, b *fakeRouter, up bool) {
	for _, p := range [][2]*fakeRouter{{a, b}, {b, a}} {
		n, o := p[0], p[1]
		n.runUnpaused(func() {
			for _, id := range sortedCells(n.cells) {
				if up {
					n.cells[id].cell.RouterConnected(f.now, o.id, o.startID)
				} else {
					n.cells[id].cell.RouterDisconnected(f.now, o.id)
				}
				n.scheduleTick(n.cells[id])
			}
			if up {
				for _, id := range sortedCells(n.holders) {
					if n.holders[id].Router == o.id {
						n.reportTo(id)
					}
				}
			}
		})
	}
}

func (f *faultSimulation) drawDuration(t *rapid.T, millis ...int) time.Duration {
	return time.Duration(rapid.SampledFrom(millis).Draw(t, "millis")) * time.Millisecond
}

func (f *faultSimulation) submitSome(t *rapid.T) {
	n := f.drawRouter(t)
	for range rapid.SampledFrom([]int{1, 4, 12, 30}).Draw(t, "count") {
		f.submitOne(n, rapid.IntRange(0, 3).Draw(t, "workspace"))
	}
}

func (f *faultSimulation) submitOne(n *fakeRouter, w int) {
	f.requestCount++
	k := &fakeRequest{
		id: galenalatch.RequestID(fmt.Sprintf("q%04d", f.requestCount)), workspace: galenalatch.WorkspaceName(fmt.Sprint("w", w%4)),
		class: galenalatch.Interactive, cost: int64(1 + f.rng.IntN(100)), home: []galenalatch.CellID{cellA, cellB}[w%2],
	}
	n.runUnpaused(func() { f.openRequests++; n.submit(k) })
}

// flood submits requests for both cells at each router.
func (f *faultSimulation) flood() {
	for _, n := range f.routers {
		for i := range 8 {
			f.submitOne(n, i)
		}
	}
}

// setServerOut takes a server out of service or puts it back in.
func (f *faultSimulation) setServerOut(id galenalatch.ServerID, out bool) {
	f.catalogue = f.catalogue.WithServer(id, out)
	cat := f.catalogue
	for _, n := range f.routers {
		n.runUnpaused(func() {
			for _, c := range sortedCells(n.cells) {
				n.cells[c].cell.SetCatalogue(f.now, cat)
				n.scheduleTick(n.cells[c])
			}
		})
	}
}

// releaseCell releases the lease of a cell and hands it over to the next
// holder.
func (f *faultSimulation) releaseCell(id galenalatch.CellID) {
	r := f.leaseRows[id]
	n := r.holder
	h := n.cells[id]
	if h == nil || h.epoch != r.epoch || !n.reachesPlatform() {
		return
	}
	h.cell.StopGranting()
	m := h.cell.Handover()
	r.released = true
	f.after(500*time.Millisecond, func() {
		if r.epoch > h.epoch {
			n.runUnpaused(func() { n.send(r.holder.id, m) })
		}
	})
}

func (f *faultSimulation) coldRestart(t *rapid.T) {
	id := rapid.SampledFrom([]galenalatch.ServerID{"sa0", "sa1", "sb0"}).Draw(t, "server")
	if s := f.servers[id]; s != nil {
		s.coldRestart()
	}
}

func (f *faultSimulation) setPartition(a, b *fakeRouter, cut bool) {
	a.unreachable[b], b.unreachable[a] = cut, cut
	f.after(time.Second, func() { f.notifyConnection(a, b, a.reaches(b)) })
}

func (f *faultSimulation) restartRouter(n *fakeRouter) {
	n.restart()
	for _, o := range f.routers {
		if o != n && n.reaches(o) {
			f.notifyConnection(n, o, true)
		}
	}
	f.notifyConnection(n, n, true)
}

// checkRecovery ends all faults and checks that all requests end and that all
// capacity is freed.
func (f *faultSimulation) checkRecovery(t *rapid.T) {
	f.lossy = false
	for _, n := range f.routers {
		n.platformDown = false
		n.unreachable = map[*fakeRouter]bool{}
		n.resume()
	}
	f.setServerOut("sa0", false)
	f.run(12 * time.Second)
	for i, a := range f.routers {
		for _, b := range f.routers[i:] {
			f.notifyConnection(a, b, false)
			f.notifyConnection(a, b, true)
		}
	}
	// One slot ends a request in at most 4 s.
	limit := 120 + 5*f.openRequests
	for i := 0; f.openRequests > 0; i++ {
		if f.run(time.Second); i > limit {
			t.Fatalf("%d requests have not ended; %s", f.openRequests, f.capacityInUse())
		}
	}
	for i := 0; ; i++ {
		inUse := f.capacityInUse()
		if inUse == "" {
			return
		}
		if f.run(time.Second); i > 120 {
			t.Fatalf("capacity is not returned: %s", inUse)
		}
	}
}

// capacityInUse describes the cells with requests, loans or used slots. It
// returns an empty string if there are none.
func (f *faultSimulation) capacityInUse() string {
	all := ""
	for _, id := range sortedCells(f.leaseRows) {
		h := f.leaseRows[id].holder.cells[id]
		if h == nil {
			return "no holder"
		}
		s := h.cell.Status(f.now)
		n := s.Waiting + s.Granted + s.LentSlots + len(s.Workspaces)
		for _, v := range s.Servers {
			n += v.Running + v.Untracked
		}
		if n > 0 {
			all += fmt.Sprintf("%s: %+v\n", f.leaseRows[id].holder.id, s)
		}
	}
	return all
}

// Guards against a cold server that receives more requests than its limit, a
// request that runs twice, requests that never end and slots that are never
// freed. The causes are loss, duplication, delay and reordering of messages,
// partitions, pauses, restarts and two holders of a cell at the same time.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFaultSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": f.submitSome,
			"run": func(t *rapid.T) {
				f.run(f.drawDuration(t, 50, 500, 2000, 5000))
			},
			"":     func(t *rapid.T) { f.run(f.drawDuration(t, 1, 20, 200, 1000)) },
			"loss": func(*rapid.T) { f.lossy = !f.lossy },
			"pause": func(t *rapid.T) {
				n := f.drawRouter(t)
				n.paused = true
				f.after(f.drawDuration(t, 500, 3000, 5000, 9000), n.resume)
			},
			// The lease of a holder that reaches neither the platform nor other
			// routers lapses while another router takes over its cell. Both
			// have waiting requests.
			"split": func(t *rapid.T) {
				n := f.drawRouter(t)
				n.platformDown = true
				for _, o := range f.routers {
					if o != n {
						f.setPartition(n, o, true)
					}
				}
				f.run(f.drawDuration(t, 4000, 6000))
				f.flood()
				for range rapid.IntRange(0, 6).Draw(t, "rounds") {
					f.run(f.drawDuration(t, 300, 1000, 2500))
					f.coldRestart(t)
				}
			},
			"flood": func(*rapid.T) { f.flood() },
			"out":   func(*rapid.T) { f.setServerOut("sa0", len(f.catalogue.ServersOut) == 0) },
			"release": func(t *rapid.T) {
				f.releaseCell(rapid.SampledFrom([]galenalatch.CellID{cellA, cellB}).Draw(t, "cell"))
			},
			"restart":  func(t *rapid.T) { f.restartRouter(f.drawRouter(t)) },
			"platform": func(t *rapid.T) { n := f.drawRouter(t); n.platformDown = !n.platformDown },
			"cold":     f.coldRestart,
			"partition": func(t *rapid.T) {
				if a, b := f.drawRouter(t), f.drawRouter(t); a != b {
					f.setPartition(a, b, a.reaches(b))
				}
			},
			"move": func(t *rapid.T) {
				n := f.drawRouter(t)
				to := rapid.SampledFrom([]galenalatch.CellID{cellA, cellB}).Draw(t, "to")
				n.runUnpaused(func() {
					for _, k := range sortedRequests(requestSet(n.requests)) {
						n.moveRequest(k, to)
					}
				})
			},
		})
		f.checkRecovery(t)
	})
}

func requestSet(m map[galenalatch.RequestID]*fakeRequest) map[*fakeRequest]bool {
	set := map[*fakeRequest]bool{}
	for _, k := range m {
		set[k] = true
	}
	return set
}
