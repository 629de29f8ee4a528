package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// Guards against sending work to a server that announces on its own metrics
// page that it leaves, while the instance list still lags, and against taking
// it as warm when it withdraws the announcement.
func TestLeavingByReport(t *testing.T) {
	now := time.Now()
	s := New(Tuning{})
	s.SetLimits(2, 8)
	s.Set([]galenalatch.Instance{{ID: "s", Address: "127.0.0.1:1"}})
	report := func(leaving bool) {
		now = now.Add(500 * time.Millisecond)
		s.SetLoad(now, "s", now, galenalatch.LoadReport{Boot: "b", Leaving: leaving}, nil)
	}
	report(false)
	s.Start(now, 1, "s", "b")
	s.Finish(now, 1, End{Completed: true})
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
