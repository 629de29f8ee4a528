package warmup

import (
	"testing"
	"time"

	"github.com/galenalatch/galenalatch"
	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time s seconds after start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// table returns a table with one server that has sent a load report at
// start.
func table(cold, warm int) *Servers {
	t := New(Tuning{})
	t.SetLimits(cold, warm)
	t.SetInstances([]galenalatch.Instance{{ID: "s"}})
	report(t, 0, "b", 0)
	return t
}

func report(t *Servers, s float64, b galenalatch.BootID, running int) {
	t.RecordReport(at(s), "s", at(s), galenalatch.LoadReport{Boot: b, Running: running}, nil)
}

// complete starts and completes n requests.
func complete(t *Servers, s float64, n int) {
	for i := range n {
		t.Start(at(s), uint64(1000+i), "s", "b")
		t.Finish(at(s), uint64(1000+i), Result{Completed: true, Units: 1})
	}
}

// TestFree guards against a server that keeps its limit after an event that
// must reset it to cold, and against work for servers that must get none.
func TestFree(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*Servers)
		want   int
	}{
		{"cold", func(*Servers) {}, 2},
		{"warming", func(t *Servers) { complete(t, 0, 3) }, 5},
		{"warm", func(t *Servers) { complete(t, 0, 30) }, 8},
		{"other boot identity", func(t *Servers) { complete(t, 0, 30); report(t, 1, "c", 0) }, 2},
		{"older report", func(t *Servers) { complete(t, 0, 30); report(t, -1, "a", 0) }, 8},
		{"silent", func(t *Servers) { complete(t, 0, 30); report(t, -4, "b", 0); t.servers["s"].received = at(-4) }, 0},
		{"silent, then reporting again", func(t *Servers) {
			complete(t, 0, 30)
			t.servers["s"].received = at(-4)
			report(t, 0.5, "b", 0)
		}, 2},
		{"failed", func(t *Servers) {
			t.Start(at(0), 1, "s", "b")
			t.Finish(at(0), 1, Result{Failed: true})
		}, 0},
		{"assumed end", func(t *Servers) {
			t.Start(at(0), 1, "s", "b")
			t.Finish(at(0.1), 1, Result{Unverified: true})
		}, 0},
		{"assumed end, reported", func(t *Servers) {
			t.Start(at(0), 1, "s", "b")
			t.Finish(at(0.1), 1, Result{Unverified: true})
			report(t, 0.2, "b", 1)
		}, 1},
		{"completed before a cold start", func(t *Servers) {
			t.Start(at(0), 1, "s", "b")
			t.Start(at(0), 2, "s", "b")
			t.Finish(at(0), 2, Result{Failed: true})
			report(t, 0.1, "b", 0)
			t.Finish(at(0.1), 1, Result{Completed: true})
		}, 2},
		{"unknown request beside an unconfirmed one", func(t *Servers) {
			t.Start(at(0), 1, "s", "b")
			report(t, 0.1, "b", 1)
		}, 0},
		{"confirmed request", func(t *Servers) {
			t.Start(at(0), 1, "s", "b")
			t.Confirm(at(0), 1)
			report(t, 0.1, "b", 1)
		}, 1},
		{"end after a report that included the request", func(t *Servers) {
			t.Start(at(0), 1, "s", "b")
			t.Confirm(at(0), 1)
			report(t, 0.1, "b", 1)
			t.Finish(at(0.2), 1, Result{})
		}, 1},
		{"lapsed", func(t *Servers) { t.SetLapsed(true) }, 1},
		{"lapsed, warm", func(t *Servers) { complete(t, 0, 30); t.SetLapsed(true) }, 8},
		{"reserve", func(t *Servers) { t.ReserveUntil(at(9)) }, 1},
		{"lapsed with reserve", func(t *Servers) { t.ReserveUntil(at(9)); t.SetLapsed(true) }, 0},
		{"leaving", func(t *Servers) { t.SetInstances([]galenalatch.Instance{{ID: "s", Leaving: true}}) }, 0},
		{"removed", func(t *Servers) { t.SetInstances(nil) }, 0},
		{"out", func(t *Servers) {
			t.SetInService(func(galenalatch.ServerID, galenalatch.DataCentre) bool { return false })
		}, 0},
		{"back in service", func(t *Servers) {
			complete(t, 0, 30)
			for _, in := range []bool{false, true} {
				t.SetInService(func(galenalatch.ServerID, galenalatch.DataCentre) bool { return in })
			}
			report(t, 0.1, "b", 0)
		}, 2},
		{"handed over", func(t *Servers) { t.SetWarm("s", galenalatch.WarmServer{Boot: "b", Completed: 3}) }, 5},
		{"handed over, other boot identity", func(t *Servers) { t.SetWarm("s", galenalatch.WarmServer{Boot: "a", Completed: 3}) }, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := table(2, 8)
			tc.change(s)
			assert.Equal(t, s.Free(at(0.5)), tc.want)
		})
	}
}

// TestSlowServerIsCold guards against a server that keeps its warm limit
// although it became slow without a new boot identity.
func TestSlowServerIsCold(t *testing.T) {
	s := table(2, 100)
	for i := range 80 {
		d := 0.1
		if i >= 60 {
			d = 2
		}
		s.Start(at(0), uint64(i), "s", "b")
		s.Finish(at(d), uint64(i), Result{Completed: true, Units: 10})
		if i > 40 && s.Free(at(0)) < 20 {
			assert.Assert(t, i > 60)
			return
		}
	}
	t.Fatal("the server stays warm")
}
