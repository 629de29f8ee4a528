package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// lateRequestTime is the time from the start of a shutdown after which requests are
	// refused: their answers might not be complete when the process ends. Requests that
	// a busy process has accepted before and reads late are served until then.
	lateRequestTime = 500 * time.Millisecond
	// shutdownInterval is the time between two checks of the connections.
	shutdownInterval = 10 * time.Millisecond
	// newConnGrace is how long a new connection may stay without a request at a
	// shutdown: that of a caller which has just opened it is on its way.
	newConnGrace = 100 * time.Millisecond
)

// Shutdown closes the connections without a request and waits until all answers have
// been sent. If ctx ends first, it closes the remaining connections and returns an
// error. It is called after the listener was closed.
//
// It does not use http.Server.Shutdown: that waits for the running answers of one
// server while the servers of other limits keep their idle connections and take
// requests on them, and it drops requests which it reads meanwhile.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = time.Now()
	servers := s.servers
	s.mu.Unlock()
	err := s.awaitConnections(ctx)
	for _, h := range servers {
		err = errors.Join(err, h.Close())
	}
	return err
}

// awaitConnections closes connections as soon as they have no request, until none is
// left. It returns an error if ctx ends first.
func (s *Server) awaitConnections(ctx context.Context) error {
	t := time.NewTicker(shutdownInterval)
	defer t.Stop()
	for s.endUnused(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-t.C:
		}
	}
	return nil
}

// endUnused ends the connections that wait for a request, other than new ones, and
// returns the number of open connections.
func (s *Server) endUnused(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if now.Sub(c.accepted) >= newConnGrace {
			c.endUnused()
		}
	}
	return len(s.conns)
}

// refuseLate refuses a request that was read too long after the start of a shutdown,
// and reports whether it did. The request has not run: the caller may send it again.
func (s *Server) refuseLate(w http.ResponseWriter) bool {
	s.mu.Lock()
	stopped := s.stopped
	s.mu.Unlock()
	if stopped.IsZero() {
		return false
	}
	w.Header().Set("Connection", "close")
	if time.Since(stopped) < lateRequestTime {
		return false
	}
	s.lateRequests.Add(1)
	s.refuse(w)
	return true
}

// refuse answers a request that has not run, and closes its connection.
func (s *Server) refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	for name, values := range s.RejectionHeader {
		w.Header()[name] = values
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// LateRequests returns the number of requests that were refused because they were read
// too long after the start of the shutdown.
func (s *Server) LateRequests() int64 { return s.lateRequests.Load() }
