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

// TestMain fixes the seed and the number of runs. Give -rapid.seed and
// -rapid.checks for other or longer runs.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// fuzz is a world with faults.
type fuzz struct {
	*world
	loss  bool
	calls int
	open  int
}

var cellA, cellB = galenalatch.CellID{Pool: "m", DataCentre: "a"}, galenalatch.CellID{Pool: "m", DataCentre: "b"}

func newFuzz(t *rapid.T) *fuzz {
	cold := rapid.IntRange(1, 4).Draw(t, "cold")
	p := galenalatch.Pool{Name: "m", ColdLimit: cold, WarmLimit: cold + rapid.IntRange(0, 6).Draw(t, "warm"), MaxCost: 100}
	f := &fuzz{world: newWorld(rapid.Uint64().Draw(t, "seed"), p)}
	f.leases = true
	f.catalogue.DefaultLimits = galenalatch.Entry{Weight: 1, MaxRunning: rapid.IntRange(1, 4).Draw(t, "max running")}
	f.fail = t.Fatalf
	f.onEnd = func(*call) { f.open-- }
	f.transmit = func(_, _ *node) []time.Duration {
		d := []time.Duration{time.Duration(f.rng.IntN(5)) * time.Millisecond}
		if !f.loss {
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
		f.addNode("a")
	}
	for i := range rapid.IntRange(1, 2).Draw(t, "servers a") {
		f.addServer(fmt.Sprint("sa", i), cellA)
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "servers b") {
		f.addServer(fmt.Sprint("sb", i), cellB)
	}
	f.hold(f.nodes[0], cellA)
	f.hold(f.nodes[1], cellB)
	f.every(200*time.Millisecond, f.leaseStep)
	f.every(250*time.Millisecond, f.gossip)
	return f
}

func (f *fuzz) gossip() {
	for _, n := range f.nodes {
		if n.paused {
			continue
		}
		var all []galenalatch.Holder
		for _, id := range sortedCells(n.holders) {
			all = append(all, n.holders[id])
		}
		for _, o := range f.nodes {
			if o != n {
				n.send(o.id, galenalatch.Gossip{Holders: all})
			}
		}
	}
}

func (f *fuzz) node(t *rapid.T) *node {
	return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
}

// link tells both sides about the state of their connection.
func (f *fuzz) link(a, b *node, up bool) {
	for _, p := range [][2]*node{{a, b}, {b, a}} {
		n, o := p[0], p[1]
		n.do(func() {
			for _, id := range sortedCells(n.cells) {
				if up {
					n.cells[id].cell.RouterUp(f.now, o.id, o.start)
				} else {
					n.cells[id].cell.RouterDown(f.now, o.id)
				}
				n.wake(n.cells[id])
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

func (f *fuzz) pick(t *rapid.T, millis ...int) time.Duration {
	return time.Duration(rapid.SampledFrom(millis).Draw(t, "millis")) * time.Millisecond
}

func (f *fuzz) submitSome(t *rapid.T) {
	n := f.node(t)
	for range rapid.SampledFrom([]int{1, 4, 12, 30}).Draw(t, "count") {
		f.submitOne(n, rapid.IntRange(0, 3).Draw(t, "workspace"))
	}
}

func (f *fuzz) submitOne(n *node, w int) {
	f.calls++
	k := &call{
		id: galenalatch.RequestID(fmt.Sprintf("q%04d", f.calls)), workspace: galenalatch.WorkspaceName(fmt.Sprint("w", w%4)),
		class: galenalatch.Interactive, cost: int64(1 + f.rng.IntN(100)), home: []galenalatch.CellID{cellA, cellB}[w%2],
	}
	n.do(func() { f.open++; n.submit(k) })
}

// flood submits work for both cells at each node.
func (f *fuzz) flood() {
	for _, n := range f.nodes {
		for i := range 8 {
			f.submitOne(n, i)
		}
	}
}

// setOut takes a server out of service or back in.
func (f *fuzz) setOut(id galenalatch.ServerID, out bool) {
	f.catalogue = f.catalogue.WithServer(id, out)
	cat := f.catalogue
	for _, n := range f.nodes {
		n.do(func() {
			for _, c := range sortedCells(n.cells) {
				n.cells[c].cell.SetCatalogue(f.now, cat)
				n.wake(n.cells[c])
			}
		})
	}
}

// release hands a cell over to another router.
func (f *fuzz) release(id galenalatch.CellID) {
	r := f.rows[id]
	n := r.holder
	h := n.cells[id]
	if h == nil || h.epoch != r.epoch || !n.reachesPlatform() {
		return
	}
	h.cell.Stop()
	m := h.cell.Handover()
	r.released = true
	f.after(500*time.Millisecond, func() {
		if r.epoch > h.epoch {
			n.do(func() { n.send(r.holder.id, m) })
		}
	})
}

func (f *fuzz) coldRestart(t *rapid.T) {
	id := rapid.SampledFrom([]galenalatch.ServerID{"sa0", "sa1", "sb0"}).Draw(t, "server")
	if s := f.servers[id]; s != nil {
		s.coldRestart()
	}
}

func (f *fuzz) cutLink(a, b *node, cut bool) {
	a.cut[b], b.cut[a] = cut, cut
	f.after(time.Second, func() { f.link(a, b, a.sees(b)) })
}

func (f *fuzz) restartNode(n *node) {
	n.restart()
	for _, o := range f.nodes {
		if o != n && n.sees(o) {
			f.link(n, o, true)
		}
	}
	f.link(n, n, true)
}

// settle ends all faults and checks that the requests end and that all
// capacity is returned.
func (f *fuzz) settle(t *rapid.T) {
	f.loss = false
	for _, n := range f.nodes {
		n.noPlatform = false
		n.cut = map[*node]bool{}
		n.resume()
	}
	f.setOut("sa0", false)
	f.run(12 * time.Second)
	for i, a := range f.nodes {
		for _, b := range f.nodes[i:] {
			f.link(a, b, false)
			f.link(a, b, true)
		}
	}
	// One slot ends a request in at most 4 s.
	limit := 120 + 5*f.open
	for i := 0; f.open > 0; i++ {
		if f.run(time.Second); i > limit {
			t.Fatalf("%d requests have not ended; %s", f.open, f.busy())
		}
	}
	for i := 0; ; i++ {
		busy := f.busy()
		if busy == "" {
			return
		}
		if f.run(time.Second); i > 120 {
			t.Fatalf("capacity is not returned: %s", busy)
		}
	}
}

// busy describes the cells with capacity in use, or is empty.
func (f *fuzz) busy() string {
	all := ""
	for _, id := range sortedCells(f.rows) {
		h := f.rows[id].holder.cells[id]
		if h == nil {
			return "no holder"
		}
		s := h.cell.Status(f.now)
		n := s.Waiting + s.Granted + s.Lent + len(s.Workspaces)
		for _, v := range s.Servers {
			n += v.Running + v.Foreign
		}
		if n > 0 {
			all += fmt.Sprintf("%s: %+v\n", f.rows[id].holder.id, s)
		}
	}
	return all
}

// Guards against a cold server that receives more than it can bear, a request
// that runs twice, requests that never run and slots that are never freed,
// under loss, duplication, delay, reordering, partitions, pauses, restarts and
// two holders of a cell at once.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFuzz(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": f.submitSome,
			"run": func(t *rapid.T) {
				f.run(f.pick(t, 50, 500, 2000, 5000))
			},
			"":     func(t *rapid.T) { f.run(f.pick(t, 1, 20, 200, 1000)) },
			"loss": func(*rapid.T) { f.loss = !f.loss },
			"pause": func(t *rapid.T) {
				n := f.node(t)
				n.paused = true
				f.after(f.pick(t, 500, 3000, 5000, 9000), n.resume)
			},
			// A holder without platform and links lapses while another
			// router takes over its cell; both have work.
			"split": func(t *rapid.T) {
				n := f.node(t)
				n.noPlatform = true
				for _, o := range f.nodes {
					if o != n {
						f.cutLink(n, o, true)
					}
				}
				f.run(f.pick(t, 4000, 6000))
				f.flood()
				for range rapid.IntRange(0, 6).Draw(t, "rounds") {
					f.run(f.pick(t, 300, 1000, 2500))
					f.coldRestart(t)
				}
			},
			"flood": func(*rapid.T) { f.flood() },
			"out":   func(*rapid.T) { f.setOut("sa0", len(f.catalogue.ServersOut) == 0) },
			"release": func(t *rapid.T) {
				f.release(rapid.SampledFrom([]galenalatch.CellID{cellA, cellB}).Draw(t, "cell"))
			},
			"restart":  func(t *rapid.T) { f.restartNode(f.node(t)) },
			"platform": func(t *rapid.T) { n := f.node(t); n.noPlatform = !n.noPlatform },
			"cold":     f.coldRestart,
			"partition": func(t *rapid.T) {
				if a, b := f.node(t), f.node(t); a != b {
					f.cutLink(a, b, a.sees(b))
				}
			},
			"move": func(t *rapid.T) {
				n := f.node(t)
				to := rapid.SampledFrom([]galenalatch.CellID{cellA, cellB}).Draw(t, "to")
				n.do(func() {
					for _, k := range sortedCalls(callSet(n.calls)) {
						n.move(k, to)
					}
				})
			},
		})
		f.settle(t)
	})
}

func callSet(m map[galenalatch.RequestID]*call) map[*call]bool {
	set := map[*call]bool{}
	for _, k := range m {
		set[k] = true
	}
	return set
}
