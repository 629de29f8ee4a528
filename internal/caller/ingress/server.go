// Package ingress accepts the connections of callers and applies the limits
// that operators configure.
//
// The limits of an http.Server cannot be changed after its start, so a new one
// is started for each set of limits. Connections stay with the http.Server that
// accepted them.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// defaultHeaderTimeout bounds the time for reading the head of a request,
	// defaultIdleTimeout the time between requests, if operators set no limit.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// idleTimeoutShare is the share of the configured idle timeout that is
	// used. Callers reuse a connection within four fifths of that timeout.
	idleTimeoutShare = 0.9
	// extraHeaderBytes is added to the configured header size, because
	// net/http counts the request line too.
	extraHeaderBytes = 1 << 10
	// closeThreshold is the share of MaxConnections above which answers close
	// their connections.
	closeThreshold = 0.5
	// maxQueuedConns bounds the accepted connections that are queued for an
	// http.Server. With a queue, the accept loop need not wait until the
	// goroutine of the server is scheduled for each connection.
	maxQueuedConns = 256
	// firstRequestWait bounds the time for which a shutdown waits for first requests
	// that have arrived, shutdownInterval is the time between two checks.
	firstRequestWait = 2 * time.Second
	shutdownInterval = 10 * time.Millisecond
	// newConnGrace is how long a new connection may stay without a request at a
	// shutdown: that of a caller which has just opened it is on its way.
	newConnGrace = 100 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
)

// Server accepts connections of callers and serves their requests. Its fields
// must be set before Serve.
type Server struct {
	Handler http.Handler
	// MaxConnections is the number of connections that the process can keep
	// open. Zero means no limit. More connections are accepted, but above half
	// of it each answer closes its connection.
	MaxConnections int
	// Admit, if set, reports whether a new connection is accepted. The requests of
	// others are answered with 503 before they are parsed, since the router could
	// not handle them in time. The callers may safely send them again, to another
	// router.
	Admit func() bool
	// RejectionHeader is the header of these answers.
	RejectionHeader http.Header
	// AcceptFailed, if set, is called with the errors of failed accepts and of an
	// http.Server that stopped.
	AcceptFailed func(err error)

	// rejecter is set by Serve, before the first http.Server.
	rejecter  *rejecter
	openConns atomic.Int64
	shedConns atomic.Int64
	// firstReads and firstReadWait are the results of FirstReads.
	firstReads    atomic.Int64
	firstReadWait atomic.Int64

	mu      sync.Mutex
	current *connListener
	servers []*http.Server
	// unserved holds the connections whose first request has not reached Handler.
	unserved map[*callerConn]struct{}
	// stopped is set when Shutdown is called, closing when it no longer waits for first
	// requests.
	stopped bool
	closing bool
}

// Serve accepts connections until the listener is closed, and then returns nil.
// Other errors of Accept are passed to AcceptFailed and accepting is retried,
// unless Shutdown has been called.
func (s *Server) Serve(l net.Listener) error {
	s.rejecter = newRejecter(s.RejectionHeader)
	s.SetLimits(galenalatch.CallerLimits{})
	for {
		c, err := l.Accept()
		if err != nil {
			s.mu.Lock()
			stopped := s.stopped
			s.mu.Unlock()
			if stopped || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// Usually the process is out of file descriptors for a moment.
			if s.AcceptFailed != nil {
				s.AcceptFailed(err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.Admit != nil && !s.Admit() {
			s.shedConns.Add(1)
			s.rejecter.reject(c)
			continue
		}
		s.mu.Lock()
		g := s.current
		s.mu.Unlock()
		select {
		case g.conns <- &callerConn{Conn: c, accepted: time.Now()}:
		case <-g.closed:
			_ = c.Close()
		}
	}
}

// SetLimits applies limits to connections that are accepted from now on. Zero
// fields select the defaults of this package and of net/http.
func (s *Server) SetLimits(limits galenalatch.CallerLimits) {
	// BodyBytes and TokenRate do not concern connections.
	limits.BodyBytes, limits.TokenRate = 0, 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.current != nil && s.current.limits == limits {
		return
	}
	g := &connListener{limits: limits, conns: make(chan net.Conn, maxQueuedConns), closed: make(chan struct{}), addr: &net.TCPAddr{}}
	h := &http.Server{
		Handler: s, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		ConnState: s.observeConn, ConnContext: withConnection,
	}
	if limits.HeaderTimeout > 0 {
		h.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		h.IdleTimeout = time.Duration(idleTimeoutShare * float64(limits.IdleTimeout))
	}
	if limits.HeaderBytes > 0 {
		h.MaxHeaderBytes = limits.HeaderBytes + extraHeaderBytes
	}
	s.current = g
	s.servers = append(s.servers, h)
	go s.run(h, g)
}

// run serves the connections of one listener.
func (s *Server) run(h *http.Server, g *connListener) {
	if err := h.Serve(g); !errors.Is(err, http.ErrServerClosed) && s.AcceptFailed != nil {
		s.AcceptFailed(err)
	}
	for {
		select {
		case c := <-g.conns:
			s.rejecter.reject(c)
		default:
			return
		}
	}
}

// observeConn counts the open connections and measures how long new ones wait.
func (s *Server) observeConn(c net.Conn, state http.ConnState) {
	// connListener returns no other connections.
	k := c.(*callerConn)
	if state == http.StateNew {
		s.openConns.Add(1)
		s.addUnserved(k)
		return
	}
	if !k.wasRead.Swap(true) {
		s.firstReads.Add(1)
		s.firstReadWait.Add(int64(time.Since(k.accepted)))
	}
	if state == http.StateClosed || state == http.StateHijacked {
		s.openConns.Add(-1)
		s.removeUnserved(k)
	}
}

// addUnserved records a new connection, or closes it if it has no request when Shutdown
// no longer waits for one.
func (s *Server) addUnserved(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		c.closeUnused()
		return
	}
	if s.unserved == nil {
		s.unserved = make(map[*callerConn]struct{})
	}
	s.unserved[c] = struct{}{}
}

func (s *Server) removeUnserved(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unserved, c)
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return int(s.openConns.Load()) }

// ShedConnections returns the number of connections that were rejected because of
// overload.
func (s *Server) ShedConnections() int64 { return s.shedConns.Load() }

// ServeHTTP implements http.Handler. When the process has many open connections,
// it sets "Connection: close" so that callers close theirs.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.MaxConnections > 0 && float64(s.openConns.Load()) > closeThreshold*float64(s.MaxConnections) {
		w.Header().Set("Connection", "close")
	}
	if c, ok := r.Context().Value(connectionKey{}).(*callerConn); ok && !c.served {
		c.served = true
		s.removeUnserved(c)
	}
	s.Handler.ServeHTTP(w, r)
}

// FirstReads returns the number of connections from which the first bytes were
// read or that ended before, and the sum of the times from the accept to that.
func (s *Server) FirstReads() (n int64, wait time.Duration) {
	return s.firstReads.Load(), time.Duration(s.firstReadWait.Load())
}

// closeUnused closes the connections without a request that are older than age, whose
// callers may safely send their requests again. It returns the number of connections
// whose first request has not reached Handler.
func (s *Server) closeUnused(age time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unserved {
		if time.Since(c.accepted) >= age {
			c.closeUnused()
		}
	}
	return len(s.unserved)
}

// awaitFirstRequests waits until the requests that have arrived on new connections have
// reached Handler: net/http drops those that it reads during its own shutdown.
func (s *Server) awaitFirstRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstRequestWait)
	defer cancel()
	t := time.NewTicker(shutdownInterval)
	defer t.Stop()
	for s.closeUnused(newConnGrace) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Shutdown stops accepting, closes the connections without a request and waits
// until all answers have been sent. If ctx ends first, it closes the remaining
// connections and returns an error. It is called after the listener was closed.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	servers := s.servers
	s.mu.Unlock()
	s.awaitFirstRequests(ctx)
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.closeUnused(0)
	var failed error
	for _, h := range servers {
		if err := h.Shutdown(ctx); err != nil {
			failed = errors.Join(failed, err, h.Close())
		}
	}
	return failed
}
