// Package front accepts the connections of callers within the limits that
// operators configure.
//
// The HTTP library fixes a server's limits when it starts, so there is one
// server for each set of limits; connections stay with the server that
// accepted them.
package front

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
	// headerTime bounds the time for the head of a request and idleTime the
	// pause between requests where operators set no limit.
	headerTime = 10 * time.Second
	idleTime   = time.Minute
	// idleShare of the operators' limit is waited. Callers use a connection
	// again within four fifths of it.
	idleShare = 0.9
	// headerSlack is added to the bound of the head: the library counts the
	// request line too.
	headerSlack = 1 << 10
	// fullShare is the share of the allowed connections above which answers
	// close their connections.
	fullShare = 0.5
	// acceptQueue is the number of accepted connections that wait for the
	// library, so that accepting does not wait for a turn of the processor
	// for each one.
	acceptQueue = 256
	// acceptPause is the pause after a failed accept.
	acceptPause = 5 * time.Millisecond
)

// Server serves callers. Its fields are set before Serve.
type Server struct {
	Handler http.Handler
	// MaxConnections is the number of connections that the process can hold.
	MaxConnections int
	// Refused is told of connections that could not be accepted, if set.
	Refused func(err error)

	open atomic.Int64
	mu   sync.Mutex
	now  *generation
	all  []*http.Server
	done bool
}

// generation is the server for one set of limits.
type generation struct {
	limits galenalatch.CallerLimits
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	addr   net.Addr
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.addr }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.SetLimits(galenalatch.CallerLimits{})
	for {
		c, err := l.Accept()
		if err != nil {
			s.mu.Lock()
			done := s.done
			s.mu.Unlock()
			if done || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// The process is out of descriptors for a moment.
			if s.Refused != nil {
				s.Refused(err)
			}
			time.Sleep(acceptPause)
			continue
		}
		s.mu.Lock()
		g := s.now
		s.mu.Unlock()
		select {
		case g.conns <- c:
		case <-g.closed:
			_ = c.Close()
		}
	}
}

// SetLimits starts a server with other limits for new connections.
func (s *Server) SetLimits(limits galenalatch.CallerLimits) {
	// The others do not concern connections.
	limits.BodyBytes, limits.TokenRate = 0, 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done || s.now != nil && s.now.limits == limits {
		return
	}
	g := &generation{limits: limits, conns: make(chan net.Conn, acceptQueue), closed: make(chan struct{}), addr: &net.TCPAddr{}}
	h := &http.Server{
		Handler: s, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime,
		ConnState: s.count, ConnContext: withConnection,
	}
	if limits.HeaderTimeout > 0 {
		h.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		h.IdleTimeout = time.Duration(idleShare * float64(limits.IdleTimeout))
	}
	if limits.HeaderBytes > 0 {
		h.MaxHeaderBytes = limits.HeaderBytes + headerSlack
	}
	s.now = g
	s.all = append(s.all, h)
	go s.run(h, g)
}

// run serves the connections of one generation.
func (s *Server) run(h *http.Server, g *generation) {
	if err := h.Serve(g); !errors.Is(err, http.ErrServerClosed) && s.Refused != nil {
		s.Refused(err)
	}
	for {
		select {
		case c := <-g.conns:
			// Its request was not read: the caller may send it elsewhere.
			_ = c.Close()
		default:
			return
		}
	}
}

// count keeps the number of open connections.
func (s *Server) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.open.Load()) }

// ServeHTTP implements http.Handler. Callers are told to leave when the
// process holds many connections.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.MaxConnections > 0 && float64(s.open.Load()) > fullShare*float64(s.MaxConnections) {
		w.Header().Set("Connection", "close")
	}
	s.Handler.ServeHTTP(w, r)
}

// Shutdown stops accepting and waits until all answers have been sent or ctx
// ends; then the remaining connections are closed and it returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.done = true
	all := s.all
	s.mu.Unlock()
	var failed error
	for _, h := range all {
		if err := h.Shutdown(ctx); err != nil {
			failed = errors.Join(failed, err, h.Close())
		}
	}
	return failed
}
