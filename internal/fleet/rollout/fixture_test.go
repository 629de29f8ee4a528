package rollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/rollout"
	"github.com/galenalatch/galenalatch/internal/standin/store"
)

const (
	testService = "pool"
	duration    = 16 * time.Second
	within      = 5 * time.Second
	statusKey   = "s/" + testService
)

var testBounds = rollout.Bounds{Share: 0.1, Slack: 50}

// noEvents ignores all events but those counted.
type noEvents struct{ invalid atomic.Int64 }

func (*noEvents) StoreUnreachable(string, time.Duration, error)                    {}
func (*noEvents) StoreReachable(string, time.Duration)                             {}
func (*noEvents) StoreRestored(string, galenalatch.Position, galenalatch.Position) {}
func (e *noEvents) Invalid(string, error)                                          { e.invalid.Add(1) }
func (*noEvents) RolloutOrdered(galenalatch.RolloutOrder)                          {}
func (*noEvents) RolloutChanged(galenalatch.RolloutStatus, Progress)               {}
func (*noEvents) RolloutStopped(galenalatch.RolloutOrder, string)                  {}
func (*noEvents) RolloutWritten(galenalatch.RolloutStatus, error)                  {}
func (*noEvents) RolloutAnswered(service, version string, bad bool)                {}
func (f *fleet) sound(string, time.Duration) bool                                  { return true }
func (f *fleet) failing(version string, _ time.Duration) bool {
	return version != "v2" || rand.IntN(10) > 3
}
func (f *fleet) failingLater(version string, after time.Duration) bool {
	return after < duration/2 || f.failing(version, after)
}

// testRouter is a router with a part of the requests.
type testRouter struct {
	*Controller
	store *routerStore
	stop  context.CancelFunc
}

// currentRank returns the place of the router among those that may write the status.
func (r *testRouter) currentRank() int {
	s := (*r.active.Load())[testService]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rank
}

// fleet is some routers that share a store, and the servers of two versions.
type fleet struct {
	t       *testing.T
	store   *store.Store
	routers []*testRouter
	ids     []string
	writes  atomic.Int64
	events  noEvents
	start   time.Time
	ctx     context.Context
	running sync.WaitGroup
	// good tells whether a version answers well, some time after the order.
	good func(version string, after time.Duration) bool

	mu          sync.Mutex
	ordered     time.Time
	requests    int
	exposed     int
	badAnswers  int
	fiftieth    time.Time
	lastExposed time.Time
}

// runFleet runs f in a bubble with a fleet that serves requests, with an order for v2 that
// it has given after a second.
func runFleet(t *testing.T, routers int, f func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fl := &fleet{t: t, store: store.New(), start: time.Now(), ctx: ctx}
		defer fl.running.Wait()
		defer cancel()
		fl.good = fl.sound
		for i := range routers {
			fl.ids = append(fl.ids, fmt.Sprintf("r%03d", i))
		}
		for _, id := range fl.ids {
			fl.addRouter(id)
		}
		fl.register("v1", 0)
		fl.tick(time.Second)
		fl.order("v2")
		fl.register("v2", 0)
		f(fl)
	})
}

func (f *fleet) addRouter(id string) {
	r := &testRouter{store: &routerStore{Store: f.store, writes: &f.writes}}
	table := placement.New(placement.Options{Self: galenalatch.RouterID(id), Local: "a", PrefillRate: 50})
	r.Controller = New(Options{
		Store: r.store, Rows: jsonRows{}, Table: table, Self: galenalatch.RouterID(id),
		Routers: func() []string { return f.ids }, Bounds: testBounds, Within: within, Events: &f.events,
	})
	ctx, stop := context.WithCancel(f.ctx)
	r.stop = stop
	f.routers = append(f.routers, r)
	f.running.Go(func() { assert.Check(f.t, errors.Is(r.Run(ctx), context.Canceled)) })
}

// register lists servers of a version at all routers.
func (f *fleet) register(version string, at uint64) {
	for _, r := range f.routers {
		u := galenalatch.ServerUpdate{Stamp: galenalatch.Stamp{Position: galenalatch.Position{Version: at}}}
		for i := range 8 {
			u.Registered = append(u.Registered, galenalatch.Registration{
				ID: galenalatch.ServerID(fmt.Sprint(version, "-", i)), Service: testService, Version: version, Address: "10.0.0.1:1", DataCentre: "a", Slots: 200,
			})
		}
		r.Servers(time.Now(), u)
		for _, s := range u.Registered {
			r.Table.Put(time.Now(), s)
		}
	}
}

// order gives an order and lets all routers read it.
func (f *fleet) order(target string) {
	f.store.Order(galenalatch.RolloutOrder{Service: testService, Target: target, Duration: duration})
	f.mu.Lock()
	f.ordered, f.requests, f.exposed = time.Now(), 0, 0
	f.mu.Unlock()
	f.readOrders()
}

func (f *fleet) readOrders() {
	u, err := f.store.Operators(f.ctx, galenalatch.ReadAll, 0)
	assert.NilError(f.t, err)
	for _, r := range f.routers {
		r.Operators(time.Now(), u)
	}
}

// tick serves requests for a time: 10 a second at each of 60 routers, or as many in a
// smaller fleet.
func (f *fleet) tick(d time.Duration) {
	const pause = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		for n := range 30 {
			r := f.routers[rand.IntN(len(f.routers))]
			f.request(r, []string{"a", "b", "b"}[n%3])
		}
		f.exchange()
		time.Sleep(pause)
	}
}

// exchange passes the reports between all routers that reach each other.
func (f *fleet) exchange() {
	now := time.Now()
	for _, from := range f.routers {
		reports := from.Reports(now)
		for _, to := range f.routers {
			if to != from && !from.store.cut.Load() && !to.store.cut.Load() {
				to.SetRemote(now, from.Self, reports)
			}
		}
	}
}

// request sends one request, whose answer takes 100 ms.
func (f *fleet) request(r *testRouter, route string) {
	now := time.Now()
	choice := r.Choose(now, testService, route, rand.Uint64())
	for {
		p, ok := r.Table.Choose(now, placement.Request{Service: testService, Versions: choice.Versions})
		if ok {
			f.send(r, &choice, p)
			return
		}
		if !choice.FallBack() {
			return
		}
	}
}

func (f *fleet) send(r *testRouter, choice *Choice, p *placement.Reservation) {
	if choice.Send(p.Version) != nil {
		r.Table.Release(time.Now(), p, placement.Unsent)
		choice.End(Answer{Void: true})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	good := f.good(p.Version, time.Since(f.ordered))
	if p.Version == "v2" {
		f.exposed++
		f.lastExposed = time.Now()
		if !good {
			f.badAnswers++
		}
		if f.badAnswers == 50 && !good {
			f.fiftieth = time.Now()
		}
	}
	f.running.Go(func() { f.answer(r, *choice, p, good) })
}

func (f *fleet) answer(r *testRouter, choice Choice, p *placement.Reservation, good bool) {
	time.Sleep(100 * time.Millisecond)
	now := time.Now()
	r.Table.Release(now, p, placement.Served)
	choice.End(Answer{
		Version: p.Version, Bad: !good, First: time.Duration((0.7 + 0.6*rand.Float64()) * float64(100*time.Millisecond)),
		Expected: 100 * time.Millisecond, Warm: IsWarm(now, p.Listed, p.Cold),
	})
}

// status returns the status in the store.
func (f *fleet) status() galenalatch.RolloutStatus {
	u, err := f.store.Rows(context.Background(), jsonRows{}.Table(), galenalatch.ReadAll, 0)
	assert.NilError(f.t, err)
	for _, row := range u.Rows {
		if s, ok, err := (jsonRows{}).Decode(row); ok && err == nil {
			return s
		}
	}
	return galenalatch.RolloutStatus{}
}

// tickUntil serves requests until the status is final, for at most the duration of an
// order.
func (f *fleet) tickUntil(state galenalatch.RolloutState) {
	f.t.Helper()
	end := time.Now().Add(duration)
	for !f.status().State.Final() && time.Now().Before(end) {
		f.tick(100 * time.Millisecond)
	}
	assert.Equal(f.t, f.status().State, state, "%+v", f.status())
}

// checkExposure fails if a bad version got more requests than the bounds allow until the
// deadline.
func (f *fleet) checkExposure() {
	f.t.Helper()
	f.tick(max(duration-time.Since(f.ordered), 0))
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := testBounds.Share*float64(f.requests) + testBounds.Slack
	f.t.Logf("exposed: %d of %d requests; allowed: %.0f; %d bad answers", f.exposed, f.requests, limit, f.badAnswers)
	assert.Assert(f.t, float64(f.exposed) <= limit, "%d of %d requests; allowed: %.1f", f.exposed, f.requests, limit)
	if !f.fiftieth.IsZero() {
		late := f.lastExposed.Sub(f.fiftieth)
		assert.Assert(f.t, late <= within, "sent %s after the 50th bad answer", late)
	}
}
