// Package ingress accepts the connections of callers and applies the limits
// that operators configure.
//
// The limits of an http.Server cannot be changed after its start, so a new one
// is started for each set of limits. Connections stay with the http.Server that
// accepted them.
package ingress

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/memory"
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
	// Memory bounds what callers hold and how many connections they open. Nil sets no
	// bounds.
	Memory *memory.Budget
	// MaxRejected bounds the rejected connections that are open; 0 selects the default
	// of this package.
	MaxRejected int
	// Admit, if set, reports whether a new connection is accepted. The requests of
	// others are answered with 503 before they are parsed, since the router could
	// not handle them in time. The callers may safely send them again, to another
	// router.
	Admit func() bool
	// RejectionHeader is the header of these answers.
	RejectionHeader http.Header
	// Rejected, if set, is called with the first bytes of each request that is rejected
	// so. It must not keep them.
	Rejected func(first []byte)
	// AcceptFailed, if set, is called with the errors of failed accepts and of an
	// http.Server that stopped.
	AcceptFailed func(err error)

	// rejecter is set by Serve, before the first http.Server.
	rejecter     *rejecter
	openConns    atomic.Int64
	shedConns    atomic.Int64
	fullConns    atomic.Int64
	lateRequests atomic.Int64
	releases     releases
	// firstReads and firstReadWait are the results of FirstReads.
	firstReads    atomic.Int64
	firstReadWait atomic.Int64

	mu      sync.Mutex
	current *connListener
	servers []*http.Server
	// conns holds the connections that were accepted for an http.Server.
	conns map[*callerConn]struct{}
	// stopped is when Shutdown was called.
	stopped time.Time
}

// Serve accepts connections until the listener is closed, and then returns nil.
// Other errors of Accept are passed to AcceptFailed and accepting is retried,
// unless Shutdown has been called.
func (s *Server) Serve(l net.Listener) error {
	s.rejecter = newRejecter(s.RejectionHeader, s.MaxRejected)
	s.rejecter.observe = s.Rejected
	s.SetLimits(galenalatch.CallerLimits{})
	for {
		c, err := l.Accept()
		if err != nil {
			s.mu.Lock()
			stopped := s.stopped
			s.mu.Unlock()
			if !stopped.IsZero() || errors.Is(err, net.ErrClosed) {
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
		k := newCallerConn(s, c)
		told, ok := s.Memory.Open(k.accepted, &k.account, k)
		tellAll(told)
		if !ok {
			s.fullConns.Add(1)
			s.rejecter.reject(c)
			continue
		}
		g := s.add(k)
		select {
		case g.conns <- k:
		case <-g.closed:
			s.remove(k)
			s.rejecter.reject(c)
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
	if !s.stopped.IsZero() || s.current != nil && s.current.limits == limits {
		return
	}
	g := &connListener{limits: limits, conns: make(chan *callerConn, maxQueuedConns), closed: make(chan struct{}), addr: &net.TCPAddr{}}
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
			s.remove(c)
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
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
		return
	case http.StateIdle:
		k.awaitRequest()
	}
	if !k.wasRead.Swap(true) {
		s.firstReads.Add(1)
		s.firstReadWait.Add(int64(time.Since(k.accepted)))
	}
	if state == http.StateClosed || state == http.StateHijacked {
		s.openConns.Add(-1)
		s.remove(k)
	}
}

// add records a connection and returns the listener that it is to be passed to.
func (s *Server) add(c *callerConn) *connListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*callerConn]struct{})
	}
	s.conns[c] = struct{}{}
	return s.current
}

func (s *Server) remove(c *callerConn) {
	s.Memory.Close(&c.account)
	s.releases.announce()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
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
	c, ok := r.Context().Value(connectionKey{}).(*callerConn)
	if !ok {
		s.serve(w, r)
		return
	}
	defer c.endServing(r)
	if !c.beginServing() {
		s.refuse(w)
		return
	}
	if c.endsAfterRequest() {
		w.Header().Set("Connection", "close")
	}
	s.serve(w, r)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if !s.refuseLate(w) {
		s.Handler.ServeHTTP(w, r)
	}
}

// FullConnections returns the number of connections that were rejected because too many
// were open.
func (s *Server) FullConnections() int64 { return s.fullConns.Load() }

// FirstReads returns the number of connections from which the first bytes were
// read or that ended before, and the sum of the times from the accept to that.
func (s *Server) FirstReads() (n int64, wait time.Duration) {
	return s.firstReads.Load(), time.Duration(s.firstReadWait.Load())
}
