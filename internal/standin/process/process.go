// Package process implements the common parts of the stand-in backend servers:
// simulated restarts with a boot identity, the load limit of a cold server,
// injected failures, the metrics page and the control API.
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

// Settings describe how a stand-in reacts to load. The zero value has no limits
// and checks no epochs.
type Settings struct {
	// ColdLimit is the number of concurrent requests that a cold server
	// supports. Each completed request raises it by one. 0 means that the
	// server is never cold.
	ColdLimit int
	// ColdRequests is the number of completed requests after which the
	// server is warm.
	ColdRequests int
	// CrashOnColdOverload makes a cold server crash when a request exceeds its
	// limit: it breaks all connections and restarts.
	CrashOnColdOverload bool
	// ChecksFencing makes the server refuse requests whose epoch is missing
	// or older than the newest that it has received since its start.
	ChecksFencing bool
}

// Process is the state of one stand-in across its simulated restarts. Its
// methods are safe for concurrent use.
type Process struct {
	settings Settings
	gauges   Gauges
	control  http.Handler
	metrics  http.Handler

	mu       sync.Mutex
	current  *generation
	boots    int
	failures Failures
	// failuresChanged is closed and replaced whenever failures changes.
	failuresChanged chan struct{}
	stats           counters
	loadHistory     []loadSample
	leavingSince    time.Time
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

type connectionContextKey struct{}

// connection is a connection with the generation that accepted it.
type connection struct {
	conn       net.Conn
	generation *generation
}

// New returns a process that has just started.
func New(s Settings, g Gauges) *Process {
	p := &Process{settings: s, gauges: g, failuresChanged: make(chan struct{})}
	p.stats = newCounters()
	p.current = p.newGenerationLocked()
	p.control = p.controlHandler()
	p.metrics = p.metricsHandler()
	return p
}

// newGenerationLocked returns the state after the next start. It must be called
// with the lock held or before p is shared.
func (p *Process) newGenerationLocked() *generation {
	g := &generation{connections: make(map[net.Conn]struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.started = float64(time.Now().UnixMicro()) / 1e6
	if p.current != nil {
		g.number = p.current.number + 1
		// Two starts within a microsecond need different boot identities.
		g.started = max(g.started, p.current.started+1e-6)
	}
	p.boots++
	return g
}

// Boot returns the current boot identity: the start time in seconds since the
// Unix epoch, as on the metrics page.
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

// Restart restarts the process: it breaks all connections, cancels all runs
// and takes a new boot identity. The server is cold again.
func (p *Process) Restart() {
	p.restartKeeping(nil)
}

// restartKeeping restarts the process and closes all connections except keep,
// over which the restart was requested.
func (p *Process) restartKeeping(keep net.Conn) {
	p.mu.Lock()
	old := p.replaceGenerationLocked(keep)
	p.mu.Unlock()
	old.shutDown()
}

// replaceGenerationLocked installs a new generation and returns the old one,
// which the caller shuts down after it has released the lock.
func (p *Process) replaceGenerationLocked(keep net.Conn) *generation {
	old := p.current
	p.current = p.newGenerationLocked()
	if keep != nil {
		delete(old.connections, keep)
	}
	p.recordLoadLocked()
	return old
}

func (g *generation) shutDown() {
	// No connection is added to a generation that is not the current one.
	for c := range g.connections {
		// An error of Close has no effect: the connection is broken either way.
		_ = c.Close()
	}
	g.cancel()
}

// Serve accepts connections on l and serves them with h, the control API and
// the metrics page until ctx ends. Then it returns nil.
func (p *Process) Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{
		Handler:           p.Wrap(h),
		ConnContext:       p.connContext,
		ConnState:         p.connStateChanged,
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

func (p *Process) connContext(ctx context.Context, c net.Conn) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.connections[c] = struct{}{}
	return context.WithValue(ctx, connectionContextKey{}, connection{c, p.current})
}

func (p *Process) connStateChanged(c net.Conn, s http.ConnState) {
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

// isCurrentConnection reports whether g accepted the connection of r. It is true
// for requests that did not come over Serve.
func isCurrentConnection(r *http.Request, g *generation) bool {
	c, ok := r.Context().Value(connectionContextKey{}).(connection)
	return !ok || c.generation == g
}

// Abort closes the connection of a request, without a response or in the middle
// of one. It does nothing if w does not support hijacking.
func Abort(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = c.Close()
}
