// Package process holds what the stand-in backend servers have in common:
// the boot identity, the connections that break with it, the cold start
// rule, injected failures, the metrics page and the control API.
package process

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Settings describe how a stand-in bears load.
type Settings struct {
	// ColdLimit is the number of requests that a cold server bears, plus
	// one for each completed request. 0 means that it is never cold.
	ColdLimit int
	// ColdRequests is the number of completed requests after which the
	// server is warm.
	ColdRequests int
	// FallOver makes a cold server fail under more load than it bears: it
	// breaks all connections and starts again.
	FallOver bool
	// ChecksFencing makes the server refuse requests with an older epoch
	// than the newest that it has seen.
	ChecksFencing bool
}

// Process is the state of one stand-in across its simulated restarts.
type Process struct {
	settings Settings
	gauges   Gauges
	control  http.Handler
	metrics  http.Handler

	mu       sync.Mutex
	current  *generation
	boots    int
	failures Failures
	// changed is closed and replaced when the failures change.
	changed  chan struct{}
	stats    counters
	history  []sample
	leavesAt time.Time
}

// generation is the state that a restart loses.
type generation struct {
	number      int
	started     float64
	ctx         context.Context
	cancel      context.CancelFunc
	connections map[net.Conn]struct{}
	running     int
	waiting     int
	completed   int
	epoch       uint64
}

type connectionKey struct{}

// connection ties a connection to the generation that accepted it.
type connection struct {
	conn       net.Conn
	generation *generation
}

// New returns a process that has just started.
func New(s Settings, g Gauges) *Process {
	p := &Process{settings: s, gauges: g, changed: make(chan struct{})}
	p.stats = newCounters()
	p.current = p.nextGeneration()
	p.control = p.controlHandler()
	p.metrics = p.metricsHandler()
	return p
}

// nextGeneration must be called with the lock held or before p is shared.
func (p *Process) nextGeneration() *generation {
	g := &generation{connections: make(map[net.Conn]struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.started = float64(time.Now().UnixMicro()) / 1e6
	if p.current != nil {
		g.number = p.current.number + 1
		// Two restarts within a microsecond still differ.
		g.started = max(g.started, p.current.started+1e-6)
	}
	p.boots++
	return g
}

// Boot returns the current boot identity.
func (p *Process) Boot() galenalatch.BootID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.boot()
}

func (g *generation) boot() galenalatch.BootID {
	return galenalatch.BootID(strconv.FormatFloat(g.started, 'f', -1, 64))
}

// Generation returns the number of restarts so far.
func (p *Process) Generation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.number
}

// TurnCold restarts the process: it breaks all connections and runs and
// takes a new boot identity.
func (p *Process) TurnCold() {
	p.turnCold(nil)
}

// turnCold restarts the process and keeps only the connection keep, over
// which the restart was asked for.
func (p *Process) turnCold(keep net.Conn) {
	p.mu.Lock()
	old := p.restart(keep)
	p.mu.Unlock()
	old.end()
}

// restart installs a new generation and returns the old one, which the
// caller ends after it has released the lock.
func (p *Process) restart(keep net.Conn) *generation {
	old := p.current
	p.current = p.nextGeneration()
	if keep != nil {
		delete(old.connections, keep)
	}
	p.sampleLocked()
	return old
}

func (g *generation) end() {
	// No connection is added to a generation that is not the current one.
	for c := range g.connections {
		// The peer sees the broken connection; there is nobody to tell.
		_ = c.Close()
	}
	g.cancel()
}

// Serve accepts connections on l for the handler h until ctx ends.
func (p *Process) Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{
		Handler:           p.Wrap(h),
		ConnContext:       p.opened,
		ConnState:         p.stateChanged,
		ReadHeaderTimeout: time.Minute,
		MaxHeaderBytes:    64 << 10,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if ctx.Err() != nil {
		p.mu.Lock()
		g := p.current
		p.mu.Unlock()
		g.cancel()
		return nil
	}
	return err
}

func (p *Process) opened(ctx context.Context, c net.Conn) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.connections[c] = struct{}{}
	return context.WithValue(ctx, connectionKey{}, connection{c, p.current})
}

func (p *Process) stateChanged(c net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.current.connections, c)
}

// Wrap adds the control API and the metrics page to h.
func (p *Process) Wrap(h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/control/", p.control)
	mux.Handle("/metrics", p.metrics)
	mux.Handle("/", h)
	return mux
}

// alive reports whether the connection of r belongs to g.
func alive(r *http.Request, g *generation) bool {
	c, ok := r.Context().Value(connectionKey{}).(connection)
	return !ok || c.generation == g
}

// Abort breaks the connection of a request without an answer, or in the
// middle of one.
func Abort(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = c.Close()
}
