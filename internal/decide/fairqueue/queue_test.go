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

func addRequests(t testing.TB, q *Queue, w string, c galenalatch.Class, ids ...string) {
	t.Helper()
	for _, id := range ids {
		err := q.Add(start, galenalatch.Waiting{Request: galenalatch.RequestID(id), Workspace: galenalatch.WorkspaceName(w), Class: c, Estimate: 10})
		assert.NilError(t, err)
	}
}

// serveOrder takes n requests, ends each with the cost of its estimate and
// returns their IDs in order.
func serveOrder(q *Queue, n int) string {
	s := ""
	for range n {
		w, _ := q.Next(start)
		s += string(w.Request) + " "
		q.Settle(w.Request, 10)
	}
	return s
}

// Guards against an order that does not follow the counters, weights, class
// shares and times of arrival.
func TestOrder(t *testing.T) {
	for _, tc := range []struct {
		name string
		fill func(*Queue)
		want string
	}{
		{"equal counters", func(q *Queue) {
			addRequests(t, q, "b", galenalatch.Interactive, "b1", "b2")
			addRequests(t, q, "a", galenalatch.Interactive, "a1", "a2")
		}, "a1 b1 a2 b2 "},
		{"weight", func(q *Queue) {
			q.SetLimits("a", galenalatch.Limits{Weight: 2, MaxRunning: 9})
			addRequests(t, q, "a", galenalatch.Interactive, "a1", "a2", "a3", "a4")
			addRequests(t, q, "b", galenalatch.Interactive, "b1", "b2")
		}, "a1 b1 a2 a3 b2 a4 "},
		{"class shares", func(q *Queue) {
			addRequests(t, q, "a", galenalatch.Batch, "l1", "l2")
			addRequests(t, q, "a", galenalatch.Interactive, "i1", "i2", "i3", "i4", "i5")
		}, "i1 l1 i2 i3 i4 i5 l2 "},
		{"oldest first", func(q *Queue) {
			addRequests(t, q, "a", galenalatch.Interactive, "a1", "a2")
			_ = q.Add(start, galenalatch.Waiting{Request: "a0", Workspace: "a", AgeMillis: 5})
		}, "a0 a1 a2 "},
		{"removed and duplicate requests", func(q *Queue) {
			addRequests(t, q, "a", galenalatch.Interactive, "a1", "a2", "a2", "a3")
			q.Remove("a1")
		}, "a2 a3 "},
		{"idle earns no credit", func(q *Queue) {
			addRequests(t, q, "b", galenalatch.Interactive, "b1", "b2", "b3", "b4", "b5")
			serveOrder(q, 3)
			addRequests(t, q, "c", galenalatch.Interactive, "c1", "c2")
		}, "b4 c1 b5 c2 "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := New(100)
			tc.fill(q)
			assert.Equal(t, serveOrder(q, q.Len()), tc.want)
		})
	}
}

// Guards against queues that grow without bound and against more running
// requests than the limits of a workspace or class allow.
func TestLimits(t *testing.T) {
	q := New(100)
	q.SetLimits("a", galenalatch.Limits{MaxRunning: 2, MaxWaiting: 3})
	q.SetClassRunning("a", galenalatch.Batch, 1)
	addRequests(t, q, "a", galenalatch.Batch, "1", "2", "3")
	err := q.Add(start, galenalatch.Waiting{Request: "4", Workspace: "a", Class: galenalatch.Batch})
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindQueueFull)
	assert.Equal(t, q.Ready(), 1)
	_, ok := q.Next(start)
	assert.Assert(t, ok)
	_, ok = q.Next(start)
	assert.Assert(t, !ok)
	addRequests(t, q, "a", galenalatch.Interactive, "5")
	assert.Equal(t, serveOrder(q, 1), "5 ")
}

// Guards against an overflow of counters, or a credit, when an entry router
// reports costs, sizes or ages that are negative or far too large.
func TestOutOfRangeReports(t *testing.T) {
	q := New(100)
	for i, v := range []int64{-1 << 62, 1 << 62} {
		id := galenalatch.RequestID(fmt.Sprint(i))
		assert.NilError(t, q.Add(start, galenalatch.Waiting{Request: id, Workspace: "a", Estimate: v, Bytes: v, AgeMillis: v}))
		_, ok := q.Next(start)
		assert.Assert(t, ok)
		q.Charge(id, v)
		q.Settle(id, v)
		assert.Assert(t, q.Counter("a") >= 0 && q.Counter("a") <= maxRequestUnits)
	}
}

// Guards against a table that keeps a record of every workspace it has ever
// seen, and against a workspace that gains or loses service when its record is
// dropped.
func TestDropIdle(t *testing.T) {
	q := New(100)
	addRequests(t, q, "a", galenalatch.Interactive, "a1", "a2", "a3")
	addRequests(t, q, "b", galenalatch.Interactive, "b1")
	q.RaiseVirtualTime(5)
	serveOrder(q, 2)
	q.Remove("a2")
	q.Remove("a3")
	addRequests(t, q, "c", galenalatch.Interactive, "c1", "c2", "c3")
	serveOrder(q, 2)
	q.DropIdle(0)
	assert.Equal(t, len(q.WorkspaceNames()), 1)
	assert.Equal(t, q.Counter("a"), q.VirtualTime())
}

// Guards against a gap above 2*Cmax*R between the services of backlogged
// workspaces, where Cmax is the largest cost and R the number of slots, and
// against a ready count that does not match the queue.
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
					t.Fatal("Next returned no request")
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
			addRequests(b, q, fmt.Sprint("w", i), galenalatch.Interactive, fmt.Sprint(i, "/", j))
		}
	}
	for b.Loop() {
		w, _ := q.Next(start)
		q.Settle(w.Request, 7)
		_ = q.Add(start, w)
	}
}
