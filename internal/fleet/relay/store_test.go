package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/fleet/feed"
	"github.com/galenalatch/galenalatch/internal/standin/store"
)

const wait = 1500 * time.Millisecond

// pair is a relaying and a listening router with one store.
type pair struct {
	store    *store.Store
	relay    *Store
	listener *Store
	cut      atomic.Bool
}

func newPair() *pair {
	p := &pair{store: store.New()}
	p.listener = New(Options{Store: p.store, Send: func(galenalatch.StoreAnswer) {}})
	p.listener.SetMode(Listening)
	p.relay = New(Options{Store: p.store, Send: func(m galenalatch.StoreAnswer) {
		if !p.cut.Load() {
			p.listener.Deliver(m, false)
		}
	}})
	p.relay.SetMode(Relaying)
	return p
}

// loop polls the feed of servers with the relaying router until ctx ends.
func (p *pair) loop(ctx context.Context) {
	after := galenalatch.ReadAll
	for ctx.Err() == nil {
		if u, err := p.relay.Servers(ctx, after, wait); err == nil {
			after = u.Position
		}
	}
}

// awaitChange reads the feed of servers with the listening router until there
// is a change.
func (p *pair) awaitChange(t *testing.T, after galenalatch.Position, limit time.Duration) (galenalatch.ServerUpdate, bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		u, err := p.listener.Servers(t.Context(), after, wait)
		assert.NilError(t, err)
		if len(u.Registered)+len(u.Removed) > 0 {
			return u, true
		}
		after = u.Position
	}
	return galenalatch.ServerUpdate{}, false
}

// Guards against store calls that grow with the number of routers, and against
// changes that are lost or late when the relaying router is cut off.
func TestListening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		ctx, cancel := context.WithCancel(t.Context())
		go p.loop(ctx)
		u, err := p.listener.Servers(t.Context(), galenalatch.ReadAll, wait)
		assert.NilError(t, err)
		after := u.Position
		calls, since := p.store.Calls(), time.Now()
		for range 5 {
			u, err = p.listener.Servers(t.Context(), after, wait)
			assert.NilError(t, err)
			assert.Assert(t, u.Relayed, "an answer without changes is forwarded too")
		}
		// One call for each wait of the relaying router, one that had already
		// started, and its first call for the whole table.
		maxCalls := int(time.Since(since)/relayWait) + 2
		assert.Assert(t, p.store.Calls()-calls <= maxCalls, "%d calls; the relaying router makes %d", p.store.Calls()-calls, maxCalls)

		p.store.Register(galenalatch.Registration{ID: "s1"})
		u, ok := p.awaitChange(t, after, time.Second)
		assert.Assert(t, ok && u.Relayed && u.Registered[0].ID == "s1")
		after = u.Position

		// One answer is lost.
		p.cut.Store(true)
		p.store.Register(galenalatch.Registration{ID: "s2"})
		time.Sleep(100 * time.Millisecond)
		p.cut.Store(false)
		p.store.Register(galenalatch.Registration{ID: "s3"})
		u, ok = p.awaitChange(t, after, time.Second)
		assert.Assert(t, ok)
		assert.Equal(t, len(u.Registered), 2)
		assert.Assert(t, !u.Relayed)
		after = u.Position

		// The relaying router is cut off: changes still arrive within the
		// bound.
		p.cut.Store(true)
		p.store.Unregister("s1")
		start := time.Now()
		u, ok = p.awaitChange(t, after, 3*time.Second)
		assert.Assert(t, ok && u.Removed[0] == "s1")
		assert.Assert(t, time.Since(start) <= relayTimeout, "%s", time.Since(start))
		cancel()
		synctest.Wait()
	})
}

// Guards against relayed answers that are older than the version read and are
// applied.
func TestOldAnswersAreSkipped(t *testing.T) {
	p := newPair()
	p.listener.Deliver(galenalatch.StoreAnswer{Feed: serverFeed, After: 1, Version: 4, Removed: []galenalatch.ServerID{"s1"}}, false)
	p.listener.Deliver(galenalatch.StoreAnswer{Feed: serverFeed, After: 4, Version: 9}, false)
	u, err := p.listener.Servers(t.Context(), galenalatch.Position{Version: 8}, wait)
	assert.NilError(t, err)
	assert.Equal(t, u.Version, uint64(9))
	assert.Equal(t, len(u.Removed), 0)
}

// Guards against routers that hear of the store's return only at the next change, or not
// at all because the store has given out their version again; against a second message
// about it; against a table read late that counts as one read at the return; and against
// a gap between versions of two eras that sends a router to the
// store for changes that it does not have.
func TestNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.store.Register(galenalatch.Registration{ID: "s1"})
		copied := p.store.Backup()
		p.store.Register(galenalatch.Registration{ID: "s2"})
		before := galenalatch.Position{Version: 2}
		for _, s := range []*Store{p.relay, p.listener} {
			u, err := s.Servers(t.Context(), galenalatch.ReadAll, wait)
			assert.NilError(t, err)
			assert.Equal(t, u.Position, before)
		}
		assert.Equal(t, len(p.listener.queues[serverFeed]), 0, "the first table tells of no return")
		p.store.Restore(copied)
		for range 2 {
			_, err := p.relay.Servers(t.Context(), galenalatch.ReadAll, wait)
			assert.NilError(t, err)
		}
		assert.Equal(t, len(p.listener.queues[serverFeed]), 1, "the return is told once")
		start := time.Now()
		u, err := p.listener.Servers(t.Context(), before, wait)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, u.Relayed && u.Era == 1)
		assert.ErrorIs(t, feed.CheckAnswer(u.Stamp, before, before, nil), galenalatch.ErrHistoryGone)

		// The listening router reads the table late.
		time.Sleep(3 * time.Second)
		u, err = p.listener.Servers(t.Context(), galenalatch.ReadAll, wait)
		assert.NilError(t, err)
		assert.Equal(t, u.EraAge, 3*time.Second)

		// An answer of a later era that does not begin at the router's version.
		p.listener.Deliver(galenalatch.StoreAnswer{Feed: serverFeed, Era: 2, After: 9, Version: 9}, false)
		u, err = p.listener.Servers(t.Context(), galenalatch.Position{Era: 1, Version: 3}, wait)
		assert.NilError(t, err)
		assert.Equal(t, u.Position, galenalatch.Position{Era: 2, Version: 9})

		// One of an earlier era is skipped, whatever its version.
		p.listener.Deliver(galenalatch.StoreAnswer{Feed: serverFeed, Era: 1, After: 1, Version: 99}, false)
		p.listener.Deliver(galenalatch.StoreAnswer{Feed: serverFeed, Era: 2, After: 9, Version: 10}, false)
		u, err = p.listener.Servers(t.Context(), galenalatch.Position{Era: 2, Version: 9}, wait)
		assert.NilError(t, err)
		assert.Equal(t, u.Position, galenalatch.Position{Era: 2, Version: 10})
	})
}

// Guards against feeds that are not forwarded, against failed calls that are,
// and against a listening router that waits although it asks for the whole
// table or for a call without a wait.
func TestEachFeedIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.store.Configure(&galenalatch.Configuration{Version: 1})
		ctx := t.Context()
		calls := map[string]func(s *Store, after galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error){
			operatorFeed: func(s *Store, after galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
				u, err := s.Operators(ctx, after, wait)
				return u.Stamp, err
			},
			serverFeed: func(s *Store, after galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
				u, err := s.Servers(ctx, after, wait)
				return u.Stamp, err
			},
			"routers": func(s *Store, after galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
				u, err := s.Rows(ctx, "routers", after, wait)
				return u.Stamp, err
			},
		}
		for feed, call := range calls {
			first, err := call(p.listener, galenalatch.ReadAll, wait)
			assert.NilError(t, err)
			assert.Assert(t, !first.Relayed, "%s: everything is read from the store", feed)
			start := time.Now()
			_, err = call(p.listener, first.Position, 0)
			assert.NilError(t, err)
			assert.Equal(t, time.Since(start), time.Duration(0), "%s: a call that must not wait", feed)
			got := make(chan galenalatch.Stamp, 1)
			go func() {
				next, err := call(p.listener, first.Position, wait)
				assert.Check(t, err)
				got <- next
			}()
			synctest.Wait()
			_, err = call(p.relay, first.Position, wait)
			assert.NilError(t, err)
			assert.Assert(t, (<-got).Relayed, "%s", feed)

			p.store.SetFault(store.RefuseCalls)
			_, err = call(p.relay, first.Position, wait)
			assert.Assert(t, err != nil)
			p.store.SetFault(store.NoFault)
			assert.Equal(t, len(p.listener.queues[feed]), 0, "%s: a failed call proves nothing", feed)
		}
	})
}

// Guards against store calls of routers in a small fleet that are as short as
// those of a relaying router.
func TestDirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Store: store.New(), Send: func(galenalatch.StoreAnswer) { t.Error("an answer was forwarded") }})
		u, err := s.Servers(t.Context(), galenalatch.ReadAll, wait)
		assert.NilError(t, err)
		start := time.Now()
		_, err = s.Servers(t.Context(), u.Position, wait)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), wait)
	})
}

// Guards against a lost answer that blocks a relaying router, and all routers
// that listen to it, for the whole wait of the feed.
func TestAnswerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for mode, limit := range map[Mode]time.Duration{
			Direct: wait + feed.AnswerTimeout, Relaying: relayWait + feed.AnswerTimeout, Listening: relayTimeout + feed.AnswerTimeout,
		} {
			p := newPair()
			p.store.SetFault(store.Hang)
			p.listener.SetMode(mode)
			start := time.Now()
			_, err := p.listener.Servers(t.Context(), galenalatch.Position{}, wait)
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			assert.Equal(t, time.Since(start), limit)
		}
	})
}

// Guards against relays that poll the store although the relaying router does, against a
// data centre whose routers all call the store when that router falls silent, and
// against a relay that goes on polling after its return.
func TestStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		ctx, cancel := context.WithCancel(t.Context())
		standby := New(Options{Store: p.store, Send: func(m galenalatch.StoreAnswer) { p.listener.Deliver(m, false) }})
		standby.SetMode(Standby)
		p.relay.Send = func(m galenalatch.StoreAnswer) {
			if !p.cut.Load() {
				standby.Deliver(m, true)
			}
		}
		go p.loop(ctx)
		go (&pair{relay: standby}).loop(ctx)
		u, err := p.listener.Servers(ctx, galenalatch.ReadAll, wait)
		assert.NilError(t, err)
		// listen reads the feed for a time and returns the number of store calls.
		listen := func(d time.Duration) int {
			calls, end := p.store.Calls(), time.Now().Add(d)
			for time.Now().Before(end) {
				u, err = p.listener.Servers(ctx, u.Position, wait)
				assert.NilError(t, err)
				assert.Assert(t, u.Relayed, "the listening router called the store")
			}
			return p.store.Calls() - calls
		}
		const period = 20 * relayWait
		listen(2 * relayWait)
		assert.Assert(t, listen(period) <= 21, "the relaying router polls alone")
		p.cut.Store(true)
		assert.Assert(t, listen(period) >= 30, "the relay polls too")
		p.cut.Store(false)
		listen(2 * relayWait)
		assert.Assert(t, listen(period) <= 21, "the relaying router polls alone again")
		cancel()
		synctest.Wait()
	})
}
