package share

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

// newLedger returns the ledger of a fleet that has served for the whole window.
func newLedger(now time.Time, window time.Duration) *Ledger {
	l := New(window)
	l.Add(now.Add(-window), "first", Usage{})
	return l
}

// ofShare returns the fraction of the smaller one of the two shares.
func ofShare(l *Ledger, now time.Time, w galenalatch.WorkspaceName, rate float64) float64 {
	f := l.Fractions(now, w, rate)
	return max(f.OfRate, f.OfStarted)
}

// Guards against a fair share at which a workspace gets less than its max-min
// share, or at which all workspaces together get more than the capacity.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requested := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "asked")
		aggregate := Aggregate{Count: rapid.IntRange(0, 20).Draw(t, "others")}
		aggregate.Requested = float64(aggregate.Count) * rapid.Float64Range(0, 1000).Draw(t, "asked by each of the others")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		usage := make(map[uint32]Usage)
		for i, a := range requested {
			usage[uint32(i)] = Usage{Requested: a}
		}
		fairShare := FairShare(usage, aggregate, capacity)
		given, limited := 0.0, false
		for range aggregate.Count {
			requested = append(requested, aggregate.Requested/float64(aggregate.Count))
		}
		for _, a := range requested {
			given += min(a, fairShare)
			limited = limited || a > fairShare
		}
		if given > capacity*1.000001 {
			t.Fatalf("%.1f given of %.1f", given, capacity)
		}
		if limited && given < capacity*0.999999 {
			t.Fatalf("a workspace is limited to %.1f although %.1f of %.1f is left", fairShare, capacity-given, capacity)
		}
	})
}

// Guards against shares that are computed from one router's requests alone, and
// against sums of routers without recent reports.
func TestFraction(t *testing.T) {
	const window = 4 * time.Second
	now := time.Unix(1000, 0)
	l := newLedger(now, window)
	l.Add(now, "large", Usage{Requested: 3000, Started: 2400})
	l.Add(now, "small", Usage{Requested: 100, Started: 100})
	// 2,000 tokens in the window: "small" gets 100, "large" 1,900.
	assert.Equal(t, ofShare(l, now, "large", 500), 2400.0/1900)
	l.SetRemote(now, "r2", map[uint32]Usage{Key("large"): {Requested: 3000, Started: 1400}}, Aggregate{}, 0)
	now = now.Add(maxFairShareAge + time.Millisecond)
	assert.Equal(t, ofShare(l, now, "large", 500), 2.0)
	now = now.Add(maxRemoteAge)
	assert.Equal(t, ofShare(l, now, "large", 500), 2400.0/1900)
	now = now.Add(window)
	assert.Equal(t, ofShare(l, now, "large", 500), 0.0)
	assert.Equal(t, len(l.LocalUsage(now)), 0)
}

// Guards against leaving workspaces without an entry of their own out of the
// division: a large workspace would get a share that is too large.
func TestOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger(now, 4*time.Second)
	l.Add(now, "large", Usage{Requested: 3000, Started: 1400})
	l.SetRemote(now, "r2", nil, Aggregate{Count: 4, Usage: Usage{Requested: 600, Started: 600}}, 0)
	// 2,000 tokens were started: the others get 600, "large" 1,400.
	assert.Equal(t, ofShare(l, now, "large", 0), 1.0)
	now = now.Add(maxFairShareAge)
	l.SetRemote(now, "r2", nil, Aggregate{Count: 4, Usage: Usage{Requested: 6000, Started: 600}}, 0)
	// Each workspace gets 400.
	assert.Equal(t, ofShare(l, now, "large", 0), 3.5)
}

// Guards against shares of a throughput that the engines do not reach: while
// they prefill with empty caches, all workspaces are below their share of the
// configured rate, and the workspace whose prompts are cached takes nearly
// everything.
func TestFractionOfThroughput(t *testing.T) {
	tests := []struct {
		name  string
		rate  float64
		usage map[galenalatch.WorkspaceName]Usage
		wants map[galenalatch.WorkspaceName]float64
	}{
		{"all is started", 1000, map[galenalatch.WorkspaceName]Usage{"a": {Requested: 300, Started: 300}, "b": {Requested: 900, Started: 900}},
			map[galenalatch.WorkspaceName]float64{"a": 0.25, "b": 0.75}},
		{"one gets three times as much", 1000, map[galenalatch.WorkspaceName]Usage{"a": {Requested: 2100, Started: 600}, "b": {Requested: 2100, Started: 1800}},
			map[galenalatch.WorkspaceName]float64{"a": 0.5, "b": 1.5}},
		{"the small one gets all it asks", 1000, map[galenalatch.WorkspaceName]Usage{"a": {Requested: 200, Started: 200}, "b": {Requested: 2000, Started: 800}},
			map[galenalatch.WorkspaceName]float64{"a": 0.25, "b": 1}},
		{"alone", 1000, map[galenalatch.WorkspaceName]Usage{"a": {Requested: 2000, Started: 800}}, map[galenalatch.WorkspaceName]float64{"a": 1}},
		{"no rate is configured", 0, map[galenalatch.WorkspaceName]Usage{"a": {Requested: 2100, Started: 600}, "b": {Requested: 2100, Started: 1800}},
			map[galenalatch.WorkspaceName]float64{"a": 0.5, "b": 1.5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := newLedger(now, 4*time.Second)
			for w, u := range tt.usage {
				l.Add(now, w, u)
			}
			for w, want := range tt.wants {
				assert.Equal(t, ofShare(l, now, w, tt.rate), want, "workspace %s", w)
			}
		})
	}
}

// Guards against one workspace that begins the work of the whole window in the
// first second of a fleet, while engines prefill with empty caches: all other
// workspaces then wait for the rest of the window.
func TestFleetStart(t *testing.T) {
	const rate = 1000
	usage := map[galenalatch.WorkspaceName]Usage{"a": {Requested: 700, Started: 700}, "b": {Requested: 1500, Started: 1500}, "c": {Requested: 300, Started: 300}}
	tests := []struct {
		name string
		// age is for how long this router has counted when the uses come,
		// reported the age that another router reports.
		age, reported time.Duration
		want          float64
	}{
		{"at the start", 0, 0, 1500.0 / (500.0 / 3)},
		{"after a second", time.Second, 0, 1500.0 / 600},
		// All that was started is less than 4,000.
		{"after the window", 4 * time.Second, 0, 1500.0 / 2500},
		{"a router joins", 0, 4 * time.Second, 1500.0 / 2500},
		{"a smaller age is reported", time.Second, 500 * time.Millisecond, 1500.0 / 600},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := New(4 * time.Second)
			l.Add(now.Add(-tt.age), "a", Usage{})
			for w, u := range usage {
				l.Add(now, w, u)
			}
			if tt.reported > 0 {
				l.SetRemote(now, "r2", map[uint32]Usage{Key("a"): {}}, Aggregate{}, tt.reported)
			}
			assert.Equal(t, ofShare(l, now, "b", rate), tt.want)
		})
	}
}

// Guards against taking over the age from a router without requests, and
// against ages beyond the window.
func TestAge(t *testing.T) {
	l := New(4 * time.Second)
	now := time.Unix(1000, 0)
	assert.Equal(t, l.Age(now), time.Duration(0))
	l.SetRemote(now, "r2", nil, Aggregate{}, time.Second)
	assert.Equal(t, l.Age(now), time.Duration(0))
	l.SetRemote(now, "r2", map[uint32]Usage{1: {Requested: 1}}, Aggregate{}, time.Second)
	assert.Equal(t, l.Age(now), time.Second)
	assert.Equal(t, l.Age(now.Add(time.Hour)), 4*time.Second)
}

// Guards against equal fractions for workspaces that are all far above their
// share of the throughput, because the fleet begins much more than the
// configured throughput.
func TestStartedFraction(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger(now, 4*time.Second)
	l.Add(now, "a", Usage{Requested: 3300, Started: 800})
	l.Add(now, "b", Usage{Requested: 2500, Started: 2000})
	l.Add(now, "c", Usage{Requested: 200, Started: 200})
	// 300 tokens in the window, 100 for each workspace. Of the 3,000 tokens
	// that were started, "c" gets 200 and the others 1,400 each.
	f := l.Fractions(now, "b", 75)
	assert.Equal(t, f.OfRate, 20.0)
	assert.Equal(t, f.OfStarted, 2000.0/1400)
	assert.Equal(t, l.Fractions(now, "a", 75).OfStarted, 800.0/1400)
	// At 1,000 tokens a second the fleet has started less than its throughput.
	now = now.Add(maxFairShareAge)
	f = l.Fractions(now, "b", 1000)
	assert.Equal(t, f.OfRate, 2000.0/1900)
	assert.Equal(t, f.OfStarted, 2000.0/1400)
	f = l.Fractions(now, "b", 0)
	assert.Equal(t, f.OfRate, f.OfStarted, "the throughput is not bounded")
}

// Guards against accounts that are kept for workspaces without requests.
func TestOwnDropsIdleAccounts(t *testing.T) {
	l := New(time.Second)
	now := time.Unix(1000, 0)
	for _, w := range []galenalatch.WorkspaceName{"a", "b"} {
		l.Add(now, w, Usage{Requested: 1})
	}
	assert.Equal(t, len(l.LocalUsage(now)), 2)
	assert.Equal(t, len(l.LocalUsage(now.Add(2*time.Second))), 0)
	assert.Equal(t, len(l.accounts), 0)
}

// Guards against uses that are lost when calls have times out of order, and
// against a fair share that is kept after the rate has changed or after
// maxFairShareAge.
func TestEarlierTimesAndFairShareAge(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger(now, 4*time.Second)
	l.Add(now, "a", Usage{Requested: 1000, Started: 1000})
	l.Add(now.Add(2*time.Second), "a", Usage{Requested: 1000, Started: 1000})
	l.Add(now.Add(time.Second), "a", Usage{Requested: 1000, Started: 1000})
	now = now.Add(2 * time.Second)
	assert.Equal(t, l.LocalUsage(now)[Key("a")], Usage{Requested: 3000, Started: 3000})
	assert.Equal(t, ofShare(l, now, "a", 1000), 1.0)
	assert.Equal(t, ofShare(l, now, "a", 500), 1.5, "another rate")
	l.SetRemote(now, "r2", map[uint32]Usage{Key("a"): {Requested: 1000, Started: 1000}}, Aggregate{}, 0)
	assert.Equal(t, ofShare(l, now, "a", 500), 1.5, "the level is kept for a time")
	assert.Equal(t, ofShare(l, now.Add(maxFairShareAge), "a", 500), 2.0)
}

// Guards against a router that starts all of a workspace's requests until the
// others report that they have done the same, and against one that is held back
// by a single request.
func TestPace(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger(now, 4*time.Second)
	pace := func() float64 { return l.Fractions(now, "a", 100).Pace }
	assert.Equal(t, pace(), 1.0, "no request yet")
	refused := newLedger(now, 4*time.Second)
	refused.Add(now, "a", Usage{Requested: 100})
	assert.Equal(t, refused.Fractions(now, "a", 100).Pace, 1.0, "nothing is started")
	l.SetRemote(now, "r2", map[uint32]Usage{Key("a"): {Requested: 1_000_000, Started: 200_000}}, Aggregate{}, 0)
	l.Add(now, "a", Usage{Requested: 100})
	l.Add(now, "a", Usage{Started: 100})
	now = now.Add(maxFairShareAge)
	assert.Assert(t, pace() > 1.7 && pace() < 1.9, "after one request: %.2f", pace())
	for range 100 {
		l.Add(now, "a", Usage{Requested: 100, Started: 100})
	}
	assert.Assert(t, pace() > 4.5, "all of the last second is started: %.2f", pace())
	now = now.Add(3 * recentPeriod)
	l.SetRemote(now, "r2", map[uint32]Usage{Key("a"): {Requested: 1_000_000, Started: 200_000}}, Aggregate{}, 0)
	for range 50 {
		l.Add(now, "a", Usage{Requested: 100})
	}
	now = now.Add(maxFairShareAge)
	assert.Assert(t, pace() < 0.7, "the rest is not started: %.2f", pace())
}

// Guards against a workspace that requests many times as much at once and gets the
// share of the whole window in a second, and against one that is held back because
// all start again after an outage, or because its callers come to another router.
func TestPaceFollowsGrowth(t *testing.T) {
	const (
		length, step = 4 * time.Second, 50 * time.Millisecond
		// The limit of a workspace falls with this power of its pace or a higher
		// one, and has to fall at least as much as the requests grow.
		limitExponent = 7.5
		factor        = 10
	)
	now := time.Unix(1000, 0)
	l := newLedger(now, length)
	add := func(d time.Duration, requests map[galenalatch.WorkspaceName]int) {
		for end := now.Add(d); now.Before(end); now = now.Add(step) {
			for w, n := range requests {
				for range n {
					l.Add(now, w, Usage{Requested: 100, Started: 100})
				}
			}
		}
	}
	pace := func(w galenalatch.WorkspaceName) float64 {
		l.SetRemote(now, "r2", map[uint32]Usage{Key(w): {Requested: 100_000, Started: 100_000}}, Aggregate{}, length)
		now = now.Add(maxFairShareAge)
		return l.Fractions(now, w, 100).Pace
	}
	add(2*length, map[galenalatch.WorkspaceName]int{"a": 2, "other": 20})
	assert.Assert(t, pace("a") > 0.9 && pace("a") < 1.1, "steady: %.2f", pace("a"))
	add(500*time.Millisecond, map[galenalatch.WorkspaceName]int{"a": 20, "other": 20})
	assert.Assert(t, math.Pow(pace("a"), limitExponent) > factor, "ten times as much: %.2f", pace("a"))
	add(2*length, map[galenalatch.WorkspaceName]int{"a": 20, "other": 20})
	assert.Assert(t, pace("a") > 0.9 && pace("a") < 1.1, "steady again: %.2f", pace("a"))
	now = now.Add(length * 3 / 4)
	add(500*time.Millisecond, map[galenalatch.WorkspaceName]int{"a": 20, "other": 20})
	assert.Assert(t, pace("a") > 0.9 && pace("a") < 1.1, "after an outage: %.2f", pace("a"))
	for _, d := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		add(d, map[galenalatch.WorkspaceName]int{"new": 20, "other": 20})
		assert.Assert(t, pace("new") > 0.9 && pace("new") < 1.1, "new on this router for %s: %.2f", d, pace("new"))
	}
}

// Guards against a fleet that does not notice that a workspace is served worse than
// others, or that takes one which asks for little or is far above its share for it.
func TestLeastServed(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name  string
		usage map[galenalatch.WorkspaceName]Usage
		least float64
	}{
		{"no requests", nil, 1},
		{"all served", map[galenalatch.WorkspaceName]Usage{"a": {1000, 1000}, "b": {500, 500}}, 1},
		{"one below its share", map[galenalatch.WorkspaceName]Usage{"a": {8000, 900}, "b": {200, 50}}, 0.25},
		{"one above its share", map[galenalatch.WorkspaceName]Usage{"a": {8000, 1000}, "b": {200, 200}}, 1},
		{"one that asks for little", map[galenalatch.WorkspaceName]Usage{"a": {8000, 1000}, "b": {20, 0}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLedger(now, 4*time.Second)
			for w, u := range tt.usage {
				l.Add(now, w, u)
			}
			assert.Equal(t, l.Fractions(now, "a", 0).Least, tt.least)
		})
	}
}

// Guards against tokens that are taken back twice, from the wrong time, or that stay in
// the shares of the fleet.
func TestTakeBack(t *testing.T) {
	const window = 4 * time.Second
	now := time.Unix(1000, 0)
	l := newLedger(now, window)
	l.Add(now, "a", Usage{Requested: 1000, Started: 1000})
	l.Add(now, "b", Usage{Requested: 1000, Started: 1000})
	later := now.Add(time.Second)
	l.Add(later, "a", Usage{Requested: 500, Started: 500})
	assert.Equal(t, l.Fractions(later, "a", 500).OfRate, 1.5)
	l.TakeBack(later, now, "a", 1000)
	assert.Equal(t, l.LocalUsage(later)[Key("a")], Usage{Requested: 1500, Started: 500})
	assert.Equal(t, l.Fractions(later, "a", 500).OfRate, 0.5)
	assert.Equal(t, l.Fractions(later, "b", 500).OfRate, 1.0)
	// What was started later stays when the time of the other has left the window.
	last := now.Add(window + 500*time.Millisecond)
	assert.Equal(t, l.LocalUsage(last)[Key("a")], Usage{Requested: 500, Started: 500})
	l.TakeBack(last, now, "a", 1000)
	assert.Equal(t, l.LocalUsage(last)[Key("a")].Started, 500.0)
	l.TakeBack(last, now, "unknown", 1000)
}

// Guards against usage that is reported twice, or not at all after it was taken back.
func TestTakeUsage(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(4 * time.Second)
	l.Add(now, "a", Usage{Requested: 300, Started: 100})
	assert.Equal(t, l.TakeUsage()["a"], Usage{Requested: 300, Started: 100})
	l.Add(now, "b", Usage{Requested: 200, Started: 200})
	l.TakeBack(now, now, "a", 100)
	usage := l.TakeUsage()
	assert.Equal(t, usage["a"], Usage{Started: -100})
	assert.Equal(t, usage["b"], Usage{Requested: 200, Started: 200})
	assert.Equal(t, len(l.TakeUsage()), 0)
}
