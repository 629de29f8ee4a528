package gossip

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/freshness"
	"github.com/galenalatch/galenalatch/internal/peer/link"
)

const benchTime = 4 * time.Second

// benchNode is a router with a mesh on loopback.
type benchNode struct {
	mesh     *link.Mesh
	exchange *Exchange
	held     atomic.Uint64
	isolated atomic.Bool
}

// ChangesAfter implements Changes with one change of a typical size.
func (d *benchNode) ChangesAfter(v galenalatch.Version) [][]byte {
	if uint64(v) >= d.held.Load() {
		return nil
	}
	return [][]byte{make([]byte, 300)}
}

// ApplyEncoded implements Changes.
func (d *benchNode) ApplyEncoded([][]byte) error {
	d.apply(galenalatch.Version(d.held.Load() + 1))
	return nil
}

func (d *benchNode) apply(v galenalatch.Version) {
	d.held.Store(uint64(v))
	d.exchange.SetHeld(v, freshness.Lists{})
}

func benchIDs(n int) []galenalatch.RouterID {
	var ids []galenalatch.RouterID
	for i := range n {
		ids = append(ids, galenalatch.RouterID(fmt.Sprintf("router-%04d", i)))
	}
	return ids
}

// startNodes starts n routers that gossip over loopback. The function change
// may alter messages before they are sent. Without gossip, the routers only
// connect and send heartbeats.
func startNodes(b *testing.B, n int, gossip bool, down *atomic.Bool, change func(*Exchange, galenalatch.Message) galenalatch.Message) []*benchNode {
	ctx, cancel := context.WithCancel(b.Context())
	var g sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		g.Wait()
	})
	var head atomic.Uint64
	head.Store(1)
	var list []galenalatch.Instance
	ids := benchIDs(n)
	var nodes []*benchNode
	for _, id := range ids {
		d := &benchNode{}
		var err error
		d.exchange, err = New(Options{
			Self: id, Changes: d,
			Send: func(to galenalatch.RouterID, m galenalatch.Message) bool {
				return d.mesh.Send(to, change(d.exchange, m))
			},
			Head: func(context.Context) (galenalatch.Version, error) {
				if down.Load() || d.isolated.Load() {
					return 0, galenalatch.KindPlatformDown.Errorf("down")
				}
				return galenalatch.Version(head.Load()), nil
			},
		})
		assert.NilError(b, err)
		d.mesh, err = link.New(link.Options{
			Self: id, Start: "start", DataCentre: "a", Token: "token",
			Handle: func(from galenalatch.RouterID, m galenalatch.Message) { d.exchange.Handle(from, m) },
		})
		assert.NilError(b, err)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		s := &http.Server{Handler: d.mesh.Handler(), ReadHeaderTimeout: time.Second}
		b.Cleanup(func() { _ = s.Close() })
		g.Go(func() { _ = s.Serve(l) })
		g.Go(func() { _ = d.mesh.Run(ctx) })
		list = append(list, galenalatch.Instance{ID: string(id), Role: galenalatch.RouterRole, Address: l.Addr().String()})
		nodes = append(nodes, d)
	}
	for i, d := range nodes {
		d.mesh.SetPeers(list)
		d.exchange.SetInstances(ids)
		d.apply(1)
		for c := range 2 {
			d.exchange.SetHolder(galenalatch.Holder{
				Cell:   galenalatch.CellID{Pool: "lettering", DataCentre: galenalatch.DataCentre(fmt.Sprint("dc", i)), Index: c},
				Router: ids[i], Epoch: 7,
			})
		}
		if gossip {
			g.Go(func() { _ = d.exchange.Run(ctx) })
			continue
		}
		for _, to := range ids[i+1:] {
			for !d.mesh.Send(to, galenalatch.ChangesRequest{After: 1}) {
				<-time.After(time.Millisecond)
			}
		}
	}
	return nodes
}

// meanBytes returns the mean of the bytes that a node has received and sent.
func meanBytes(nodes []*benchNode) float64 {
	var n int64
	for _, d := range nodes {
		for _, t := range d.mesh.Stats() {
			n += t.BytesIn + t.BytesOut
		}
	}
	return float64(n) / float64(len(nodes))
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var r syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &r))
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func unchanged(_ *Exchange, m galenalatch.Message) galenalatch.Message { return m }

// fullGossip adds the holders to each message, and makes each GossipRequest ask
// for the routers heard from.
func fullGossip(e *Exchange, m galenalatch.Message) galenalatch.Message {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch m := m.(type) {
	case galenalatch.GossipRequest:
		m.Gossip.Holders = e.view.Holders()
		m.Gossip.ListSum = listSum(benchIDs(8))
		return m
	case galenalatch.Gossip:
		m.Holders = e.view.Holders()
		return m
	}
	return m
}

// BenchmarkTraffic measures the bytes that a router receives and sends on its
// connections, including the WebSocket framing, and the time until all routers
// hold a change.
func BenchmarkTraffic(b *testing.B) {
	for _, c := range []struct {
		name   string
		n      int
		gossip bool
		down   bool
		change func(*Exchange, galenalatch.Message) galenalatch.Message
	}{
		{"heartbeats/routers=8", 8, false, false, unchanged},
		{"gossip/routers=4", 4, true, false, unchanged},
		{"gossip/routers=8", 8, true, false, unchanged},
		{"gossip/routers=16", 16, true, false, unchanged},
		{"gossip/routers=32", 32, true, false, unchanged},
		{"outage/routers=8", 8, true, true, unchanged},
		{"always/routers=8", 8, true, false, fullGossip},
	} {
		b.Run(c.name, func(b *testing.B) {
			var down atomic.Bool
			nodes := startNodes(b, c.n, c.gossip, &down, c.change)
			<-time.After(time.Second)
			dialled := meanBytes(nodes) * 2 / float64(c.n-1)
			<-time.After(9 * time.Second)
			down.Store(c.down)
			if c.down {
				<-time.After(2 * time.Second)
			}
			for b.Loop() {
				before, used := meanBytes(nodes), cpuTime(b)
				<-time.After(benchTime)
				b.ReportMetric((meanBytes(nodes)-before)/benchTime.Seconds(), "B/s")
				b.ReportMetric((cpuTime(b)-used).Seconds()/benchTime.Seconds()/float64(c.n)*100, "%core")
			}
			runtime.GC()
			var mem runtime.MemStats
			runtime.ReadMemStats(&mem)
			links := 0
			for _, d := range nodes {
				links += len(d.mesh.Stats())
			}
			b.ReportMetric(float64(mem.HeapAlloc+mem.StackInuse)/float64(links)/1024, "KB/link")
			if !c.gossip {
				b.ReportMetric(dialled, "B/dial")
				return
			}
			start := time.Now()
			nodes[0].apply(2)
			for _, d := range nodes {
				waitUntil(func() bool { return d.held.Load() == 2 })
			}
			b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/change")
			nodes[0].exchange.AwaitAcceptance(2)
			waitUntil(func() bool {
				held, total := nodes[0].exchange.Accepted(2)
				return 2*held > total
			})
			b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/accepted")
		})
	}
}

// waitUntil polls met until it returns true.
func waitUntil(met func() bool) {
	for !met() {
		<-time.After(time.Millisecond)
	}
}

// BenchmarkIsolatedRouter measures how long a router stays fresh after it was
// cut off from the platform and all routers, and how long it takes to become
// fresh again afterwards.
func BenchmarkIsolatedRouter(b *testing.B) {
	var down atomic.Bool
	nodes := startNodes(b, 8, true, &down, unchanged)
	fresh := func() bool {
		ok, _ := nodes[7].exchange.Fresh()
		return ok
	}
	cut := func(on bool) {
		nodes[7].isolated.Store(on)
		for i, id := range benchIDs(7) {
			nodes[i].mesh.SetPartitioned("router-0007", on)
			nodes[7].mesh.SetPartitioned(id, on)
		}
	}
	var stale, back time.Duration
	for b.Loop() {
		waitUntil(fresh)
		<-time.After(3 * time.Second)
		start := time.Now()
		cut(true)
		waitUntil(func() bool { return !fresh() })
		stale = max(stale, time.Since(start))
		// Wait until the connections have timed out.
		<-time.After(4 * time.Second)
		start = time.Now()
		cut(false)
		waitUntil(fresh)
		back = max(back, time.Since(start))
	}
	b.ReportMetric(float64(stale.Milliseconds()), "ms/stale-most")
	b.ReportMetric(float64(back.Milliseconds()), "ms/fresh-most")
}
