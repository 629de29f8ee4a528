package view

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/standin/rows"
)

// quiet keeps the names of events.
type quiet struct {
	mu    sync.Mutex
	lines []string
}

func (q *quiet) add(s string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lines = append(q.lines, s)
}

func (q *quiet) Lost(feed string, _ error)                                             { q.add("lost " + feed) }
func (q *quiet) Regained(feed string, _ time.Duration)                                 { q.add("regained " + feed) }
func (q *quiet) Applied(*galenalatch.Configuration, galenalatch.Position)              { q.add("applied") }
func (q *quiet) OutOfService(_ galenalatch.DataCentre, _ bool, _ galenalatch.Position) { q.add("out") }
func (q *quiet) Server(galenalatch.Registration, galenalatch.Position)                 {}
func (q *quiet) ServerGone(galenalatch.ServerID, galenalatch.Position)                 {}
func (q *quiet) Invalid(string, error)                                                 { q.add("invalid") }

// world is a view that follows a store in a bubble with a clock of its own.
type world struct {
	store *rows.Store
	table *placement.Table
	view  *View
}

// play runs f with a world whose clock stands still while anything works.
func play(t *testing.T, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		w := &world{store: rows.New(), table: placement.New(placement.Options{Self: "r1", Local: "a", ReadRate: 50})}
		w.view = New(Options{
			Store: w.store, Table: w.table, Clock: func() time.Duration { return time.Since(start) }, Events: &quiet{},
			OperatorWait: 1500 * time.Millisecond,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.view.Run(ctx) }()
		w.store.Configure(&galenalatch.Configuration{Version: 5, Services: map[string]galenalatch.Service{"x": {Name: "x"}}})
		w.store.Register(server)
		time.Sleep(time.Second)
		f(t, w)
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}

var server = galenalatch.Registration{ID: "s1", Service: "x", Address: "10.0.0.1:80", DataCentre: "b", Slots: 4}

func (w *world) usable() bool {
	w.table.Expire(time.Now())
	return w.table.Usable(time.Now(), "s1")
}

// Guards against a configuration that goes back to an older one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		assert.Equal(t, w.view.Configuration().Version, uint64(5))
		w.store.Configure(&galenalatch.Configuration{Version: 9})
		time.Sleep(time.Second)
		assert.Equal(t, w.view.Configuration().Version, uint64(9))
		w.store.Configure(&galenalatch.Configuration{Version: 7})
		time.Sleep(time.Second)
		assert.Equal(t, w.view.Configuration().Version, uint64(9))
	})
}

// Guards against proofs that stay fresh while the store is away, and against
// views that do not follow it again, for each of its faults.
func TestStoreFaults(t *testing.T) {
	for _, fault := range []rows.Fault{rows.Refusing, rows.Silent, rows.Forgetful} {
		t.Run(string(fault), func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				w.store.SetFault(fault)
				time.Sleep(4 * time.Second)
				age, ok := w.view.Age()
				assert.Assert(t, ok)
				if fault != rows.Forgetful {
					assert.Assert(t, age > 2500*time.Millisecond, "%s", age)
				}
				assert.Assert(t, w.usable(), "what was known stays in use")
				w.store.SetFault(rows.Sound)
				w.store.Configure(&galenalatch.Configuration{Version: 6})
				time.Sleep(4 * time.Second)
				age, _ = w.view.Age()
				assert.Assert(t, age < 1600*time.Millisecond, "%s", age)
				assert.Equal(t, w.view.Configuration().Version, uint64(6))
			})
		})
	}
}

// Guards against new requests for a server that is gone or leaves, more than
// the time that its end may take.
func TestServerLeaves(t *testing.T) {
	tests := []struct {
		name  string
		leave func(*rows.Store)
	}{
		{"entry removed", func(s *rows.Store) { s.Unregister("s1") }},
		{"leaving", func(s *rows.Store) { r := server; r.Leaving = true; s.Register(r) }},
		{"data centre out", func(s *rows.Store) { s.SetOut("b", true) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				assert.Assert(t, w.usable())
				tt.leave(w.store)
				time.Sleep(500 * time.Millisecond)
				assert.Assert(t, !w.usable())
			})
		})
	}
}

// Guards against servers that are dropped because their entries lapsed while
// the store was away, and against servers that are kept although they are
// gone.
func TestEntriesLapseDuringOutage(t *testing.T) {
	for _, back := range []bool{true, false} {
		play(t, func(t *testing.T, w *world) {
			w.store.SetFault(rows.Refusing)
			time.Sleep(3 * time.Second)
			w.store.Unregister("s1")
			w.store.SetFault(rows.Sound)
			time.Sleep(1200 * time.Millisecond)
			assert.Assert(t, w.usable(), "the entry may still come back")
			if back {
				w.store.Register(server)
			}
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, w.usable(), back)
		})
	}
}

// Guards against a router that learns late of a removed server because the
// answer of one call was lost, and against one that takes the time of the lost
// call for an outage in which entries lapse.
func TestLostAnswer(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		// A change ends the calls under way; the next ones meet the fault.
		w.store.SetFault(rows.Silent)
		w.store.Register(server)
		time.Sleep(300 * time.Millisecond)
		w.store.SetFault(rows.Sound)
		w.store.Unregister("s1")
		time.Sleep(3 * time.Second)
		assert.Assert(t, !w.usable())
	})
}

// Guards against a router that refuses keys for good because its first call
// of the store took long.
func TestSlowFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		store := rows.New()
		store.Configure(&galenalatch.Configuration{Version: 1})
		var called atomic.Bool
		clock := func() time.Duration {
			if called.CompareAndSwap(false, true) {
				// The process is suspended after it took the time of the call.
				defer time.Sleep(time.Second)
			}
			return time.Since(start)
		}
		v := New(Options{
			Store: store, Table: placement.New(placement.Options{}), Clock: clock, Events: &quiet{},
			OperatorWait: 1500 * time.Millisecond,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- v.Run(ctx) }()
		time.Sleep(6 * time.Second)
		age, ok := v.Age()
		assert.Assert(t, ok && age <= 1600*time.Millisecond, "%s", age)
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}

// invalid is a store whose operators' rows cannot be read.
type invalid struct{ *rows.Store }

// Operators implements galenalatch.Store.
func (s invalid) Operators(ctx context.Context, after uint64, wait time.Duration) (galenalatch.OperatorUpdate, error) {
	u, err := s.Store.Operators(ctx, after, wait)
	u.Invalid = append(u.Invalid, errors.New("configuration: not an object"))
	return u, err
}

// Guards against a router that takes a configuration that cannot be read for
// read, against one that drops the configuration it has for it, and against a
// version that is applied again.
func TestInvalidConfiguration(t *testing.T) {
	store := rows.New()
	events := &quiet{}
	v := New(Options{
		Store: invalid{store}, Table: placement.New(placement.Options{}), Clock: func() time.Duration { return 0 }, Events: events,
	})
	_, err := v.readOperators(t.Context(), galenalatch.Everything, 0, 0)
	assert.ErrorContains(t, err, "not an object")
	assert.Assert(t, v.Configuration() == nil)
	for range 2 {
		store.Configure(&galenalatch.Configuration{Version: 5})
		_, err = v.readOperators(t.Context(), galenalatch.Everything, 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, v.Configuration().Version, uint64(5))
	}
	assert.DeepEqual(t, events.lines, []string{"invalid", "invalid", "applied", "invalid"})
}

// Guards against a router whose first answers, before operators have published
// a configuration, prove nothing.
func TestEmptyStore(t *testing.T) {
	v := New(Options{
		Store: rows.New(), Table: placement.New(placement.Options{}), Clock: func() time.Duration { return 0 }, Events: &quiet{},
	})
	_, err := v.readOperators(t.Context(), galenalatch.Everything, 0, 0)
	assert.NilError(t, err)
	_, ok := v.Age()
	assert.Assert(t, ok)
}

// Guards against short calls without a need, against two in a row, which would
// not let the store tell of changes, and against none when proofs look older
// than they are.
func TestShortCalls(t *testing.T) {
	tests := []struct {
		uncertainty time.Duration
		want        []bool
	}{
		{0, []bool{false, false, false}},
		{maxUncertainty, []bool{false, false, false}},
		{maxUncertainty + 1, []bool{true, false, true}},
	}
	for _, tt := range tests {
		v := New(Options{})
		v.tracker.Observe(time.Second, time.Second+tt.uncertainty, time.Second)
		for i, want := range tt.want {
			assert.Equal(t, v.calibrate(), want, "%s: call %d", tt.uncertainty, i)
		}
	}
}
