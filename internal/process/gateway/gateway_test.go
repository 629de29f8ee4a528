package gateway

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/host"
	"github.com/galenalatch/galenalatch/internal/caller/ingress"
	"github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/decide/budget"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/fleet/members"
	"github.com/galenalatch/galenalatch/internal/fleet/relay"
	"github.com/galenalatch/galenalatch/internal/fleet/topology"
	"github.com/galenalatch/galenalatch/internal/fleet/view"
	"github.com/galenalatch/galenalatch/internal/standin/store"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// delayedServerList is a store that returns its list of servers only from
// listedAt on.
type delayedServerList struct {
	*store.Store
	listedAt time.Time
}

// Servers implements galenalatch.Store.
func (l delayedServerList) Servers(ctx context.Context, after galenalatch.Position, wait time.Duration) (galenalatch.ServerUpdate, error) {
	select {
	case <-ctx.Done():
		return galenalatch.ServerUpdate{}, context.Cause(ctx)
	case <-time.After(time.Until(l.listedAt)):
		return l.Store.Servers(ctx, after, wait)
	}
}

// Guards against a router that reports ready when it has only the configuration,
// and then refuses every request because it has no list of backend servers.
func TestNotReadyWithoutServerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 500 * time.Millisecond
		start := time.Now()
		store := delayedServerList{Store: store.New(), listedAt: start.Add(late)}
		store.Configure(&galenalatch.Configuration{Version: 1})
		log, err := events.New(t.Output(), "info", "logfmt")
		assert.NilError(t, err)
		zero := func() int64 { return 0 }
		metrics := newMetrics(counters{droppedLines: zero, routers: zero, shedConnections: zero})
		g := &Gateway{settings: gateway.Default()}
		g.view = view.New(view.Options{
			Store: store, Table: placement.New(placement.Options{Self: "r1", Local: "a", PrefillRate: 50}),
			Clock:        func() time.Duration { return time.Since(start) },
			OperatorWait: time.Second, Events: observer{log: log, metrics: metrics},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- g.view.Run(ctx) }()
		time.Sleep(late / 2)
		assert.Assert(t, g.view.Configuration() != nil)
		ready, reason := g.ready()
		assert.Assert(t, !ready)
		assert.Equal(t, reason, "the list of backend servers was not read yet")
		time.Sleep(late)
		ready, reason = g.ready()
		assert.Assert(t, ready, reason)
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}

// timedListener records when it is closed.
type timedListener struct {
	net.Listener
	closed time.Time
}

// Close implements net.Listener.
func (l *timedListener) Close() error {
	l.closed = time.Now()
	return nil
}

// silentStore is a store that does not respond to writes once it is silent.
type silentStore struct {
	*store.Store
	silent atomic.Bool
}

// Write implements galenalatch.Store.
func (s *silentStore) Write(ctx context.Context, table string, r galenalatch.StoreRow) error {
	if !s.silent.Load() {
		return s.Store.Write(ctx, table, r)
	}
	<-ctx.Done()
	return context.Cause(ctx)
}

// Guards against requests that are taken so long after SIGTERM that they may be
// cut at the end of the drain, also while the store does not respond, and against
// connections that are refused before the load balancer has noticed the drain.
func TestDrainAcceptTime(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent store %t", silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testDrainAcceptTime(t, silent) })
		})
	}
}

func testDrainAcceptTime(t *testing.T, silent bool) {
	const (
		// The load balancer polls every second and counts two failures.
		balancerTime = 2 * time.Second
		// A request sent later than lastRequest after SIGTERM must not be cut;
		// a busy process sees the signal up to signalDelay late.
		lastRequest = 3 * time.Second
		signalDelay = 400 * time.Millisecond
	)
	log, err := events.New(t.Output(), "info", "logfmt")
	assert.NilError(t, err)
	g := &Gateway{settings: gateway.Default(), log: log, handler: host.New(host.Options{}), ingress: &ingress.Server{}}
	s := &silentStore{Store: store.New()}
	listed := make(chan struct{}, 1)
	g.members = members.New(members.Options{
		Store: s, Self: members.Member{ID: "r1", Address: "127.0.0.1:1"},
		Changed: func(list []members.Member, _ string) {
			if len(list) > 0 {
				listed <- struct{}{}
			}
		},
		Events: observer{log: log, metrics: newMetrics(counters{})},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.members.Run(ctx) }()
	<-listed
	s.silent.Store(silent)
	l, start := &timedListener{}, time.Now()
	g.drain(l)
	taken := l.closed.Sub(start)
	assert.Assert(t, taken >= balancerTime && taken+signalDelay <= lastRequest, "%s", taken)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// Guards against shares of the fixed retry budget that together exceed it, also
// while the lists of some routers lack the newest ones.
func TestFixedRetries(t *testing.T) {
	g := &Gateway{settings: gateway.Default()}
	assert.Equal(t, g.fixedRetries(), 0.0, "without a list of routers")
	for _, routers := range []int{1, 8, 81, 400} {
		g.routers.Store(int64(routers))
		sum := g.fixedRetries() * float64(routers+unlistedRouters)
		assert.Assert(t, sum <= g.settings.Repeats.Fixed, "%d routers together: %.1f", routers, sum)
	}
}

// Guards against more retries of a fleet in a window than the settings allow.
// Random requests and retries run on routers whose lists lack up to
// unlistedRouters routers or still contain removed ones. The limit is based on the
// requests of the window or of the one before, whichever are more.
func TestFleetRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 30).Draw(t, "routers")
		s := gateway.Default()
		s.Repeats.Fixed = float64(rapid.IntRange(0, 200).Draw(t, "fixed"))
		window := s.Repeats.Window.Std()
		budgets := make([]*budget.Budget, routers)
		for i := range budgets {
			g := &Gateway{settings: s}
			g.routers.Store(int64(rapid.IntRange(max(routers-unlistedRouters, 1), routers+3).Draw(t, "listed")))
			budgets[i] = g.newBudget()
			budgets[i].Fixed = g.fixedRetries()
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		between := func(times []time.Time, oldest, newest time.Duration) int {
			n := 0
			for _, at := range times {
				if age := now.Sub(at); age >= newest && age < oldest {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.CountRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 20).Draw(t, "repeats") {
				if b.TakeRetry(now) {
					retries = append(retries, now)
				}
			}
			counted := max(between(requests, window, 0), between(requests, window*3/2, window/2), between(requests, 2*window, window))
			allowed := s.Repeats.Ratio*float64(counted) + s.Repeats.Fixed
			if n := between(retries, window, 0); float64(n) > allowed {
				t.Fatalf("%d retries in a window; allowed: %.1f", n, allowed)
			}
		}
	})
}

// Guards against large fleets in which several routers poll the store or none does,
// and against data centres without relays.
func TestRelayMode(t *testing.T) {
	var list []galenalatch.Instance
	for i := range 40 {
		list = append(list, galenalatch.Instance{ID: fmt.Sprint("r", i), DataCentre: galenalatch.DataCentre("ab"[i%2 : i%2+1])})
	}
	for _, n := range []int{1, topology.MaxFullMesh} {
		assert.Equal(t, relayMode(topology.New("r0", "a", list[:n])), relay.Direct)
	}
	relays := make(map[galenalatch.DataCentre]int)
	polling := 0
	for _, i := range list {
		switch relayMode(topology.New(galenalatch.RouterID(i.ID), i.DataCentre, list)) {
		case relay.Relaying:
			polling++
			relays[i.DataCentre]++
		case relay.Standby:
			relays[i.DataCentre]++
		}
	}
	assert.Equal(t, polling, 1)
	assert.DeepEqual(t, relays, map[galenalatch.DataCentre]int{"a": topology.RelaysPerDataCentre, "b": topology.RelaysPerDataCentre})
	// A router that is not in the list itself is not a relay.
	assert.Equal(t, relayMode(topology.New("r99", "a", list)), relay.Listening)
}
