package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenalatch/galenalatch"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func add(t testing.TB, q *Queue, w string, c galenalatch.Class, ids ...string) {
	t.Helper()
	for _, id := range ids {
		err := q.Add(start, galenalatch.Waiting{Request: galenalatch.RequestID(id), Workspace: galenalatch.WorkspaceName(w), Class: c, Estimate: 10})
		assert.NilError(t, err)
	}
}

// order takes n requests and settles each at its estimate.
func order(q *Queue, n int) string {
	s := ""
	for range n {
		w, _ := q.Next(start)
		s += string(w.Request) + " "
		q.Settle(w.Request, 10)
	}
	return s
}

// Guards against an order that is not by counter, weight, class share and
// arrival.
func TestOrder(t *testing.T) {
	for _, tc := range []struct {
		name string
		fill func(*Queue)
		want string
	}{
		{"ties by name, then turns", func(q *Queue) {
			add(t, q, "b", galenalatch.Interactive, "b1", "b2")
			add(t, q, "a", galenalatch.Interactive, "a1", "a2")
		}, "a1 b1 a2 b2 "},
		{"weight", func(q *Queue) {
			q.SetLimits("a", galenalatch.Limits{Weight: 2, MaxRunning: 9})
			add(t, q, "a", galenalatch.Interactive, "a1", "a2", "a3", "a4")
			add(t, q, "b", galenalatch.Interactive, "b1", "b2")
		}, "a1 b1 a2 a3 b2 a4 "},
		{"class shares", func(q *Queue) {
			add(t, q, "a", galenalatch.Batch, "l1", "l2")
			add(t, q, "a", galenalatch.Interactive, "i1", "i2", "i3", "i4", "i5")
		}, "i1 l1 i2 i3 i4 i5 l2 "},
		{"oldest first", func(q *Queue) {
			add(t, q, "a", galenalatch.Interactive, "a1", "a2")
			_ = q.Add(start, galenalatch.Waiting{Request: "a0", Workspace: "a", AgeMillis: 5})
		}, "a0 a1 a2 "},
		{"removed and doubled", func(q *Queue) {
			add(t, q, "a", galenalatch.Interactive, "a1", "a2", "a2", "a3")
			q.Remove("a1")
		}, "a2 a3 "},
		{"idle earns no credit", func(q *Queue) {
			add(t, q, "b", galenalatch.Interactive, "b1", "b2", "b3", "b4", "b5")
			order(q, 3)
			add(t, q, "c", galenalatch.Interactive, "c1", "c2")
		}, "b4 c1 b5 c2 "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := New(100)
			tc.fill(q)
			assert.Equal(t, order(q, q.Len()), tc.want)
		})
	}
}

// Guards against queues without bound and against limits of running requests
// that do not hold.
func TestLimits(t *testing.T) {
	q := New(100)
	q.SetLimits("a", galenalatch.Limits{MaxRunning: 2, MaxWaiting: 3})
	q.SetClassRunning("a", galenalatch.Batch, 1)
	add(t, q, "a", galenalatch.Batch, "1", "2", "3")
	err := q.Add(start, galenalatch.Waiting{Request: "4", Workspace: "a", Class: galenalatch.Batch})
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindQueueFull)
	assert.Equal(t, q.Ready(), 1)
	_, ok := q.Next(start)
	assert.Assert(t, ok)
	_, ok = q.Next(start)
	assert.Assert(t, !ok)
	add(t, q, "a", galenalatch.Interactive, "5")
	assert.Equal(t, order(q, 1), "5 ")
}

// Guards against wrong reports of one entry that disturb all counters.
func TestAbsurdValues(t *testing.T) {
	q := New(100)
	for i, v := range []int64{-1 << 62, 1 << 62} {
		id := galenalatch.RequestID(fmt.Sprint(i))
		assert.NilError(t, q.Add(start, galenalatch.Waiting{Request: id, Workspace: "a", Estimate: v, Bytes: v, AgeMillis: v}))
		_, ok := q.Next(start)
		assert.Assert(t, ok)
		q.Charge(id, v)
		q.Settle(id, v)
		assert.Assert(t, q.Counter("a") >= 0 && q.Counter("a") <= maxUnits)
	}
}

// Guards against a table that grows with every workspace ever seen, and against
// credit or debt that is lost with a record.
func TestForget(t *testing.T) {
	q := New(100)
	add(t, q, "a", galenalatch.Interactive, "a1", "a2", "a3")
	add(t, q, "b", galenalatch.Interactive, "b1")
	q.Lift(5)
	order(q, 2)
	q.Remove("a2")
	q.Remove("a3")
	add(t, q, "c", galenalatch.Interactive, "c1", "c2", "c3")
	order(q, 2)
	q.Forget(0)
	assert.Equal(t, len(q.Names()), 1)
	assert.Equal(t, q.Counter("a"), q.VirtualTime())
}

// Guards against a gap beyond 2*Cmax*R between backlogged workspaces, and
// against a ready count or virtual time that drifts from the queue.
func TestGapWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cmax, slots, workspaces = 50, 6, 4
		q := New(cmax)
		served := make([]int64, workspaces)
		running := []galenalatch.Waiting{}
		n := 0
		for range 300 {
			for i := range workspaces {
				for range 2 {
					n++
					_ = q.Add(start, galenalatch.Waiting{Request: galenalatch.RequestID(fmt.Sprint(n)), Workspace: galenalatch.WorkspaceName(fmt.Sprint(i)), Estimate: rapid.Int64Range(0, cmax).Draw(t, "hint")})
				}
			}
			for len(running) < slots {
				w, ok := q.Next(start)
				if !ok {
					t.Fatal("no request")
				}
				running = append(running, w)
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "end")
			w, cost := running[i], rapid.Int64Range(1, cmax).Draw(t, "cost")
			running = append(running[:i], running[i+1:]...)
			q.Charge(w.Request, cost/2)
			q.Settle(w.Request, cost)
			served[w.Workspace[0]-'0'] += cost
			low, high := served[0], served[0]
			for _, s := range served {
				low, high = min(low, s), max(high, s)
			}
			if high-low > 2*cmax*slots {
				t.Fatalf("gap %d exceeds %d", high-low, 2*cmax*slots)
			}
		}
		if q.Ready() != q.Len() {
			t.Fatalf("%d ready of %d", q.Ready(), q.Len())
		}
	})
}

// BenchmarkNext measures one grant with 1,100 backlogged workspaces.
func BenchmarkNext(b *testing.B) {
	q := New(100)
	for i := range 1100 {
		for j := range 3 {
			add(b, q, fmt.Sprint("w", i), galenalatch.Interactive, fmt.Sprint(i, "/", j))
		}
	}
	for b.Loop() {
		w, _ := q.Next(start)
		q.Settle(w.Request, 7)
		_ = q.Add(start, w)
	}
}
