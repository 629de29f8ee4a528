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
	"github.com/galenalatch/galenalatch/internal/standin/store"
)

// eventRecorder records the names of events.
type eventRecorder struct {
	mu    sync.Mutex
	lines []string
}

func (q *eventRecorder) add(s string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lines = append(q.lines, s)
}

func (q *eventRecorder) StoreUnreachable(feed string, _ time.Duration, _ error) {
	q.add("lost " + feed)
}
func (q *eventRecorder) StoreReachable(feed string, _ time.Duration) { q.add("regained " + feed) }
func (q *eventRecorder) StoreRestored(feed string, _, _ galenalatch.Position) {
	q.add("restored " + feed)
}
func (q *eventRecorder) ConfigurationApplied(*galenalatch.Configuration, galenalatch.Position) {
	q.add("applied")
}
func (q *eventRecorder) OutOfService(_ galenalatch.DataCentre, _ bool, _ galenalatch.Position) {
	q.add("out")
}
func (q *eventRecorder) Server(galenalatch.Registration, galenalatch.Position)    {}
func (q *eventRecorder) ServerRemoved(galenalatch.ServerID, galenalatch.Position) {}
func (q *eventRecorder) Invalid(string, error)                                    { q.add("invalid") }

// watchedStore is a store with a view that follows it, in a synctest bubble.
type watchedStore struct {
	store *store.Store
	table *placement.Table
	view  *View
}

// runView runs f with a view that follows a store. The clock of the bubble
// advances only while all goroutines wait.
func runView(t *testing.T, f func(t *testing.T, w *watchedStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		w := &watchedStore{store: store.New(), table: placement.New(placement.Options{Self: "r1", Local: "a", PrefillRate: 50})}
		w.view = New(Options{
			Store: w.store, Table: w.table, Clock: func() time.Duration { return time.Since(start) }, Events: &eventRecorder{},
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

func (w *watchedStore) usable() bool {
	w.table.Expire(time.Now())
	return w.table.Usable(time.Now(), "s1")
}

// Guards against an older configuration that replaces a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	runView(t, func(t *testing.T, w *watchedStore) {
		assert.Equal(t, w.view.Configuration().Version, uint64(5))
		w.store.Configure(&galenalatch.Configuration{Version: 9})
		time.Sleep(time.Second)
		assert.Equal(t, w.view.Configuration().Version, uint64(9))
		w.store.Configure(&galenalatch.Configuration{Version: 7})
		time.Sleep(time.Second)
		assert.Equal(t, w.view.Configuration().Version, uint64(9))
	})
}

// Guards against a proof that stays fresh during a fault of the store, and
// against a view that does not follow the store again after the fault.
func TestStoreFaults(t *testing.T) {
	for _, fault := range []store.Fault{store.RefuseCalls, store.Hang, store.HistoryLost} {
		t.Run(string(fault), func(t *testing.T) {
			runView(t, func(t *testing.T, w *watchedStore) {
				w.store.SetFault(fault)
				time.Sleep(4 * time.Second)
				age, ok := w.view.Age()
				assert.Assert(t, ok)
				if fault != store.HistoryLost {
					assert.Assert(t, age > 2500*time.Millisecond, "%s", age)
				}
				assert.Assert(t, w.usable(), "known servers stay in use")
				w.store.SetFault(store.NoFault)
				w.store.Configure(&galenalatch.Configuration{Version: 6})
				time.Sleep(4 * time.Second)
				age, _ = w.view.Age()
				assert.Assert(t, age < 1600*time.Millisecond, "%s", age)
				assert.Equal(t, w.view.Configuration().Version, uint64(6))
			})
		})
	}
}

// Guards against new requests for a server that has been removed or is leaving
// beyond the time in which the change must take effect.
func TestServerLeaves(t *testing.T) {
	tests := []struct {
		name  string
		leave func(*store.Store)
	}{
		{"entry removed", func(s *store.Store) { s.Unregister("s1") }},
		{"leaving", func(s *store.Store) { r := server; r.Leaving = true; s.Register(r) }},
		{"data centre out", func(s *store.Store) { s.SetOutOfService("b", true) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runView(t, func(t *testing.T, w *watchedStore) {
				assert.Assert(t, w.usable())
				tt.leave(w.store)
				time.Sleep(500 * time.Millisecond)
				assert.Assert(t, !w.usable())
			})
		})
	}
}

// Guards against servers that are removed because their entries expired while
// the store could not be reached, and against servers that are kept although
// they have been removed.
func TestEntriesExpireDuringOutage(t *testing.T) {
	for _, back := range []bool{true, false} {
		runView(t, func(t *testing.T, w *watchedStore) {
			w.store.SetFault(store.RefuseCalls)
			time.Sleep(3 * time.Second)
			w.store.Unregister("s1")
			w.store.SetFault(store.NoFault)
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

// Guards against a late removal because the answer of one call was lost, and
// against treating the time of the lost call as an outage in which entries
// expire.
func TestLostAnswer(t *testing.T) {
	runView(t, func(t *testing.T, w *watchedStore) {
		// A change ends the pending calls; the next ones get no answer.
		w.store.SetFault(store.Hang)
		w.store.Register(server)
		time.Sleep(300 * time.Millisecond)
		w.store.SetFault(store.NoFault)
		w.store.Unregister("s1")
		time.Sleep(3 * time.Second)
		assert.Assert(t, !w.usable())
	})
}

// Guards against a router that refuses keys for good because its first call of
// the store took long, which leaves the clock offset uncertain.
func TestSlowFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		store := store.New()
		store.Configure(&galenalatch.Configuration{Version: 1})
		var called atomic.Bool
		clock := func() time.Duration {
			if called.CompareAndSwap(false, true) {
				// The process is suspended after it has read the time at which
				// the call is sent.
				defer time.Sleep(time.Second)
			}
			return time.Since(start)
		}
		v := New(Options{
			Store: store, Table: placement.New(placement.Options{}), Clock: clock, Events: &eventRecorder{},
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

// invalidStore is a store whose operator rows cannot be decoded.
type invalidStore struct{ *store.Store }

// Operators implements galenalatch.Store.
func (s invalidStore) Operators(ctx context.Context, after galenalatch.Position, wait time.Duration) (galenalatch.OperatorUpdate, error) {
	u, err := s.Store.Operators(ctx, after, wait)
	u.Invalid = append(u.Invalid, errors.New("configuration: not an object"))
	return u, err
}

// Guards against a configuration that cannot be decoded and counts as read, or
// makes the router drop the configuration it has, and against applying a
// version twice.
func TestInvalidConfiguration(t *testing.T) {
	store := store.New()
	events := &eventRecorder{}
	v := New(Options{
		Store: invalidStore{store}, Table: placement.New(placement.Options{}), Clock: func() time.Duration { return 0 }, Events: events,
	})
	_, err := v.readOperators(t.Context(), galenalatch.ReadAll, galenalatch.Position{}, 0)
	assert.ErrorContains(t, err, "not an object")
	assert.Assert(t, v.Configuration() == nil)
	for range 2 {
		store.Configure(&galenalatch.Configuration{Version: 5})
		_, err = v.readOperators(t.Context(), galenalatch.ReadAll, galenalatch.Position{}, 0)
		assert.NilError(t, err)
		assert.Equal(t, v.Configuration().Version, uint64(5))
	}
	assert.DeepEqual(t, events.lines, []string{"invalid", "invalid", "applied", "invalid"})
}

// Guards against answers of the store that count as no proof before operators
// have published a configuration.
func TestEmptyStore(t *testing.T) {
	v := New(Options{
		Store: store.New(), Table: placement.New(placement.Options{}), Clock: func() time.Duration { return 0 }, Events: &eventRecorder{},
	})
	_, err := v.readOperators(t.Context(), galenalatch.ReadAll, galenalatch.Position{}, 0)
	assert.NilError(t, err)
	_, ok := v.Age()
	assert.Assert(t, ok)
}

// Guards against short calls that are not needed, against two of them in a row,
// which would keep the store from reporting changes, and against no short call
// when the uncertainty is too high.
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
			assert.Equal(t, v.nextCallShort(), want, "%s: call %d", tt.uncertainty, i)
		}
	}
}
