package host

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/decide/budget"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/quarantine"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/view"
	"github.com/galenalatch/galenalatch/internal/standin/backend"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
	"github.com/galenalatch/galenalatch/internal/standin/store"
)

// fixture is a handler with two backend servers of one service.
type fixture struct {
	store     *store.Store
	servers   []*backend.Server
	front     *httptest.Server
	events    *recorder
	table     *placement.Table
	view      *view.View
	ledger    *share.Ledger
	refuseAll bool
	// admitHook, if set, is called before each admission.
	admitHook func()
	// beforeDial, if set, is called before a connection to a server is opened.
	beforeDial func(address string)
	// refuseDials makes all connections to servers fail.
	refuseDials bool
	// fixedRetries is the fixed part of the retry budget.
	fixedRetries float64
}

// recorder records the events of the handler and the view.
type recorder struct {
	mu    sync.Mutex
	lines []string
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

// count returns the number of lines with a prefix.
func (r *recorder) count(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

func (r *recorder) StoreUnreachable(feed string, _ time.Duration, _ error) { r.add("lost %s", feed) }
func (r *recorder) StoreReachable(feed string, _ time.Duration)            { r.add("regained %s", feed) }
func (r *recorder) StoreRestored(feed string, _, _ galenalatch.Position)   { r.add("restored %s", feed) }
func (r *recorder) ConfigurationApplied(c *galenalatch.Configuration, _ galenalatch.Position) {
	r.add("applied")
}
func (r *recorder) OutOfService(d galenalatch.DataCentre, out bool, _ galenalatch.Position) {
	r.add("out %s %t", d, out)
}
func (r *recorder) Server(s galenalatch.Registration, _ galenalatch.Position) {}
func (r *recorder) ServerRemoved(galenalatch.ServerID, galenalatch.Position)  {}
func (r *recorder) Invalid(feed string, err error)                            { r.add("invalid %s", feed) }
func (r *recorder) Placed(id galenalatch.RequestID, d Decision)               { r.add("placed %s %s", id, d.Server) }
func (r *recorder) Attempted(id galenalatch.RequestID, d Decision, status int, err error) {
	if err != nil {
		r.add("attempt %s %s %d: %v", id, d.Server, status, err)
	}
}
func (r *recorder) Refused(id galenalatch.RequestID, _ Decision, err error) {
	r.add("refused %s: %v", id, err)
}
func (r *recorder) LimitChanged(s galenalatch.ServerID, named bool, rate float64) {
	r.add("limit %s %t %g", s, named, rate)
}
func (r *recorder) LoadInvalid(s galenalatch.ServerID, value string) {
	r.add("load of %s invalid: %s", s, value)
}

func (r *recorder) LimitInvalid(s galenalatch.ServerID, value string) {
	r.add("invalid limit %s %s", s, value)
}
func (r *recorder) LeavingAnnounced(s galenalatch.ServerID) { r.add("leaving %s", s) }
func (r *recorder) PauseRequested(s galenalatch.ServerID, asked, _ time.Duration) {
	r.add("pause %s %s", s, asked)
}
func (r *recorder) Panicked(id galenalatch.RequestID, _ Decision, err error) {
	r.add("panicked %s: %v", id, err)
}
func (r *recorder) Ended(id galenalatch.RequestID, _ Decision, status int, err error) {
	r.add("ended %s %d", id, status)
}

const service = "desk"

// configuration returns a configuration with a route of each kind of work.
func configuration() *galenalatch.Configuration {
	target := []galenalatch.Target{{Service: service, Weight: 1}}
	return &galenalatch.Configuration{
		Version: 7,
		Routes: []galenalatch.HostRoute{
			{Name: "status", Host: "a.example", Prefix: "/status/", Kind: galenalatch.IdempotentWork, Targets: target, MaxAttempts: 2, Public: true},
			{Name: "log", Host: "a.example", Prefix: "/log/", Kind: galenalatch.NonIdempotentWork, Targets: target, MaxAttempts: 2, Public: true, Timeout: time.Second},
			{Name: "stream", Host: "a.example", Prefix: "/stream/", Kind: galenalatch.StreamWork, Targets: target, MaxAttempts: 2, Public: true, Resumable: true},
			{Name: "plain stream", Host: "a.example", Prefix: "/stream/once/", Kind: galenalatch.StreamWork, Targets: target, MaxAttempts: 2, Public: true},
			{Name: "keyed", Host: "a.example", Prefix: "/keyed/", Kind: galenalatch.IdempotentWork, Targets: target, MaxAttempts: 2},
		},
		Services:     map[string]galenalatch.Service{service: {Name: service}},
		Limits:       galenalatch.CallerLimits{BodyBytes: 100},
		Keys:         map[string]galenalatch.Owner{"key-1": {Workspace: "studio"}},
		KeysRequired: true,
	}
}

func newFixture(t testing.TB, c *galenalatch.Configuration) *fixture {
	t.Helper()
	f := &fixture{fixedRetries: 100, store: store.New(), events: &recorder{}}
	table := placement.New(placement.Options{Self: "r1", Local: "a", PrefillRate: 50, ColdRateFactor: 1.5, ColdSlack: 5})
	f.table, f.ledger = table, share.New(4*time.Second)
	start := time.Now()
	f.view = view.New(view.Options{
		Store: f.store, Table: table, Clock: func() time.Duration { return time.Since(start) }, Events: f.events,
		OperatorWait: 50 * time.Millisecond,
	})
	h := New(Options{
		View: f.view, Table: table, Headers: headers.Headers{}, Reports: headers.RunReports{}, Events: f.events, MaxProofAge: 400 * time.Millisecond, MaxDenialAge: 200 * time.Millisecond,
		Client: exchange.New(exchange.Options{
			Dial: f.dial, Headers: headers.Headers{}, DialTimeout: time.Second, ProbeTimeout: time.Second, MaxIdle: 4,
		}),
		NewBudget:    func() *budget.Budget { return &budget.Budget{Window: 10 * time.Second} },
		FixedRetries: func() float64 { return f.fixedRetries },
		Admit:        f.admit,
		Ledger:       f.ledger,
		Quarantine: quarantine.New(quarantine.Options{
			Owner: func(uint64) bool { return false },
			Held:  func(_ uint64, name string, _ int) { f.events.add("held %s", name) }, Released: func(_ uint64, name string) { f.events.add("released %s", name) },
		}),
	})
	for range 2 {
		f.addServer(t)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.view.Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.ErrorIs(t, <-done, context.Canceled) })
	if c != nil {
		f.store.Configure(c)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if f.view.Configuration() != nil && table.Usable(time.Now(), "s2") {
				return poll.Success()
			}
			return poll.Continue("the view has no configuration or no server yet")
		}, poll.WithDelay(5*time.Millisecond))
	}
	f.front = httptest.NewServer(h)
	t.Cleanup(f.front.Close)
	return f
}

// addServer starts a server and registers it.
func (f *fixture) addServer(t testing.TB) {
	t.Helper()
	id := galenalatch.ServerID(fmt.Sprint("s", len(f.servers)+1))
	s, err := backend.New(id, backend.DefaultHeaderNames)
	assert.NilError(t, err)
	t.Cleanup(func() {
		if !s.Ended() {
			assert.NilError(t, s.Close())
		}
	})
	f.servers = append(f.servers, s)
	f.store.Register(galenalatch.Registration{ID: id, Service: service, Address: s.Address(), DataCentre: "a", Slots: 4})
}

func (f *fixture) admit(time.Time, AdmissionRequest) (share.Fractions, bool) {
	if f.admitHook != nil {
		f.admitHook()
	}
	return share.Fractions{}, !f.refuseAll
}

func (f *fixture) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if f.beforeDial != nil {
		f.beforeDial(address)
	}
	if f.refuseDials {
		return nil, syscall.ECONNREFUSED
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// set changes the behaviour of both servers.
func (f *fixture) set(b backend.Behaviour) {
	for _, s := range f.servers {
		s.SetBehaviour(b)
	}
}

func (f *fixture) runs(id string) int {
	return f.servers[0].Runs(id) + f.servers[1].Runs(id)
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fixture) call(ctx context.Context, method, path, id, body string, more ...string) response {
	r, err := http.NewRequestWithContext(ctx, method, f.front.URL+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Host = "a.example"
	r.Header.Set(headers.Request, id)
	r.Header.Set(headers.Deadline, "2s")
	for i := 0; i+1 < len(more); i += 2 {
		r.Header.Set(more[i], more[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	a, err := transport.RoundTrip(r)
	if err != nil {
		return response{err: err}
	}
	text, err := io.ReadAll(a.Body)
	closing := a.Body.Close()
	if err == nil {
		err = closing
	}
	return response{status: a.StatusCode, header: a.Header, body: string(text), err: err}
}

// caller is a goroutine that makes one call. done receives the response and must
// have room for it.
type caller struct {
	f    *fixture
	done chan response
}

func (c *caller) run(ctx context.Context, method, path, id, body string) {
	c.done <- c.f.call(ctx, method, path, id, body)
}

// httpWriteBuffer is the size in bytes of the buffer that net/http drops when
// a handler aborts the response.
const httpWriteBuffer = 2048

// countingWriter counts the bytes that a handler writes.
type countingWriter struct {
	http.ResponseWriter
	written int
}

// Write implements http.ResponseWriter.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.written += n
	return n, err
}
