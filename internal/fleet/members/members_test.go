package members

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
	"github.com/galenalatch/galenalatch/internal/fleet/feed"
	"github.com/galenalatch/galenalatch/internal/fleet/relay"
	"github.com/galenalatch/galenalatch/internal/standin/store"
)

// outageCounter counts how often the store became unreachable.
type outageCounter struct{ outages atomic.Int64 }

func (c *outageCounter) StoreUnreachable(string, time.Duration, error)                  { c.outages.Add(1) }
func (*outageCounter) StoreReachable(string, time.Duration)                             {}
func (*outageCounter) StoreRestored(string, galenalatch.Position, galenalatch.Position) {}

// router is a member with the newest list that it has received.
type router struct {
	list    *List
	events  outageCounter
	mu      sync.Mutex
	updates int
	ids     []galenalatch.RouterID
	token   string
	cancel  context.CancelFunc
}

func (r *router) changed(list []Member, token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids, r.token = nil, token
	r.updates++
	for _, m := range list {
		r.ids = append(r.ids, m.ID)
	}
}

// latest returns the newest list and token.
func (r *router) latest() ([]galenalatch.RouterID, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids, r.token
}

// members returns the newest list.
func (r *router) members() []galenalatch.RouterID {
	ids, _ := r.latest()
	return ids
}

func join(t *testing.T, s galenalatch.Store, id galenalatch.RouterID) *router {
	t.Helper()
	r := &router{}
	r.list = New(Options{
		Store: s, Events: &r.events, Changed: r.changed,
		Self: Member{ID: id, Address: "10.0.0.1:7400", DataCentre: "a", Start: string(id) + "-1"},
	})
	r.run(t)
	return r
}

// run runs the list in the background.
func (r *router) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	r.cancel = cancel
	done := make(chan error, 1)
	go func() { done <- r.list.Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.ErrorIs(t, <-done, context.Canceled) })
}

// Guards against routers that do not find each other or have different tokens,
// also when writes take effect without an answer.
func TestRoutersFindEachOther(t *testing.T) {
	for _, fault := range []store.Fault{store.NoFault, store.LoseResponse} {
		synctest.Test(t, func(t *testing.T) {
			shared := store.New()
			shared.SetFault(fault)
			a, b := join(t, shared, "r1"), join(t, shared, "r2")
			time.Sleep(5 * time.Second)
			shared.SetFault(store.NoFault)
			time.Sleep(20 * time.Second)
			for _, r := range []*router{a, b} {
				assert.DeepEqual(t, r.members(), []galenalatch.RouterID{"r1", "r2"})
			}
			_, token := a.latest()
			_, other := b.latest()
			assert.Assert(t, token != "" && token == other)

			assert.NilError(t, a.list.Leave(t.Context()))
			time.Sleep(2 * time.Second)
			assert.DeepEqual(t, b.members(), []galenalatch.RouterID{"r2"})

			// A live router that was removed by mistake adds itself again.
			assert.NilError(t, a.list.Remove(t.Context(), "r2"))
			time.Sleep(5 * time.Second)
			assert.DeepEqual(t, b.members(), []galenalatch.RouterID{"r2"})
			a.cancel()
			b.cancel()
		})
	}
}

// Guards against a list that is read 15.9 s after the start, because the first
// call fell into an outage of the store.
func TestListAfterStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := store.New()
		shared.SetFault(store.Hang)
		r := join(t, relay.New(relay.Options{Store: shared}), "r1")
		time.Sleep(time.Second)
		shared.SetFault(store.NoFault)
		time.Sleep(2*feed.AnswerTimeout + minCallInterval)
		assert.DeepEqual(t, r.members(), []galenalatch.RouterID{"r1"})
		r.cancel()
	})
}

// Guards against rows that cannot be decoded and end the feed or appear as
// routers, against removals more often than minRemovalInterval allows, and
// against a router that cannot leave because it has just removed another one.
func TestRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := store.New()
		a, b := join(t, shared, "r1"), join(t, shared, "r2")
		for key, value := range map[string]string{"router/junk": "[1", "router/empty": "{}", "other": "x"} {
			assert.NilError(t, shared.Write(t.Context(), table, galenalatch.StoreRow{Key: key, Value: []byte(value)}))
		}
		for _, id := range []string{"r3", "r4"} {
			assert.NilError(t, shared.Write(t.Context(), table, galenalatch.StoreRow{Key: memberPrefix + id, Value: []byte(`{"address":"10.0.0.9:1"}`)}))
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		all := []galenalatch.RouterID{"r1", "r2", "r3", "r4"}
		assert.DeepEqual(t, a.members(), all)

		calls := shared.Calls()
		assert.NilError(t, a.list.Remove(t.Context(), "unknown"))
		assert.Equal(t, shared.Calls(), calls)
		assert.NilError(t, a.list.Remove(t.Context(), "r3"))
		assert.NilError(t, a.list.Remove(t.Context(), "r4"))
		time.Sleep(minRemovalInterval - 1)
		assert.DeepEqual(t, a.members(), []galenalatch.RouterID{"r1", "r2", "r4"})
		time.Sleep(time.Nanosecond)
		assert.NilError(t, a.list.Remove(t.Context(), "r4"))
		assert.NilError(t, a.list.Leave(t.Context()))
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, b.members(), []galenalatch.RouterID{"r2"})
		a.cancel()
		b.cancel()
	})
}

// failingWrites is a store that answers reads and fails all writes.
type failingWrites struct {
	*store.Store
	err error
}

// Write implements galenalatch.Store.
func (d failingWrites) Write(context.Context, string, galenalatch.StoreRow) error { return d.err }

// Guards against an unreachable store that is not reported when a router cannot
// add itself to the list, and against a write conflict that counts as an outage
// of the store.
func TestWritesFail(t *testing.T) {
	for _, tt := range []struct {
		err     error
		outages int64
	}{{errors.New("store refused the write"), 1}, {galenalatch.ErrWriteConflict, 0}} {
		synctest.Test(t, func(t *testing.T) {
			r := join(t, failingWrites{store.New(), tt.err}, "r1")
			time.Sleep(5 * time.Second)
			assert.Equal(t, r.events.outages.Load(), tt.outages, "%v", tt.err)
			r.cancel()
		})
	}
}

// Guards against lists that are reported again without a change: each report
// replaces the fleet's topology.
func TestUnchangedListIsNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := join(t, store.New(), "r1")
		time.Sleep(5 * time.Second)
		updates := func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.updates
		}
		before := updates()
		time.Sleep(time.Minute)
		assert.Equal(t, updates(), before)
		r.cancel()
	})
}
