package leases_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
	"github.com/galenalatch/galenalatch/internal/platform/leases"
	"github.com/galenalatch/galenalatch/internal/platform/table"
	"github.com/galenalatch/galenalatch/internal/standin/platform"
)

const cellCount = 20

func cells(rank int) map[galenalatch.CellID]int {
	ranks := map[galenalatch.CellID]int{}
	for i := range cellCount {
		ranks[galenalatch.CellID{Pool: "p/q", DataCentre: "d", Index: i}] = rank
	}
	return ranks
}

// process is a router that only keeps leases.
type process struct {
	*leases.Store
	ctx      context.Context
	kill     func()
	notified int
}

func (p *process) run(ctx context.Context) {
	_ = p.Run(ctx)
}

func (p *process) release(ctx context.Context, id galenalatch.CellID) {
	_ = p.Release(ctx, id, "")
}

// start returns a process that runs until the test ends or it is killed.
func start(t *testing.T, s *platform.Server, name string, rank int) *process {
	p := newProcess(t, s, name, rank)
	go p.run(p.ctx)
	return p
}

// newProcess returns a process that does not run yet.
func newProcess(t *testing.T, s *platform.Server, name string, rank int) *process {
	c, err := httpclient.New("http://platform", httpclient.WithTransport(s.Transport()))
	assert.NilError(t, err)
	p := &process{}
	p.Store = leases.New(table.New(c), galenalatch.RouterID(name), name+"-1",
		leases.WithNotify(func(galenalatch.CellID, leases.State) { p.notified++ }))
	p.SetCells(cells(rank))
	p.ctx, p.kill = context.WithCancel(t.Context())
	return p
}

// wait lets d pass and then waits until all goroutines are blocked.
func wait(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// count returns the number of cells whose state matches.
func (p *process) count(match func(leases.State) bool) int {
	n := 0
	for _, st := range p.States() {
		if match(st) {
			n++
		}
	}
	return n
}

func held(s leases.State) bool   { return s.Held }
func lapsed(s leases.State) bool { return s.Lapsed }

// TestPlatformCalls guards against one call to the platform per cell. A router
// makes one read per 500 ms and one batch per renewal, whatever the number of
// its cells and the times at which it took them over. The test also guards
// against leases that expire because calls are slow.
func TestPlatformCalls(t *testing.T) {
	tests := []struct {
		name string
		// takenOver is set when the router takes over the cell that is removed
		// and added again before it is removed.
		takenOver     bool
		notifications int
	}{
		{"cell removed before its first takeover", false, cellCount},
		// The first takeover, the release, and the released row that is read
		// when the cell is added again.
		{"cell removed after its first takeover", true, cellCount + 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPlatformCalls(t, tt.takenOver, tt.notifications) })
		})
	}
}

func testPlatformCalls(t *testing.T, takenOver bool, notifications int) {
	server := platform.New()
	a := newProcess(t, server, "a", 0)
	withoutOne := cells(0)
	delete(withoutOne, galenalatch.CellID{Pool: "p/q", DataCentre: "d", Index: 1})
	if !takenOver {
		a.SetCells(withoutOne)
	}
	go a.run(a.ctx)
	synctest.Wait()
	a.SetCells(withoutOne)
	wait(700 * time.Millisecond)
	a.SetCells(cells(0))
	wait(time.Second)
	assert.Equal(t, a.count(held), cellCount)
	b := start(t, server, "b", 1)
	before := server.Stats()
	wait(60 * time.Second)
	after := server.Stats()
	assert.Equal(t, a.count(held), cellCount)
	assert.Equal(t, a.notified, notifications, "renewals are not notified")
	assert.Equal(t, b.count(held), 0)
	assert.Assert(t, after.Reads-before.Reads <= 121, "%d reads", after.Reads-before.Reads)
	assert.Assert(t, after.Writes-before.Writes <= 44, "%d batches", after.Writes-before.Writes)
	b.kill()
	for i := range 60 {
		server.SetFaults(platform.Faults{DelayMillis: int64(i * 10)})
		// The released cell is taken over again while others are renewed.
		go a.release(t.Context(), galenalatch.CellID{Pool: "p/q", DataCentre: "d", Index: i % cellCount})
		wait(time.Second)
		assert.Assert(t, a.count(held) >= cellCount-9, "%d held", a.count(held))
	}
	server.SetFaults(platform.Faults{})
	wait(10 * time.Second)
	assert.Equal(t, a.count(held), cellCount)
	a.kill()
}

// TestTakeoverAfterKill guards against cells that stay without a holder after
// their holder was killed without a release.
func TestTakeoverAfterKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platform.New()
		a := start(t, server, "a", 0)
		wait(time.Second)
		b := start(t, server, "b", 1)
		wait(10 * time.Second)
		a.kill()
		wait(5500 * time.Millisecond)
		assert.Equal(t, b.count(held), cellCount)
		for _, st := range b.States() {
			assert.Equal(t, st.Epoch, galenalatch.Epoch(2))
			assert.Equal(t, st.Holder, galenalatch.RouterID("b"))
			assert.Assert(t, st.Unconfirmed)
		}
		b.kill()
	})
}

// TestHolderSurvivesOutage guards against holders that change or stop acting
// because the platform is down or slow, hangs or loses responses.
func TestHolderSurvivesOutage(t *testing.T) {
	for name, faults := range map[string]platform.Faults{
		"down": {Down: true},
		"hang": {Hang: true},
		"slow": {DelayMillis: 1300},
		"lost": {LoseShare: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := platform.New()
				a := start(t, server, "a", 0)
				wait(time.Second)
				b := start(t, server, "b", 1)
				wait(10 * time.Second)
				server.SetFaults(faults)
				for range 60 {
					wait(time.Second)
					assert.Equal(t, a.count(held)+a.count(lapsed), cellCount)
					assert.Equal(t, b.count(held), 0)
				}
				server.SetFaults(platform.Faults{})
				wait(4 * time.Second)
				assert.Equal(t, a.count(held), cellCount)
				assert.Equal(t, b.count(held), 0)
				for _, st := range a.States() {
					assert.Equal(t, st.Epoch, galenalatch.Epoch(1))
				}
				a.kill()
				b.kill()
				wait(10 * time.Second)
			})
		})
	}
}

// TestCellRemovedDuringTakeover guards against cells that stay with a router
// after they were removed from it. This happens when a takeover was in flight
// at the time of the removal.
func TestCellRemovedDuringTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platform.New()
		server.SetFaults(platform.Faults{DelayMillis: 300})
		a := start(t, server, "a", 0)
		wait(500 * time.Millisecond)
		a.SetCells(nil)
		wait(3 * time.Second)
		assert.Equal(t, len(a.States()), 0)
		b := start(t, server, "b", 0)
		wait(2 * time.Second)
		assert.Equal(t, b.count(held), cellCount)
		a.kill()
		b.kill()
	})
}

// TestHandover guards against a handover that takes longer than two reads, and
// against leases of removed cells that are not released.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platform.New()
		a := start(t, server, "a", 0)
		wait(time.Second)
		b, c := start(t, server, "b", 1), start(t, server, "c", 2)
		wait(time.Second)
		server.SetFaults(platform.Faults{LoseNext: 1})
		for id := range cells(0) {
			assert.NilError(t, a.Release(t.Context(), id, "c"))
		}
		wait(time.Second)
		assert.Equal(t, c.count(held), cellCount)
		assert.Equal(t, c.count(func(s leases.State) bool { return s.Unconfirmed }), 0)
		id := galenalatch.CellID{Pool: "p/q", DataCentre: "d"}
		assert.Assert(t, c.ObserveEpoch(id, 9))
		assert.Assert(t, !c.State(id).Held)

		c.SetCells(nil)
		assert.Equal(t, c.count(held), 0, "a removed cell is not held")
		wait(time.Second)
		assert.Equal(t, len(c.States()), 0)
		// The lease of a removed cell is released, so the next holder does not
		// wait for its expiry.
		assert.Assert(t, b.count(held) >= cellCount-1, fmt.Sprint(b.count(held)))
		server.SetFaults(platform.Faults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, galenalatch.KindOf(b.Release(ctx, galenalatch.CellID{Pool: "p/q", DataCentre: "d", Index: 1}, "")),
			galenalatch.KindPlatformDown)
		a.kill()
		b.kill()
		c.kill()
	})
}

// TestLowRankedCandidate guards against routers that are low in the order of
// candidates and still read all rows every 500 ms. It also guards against cells
// that stay without a holder when all earlier candidates have failed.
func TestLowRankedCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platform.New()
		holder := start(t, s, "first", 0)
		wait(2 * time.Second)
		candidate := start(t, s, "far", 8)
		candidate.SetRouterCount(400)
		wait(time.Second)
		before := s.Stats().Reads
		wait(60 * time.Second)
		reads := s.Stats().Reads - before
		assert.Assert(t, reads <= 7, "%d reads in a minute", reads)
		assert.Equal(t, candidate.count(func(st leases.State) bool { return st.Holder == "first" }), cellCount)
		holder.kill()
		wait(30 * time.Second)
		assert.Equal(t, candidate.count(func(st leases.State) bool { return st.Held }), cellCount)
	})
}

// TestListsAligned guards against list calls more often than every 500 ms. This
// happens when the reads of cells that were added at different times stay due
// at different times.
func TestListsAligned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platform.New()
		start(t, s, "holder", 0)
		wait(2 * time.Second)
		p := start(t, s, "other", 1)
		p.SetRouterCount(4)
		for i := range 5 {
			ranks := cells(1)
			for j := range i + 1 {
				ranks[galenalatch.CellID{Pool: "late", DataCentre: "d", Index: j}] = -1
			}
			p.SetCells(ranks)
			wait(130 * time.Millisecond)
		}
		before := s.Stats().Reads
		wait(10 * time.Second)
		reads := s.Stats().Reads - before
		assert.Assert(t, reads <= 25, "%d reads in 10 s", reads)
	})
}
