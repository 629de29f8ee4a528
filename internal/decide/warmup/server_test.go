package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// TestLeavingByReport guards against sending work to a server that reports
// on its own metrics page that it leaves, while the instance list still
// lags, and against treating it as warm when it withdraws the report.
func TestLeavingByReport(t *testing.T) {
	now := time.Now()
	s := New(Tuning{})
	s.SetLimits(2, 8)
	s.SetInstances([]galenalatch.Instance{{ID: "s", Address: "127.0.0.1:1"}})
	report := func(leaving bool) {
		now = now.Add(500 * time.Millisecond)
		s.RecordReport(now, "s", now, galenalatch.LoadReport{Boot: "b", Leaving: leaving}, nil)
	}
	report(false)
	s.Start(now, 1, "s", "b")
	s.Finish(now, 1, Result{Completed: true})
	assert.Equal(t, s.Status(now)[0].State, Warming)

	report(true)
	_, ok := s.Pick(now)
	assert.Assert(t, !ok)
	_, ok = s.Target(now, "s", "b")
	assert.Assert(t, !ok)
	assert.Equal(t, s.Free(now), 0)
	assert.Equal(t, s.Status(now)[0].State, Leaving)

	report(false)
	assert.Equal(t, s.Status(now)[0].State, Cold)
	assert.Equal(t, s.Free(now), 2)
}

// TestStateFollowsLimit guards against a server that counts as warm while
// its limit is still below the warm limit, or as warming when it has reached
// it.
func TestStateFollowsLimit(t *testing.T) {
	const cold, warm = 2, 4
	now := time.Now()
	s := New(Tuning{})
	s.SetLimits(cold, warm)
	s.SetInstances([]galenalatch.Instance{{ID: "s", Address: "127.0.0.1:1"}})
	s.RecordReport(now, "s", now, galenalatch.LoadReport{Boot: "b"}, nil)
	for completed, want := range []State{Cold, Warming, Warm, Warm} {
		assert.Equal(t, s.Status(now)[0].State, want, "after %d completed requests", completed)
		assert.Equal(t, s.Free(now) == warm, want == Warm, "after %d completed requests", completed)
		s.Start(now, uint64(completed+1), "s", "b")
		s.Finish(now, uint64(completed+1), Result{Completed: true})
		now = now.Add(10 * time.Millisecond)
		s.RecordReport(now, "s", now, galenalatch.LoadReport{Boot: "b"}, nil)
	}
}
