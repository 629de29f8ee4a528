package health

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

const (
	service = "pool"
	server  = galenalatch.ServerID("s1")
	path    = "/health"
)

// recorder counts events.
type recorder struct{ cold, leaving atomic.Int64 }

func (r *recorder) ColdByHealth(galenalatch.ServerID, time.Duration) { r.cold.Add(1) }
func (r *recorder) LeavingAnnounced(galenalatch.ServerID)            { r.leaving.Add(1) }

// fixture is a watcher of one server, whose answers about its health have the headers
// that a test sets.
type fixture struct {
	table  *placement.Table
	events recorder
	asked  atomic.Int64
	stale  atomic.Bool
}

func newFixture(t *testing.T, answer func(h http.Header)) *fixture {
	t.Helper()
	f := &fixture{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == path {
			f.asked.Add(1)
		}
		answer(w.Header())
	}))
	t.Cleanup(s.Close)
	f.table = placement.New(placement.Options{Self: "r1", Local: "a", PrefillRate: 50, ColdRateFactor: 1.5, ColdSlack: 5})
	f.table.SetServices(map[string]galenalatch.Service{service: {Name: service, HealthPath: path, ColdRate: 7.3, ColdTime: 3 * time.Second}})
	f.table.SetRouters([]galenalatch.RouterID{"r1"})
	f.table.Put(time.Now(), galenalatch.Registration{ID: server, Service: service, Address: s.Listener.Addr().String(), DataCentre: "a", Slots: 4, Started: 1})
	client := exchange.New(exchange.Options{Dial: (&net.Dialer{}).DialContext, Headers: headers.Headers{}, DialTimeout: time.Second, ProbeTimeout: time.Second, MaxIdle: 2})
	w := New(Options{Table: f.table, Client: client, Headers: headers.Headers{}, Stale: f.stale.Load, Events: &f.events})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.ErrorIs(t, <-done, context.Canceled) })
	return f
}

// Guards against a server that becomes cold while the store is away, and gets more
// requests than it tolerates since no router asks it.
func TestColdServerIsFoundWhileStoreIsAway(t *testing.T) {
	f := newFixture(t, func(h http.Header) {
		h.Set(headers.Server, string(server))
		h.Set(headers.Cold, "2s")
	})
	time.Sleep(2 * interval)
	assert.Equal(t, f.asked.Load(), int64(0), "the store tells of changes")
	f.stale.Store(true)
	start := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.table.LocalCold(time.Now())) == 1 {
			return poll.Success()
		}
		return poll.Continue("the server does not count as cold")
	}, poll.WithDelay(time.Millisecond))
	assert.Assert(t, time.Since(start) < 2*interval, "%s", time.Since(start))
	bound, sent := 7.3*1.5+5, 0
	for range 100 {
		if p, ok := f.table.Choose(time.Now(), placement.Request{Service: service}); ok {
			assert.Assert(t, p.Cold)
			sent++
		}
	}
	assert.Assert(t, sent > 0 && float64(sent) <= bound, "%d requests", sent)
	assert.Equal(t, f.events.cold.Load(), int64(1))
}

// Guards against a missed announcement in a health answer, and against an answer of
// another server that is taken for the server's.
func TestHealthAnswers(t *testing.T) {
	tests := []struct {
		name    string
		server  string
		leaving bool
	}{
		{"the server", string(server), true},
		{"another server", "s2", false},
		{"no name", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, func(h http.Header) {
				h.Set(headers.Server, tt.server)
				h.Set(headers.Leaving, strconv.Itoa(1))
			})
			f.stale.Store(true)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if f.asked.Load() >= 1 {
					return poll.Success()
				}
				return poll.Continue("the server was not asked")
			}, poll.WithDelay(time.Millisecond))
			time.Sleep(interval)
			assert.Equal(t, !f.table.Usable(time.Now(), server), tt.leaving)
			assert.Equal(t, f.events.leaving.Load() == 1, tt.leaving)
		})
	}
}
