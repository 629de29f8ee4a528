package backend

import (
	"net/http"
	"time"
)

// Run records one execution of a request.
type Run struct {
	ID   string
	Path string
	At   time.Time
}

// Log returns all runs so far, in the order of their start.
func (s *Server) Log() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runLog...)
}

// Runs returns how often the request with the given ID was run.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Arrivals returns the number of requests received, including those that were
// not run.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// Cancelled reports whether the caller disconnected while the request ran with
// the behaviour Hang.
func (s *Server) Cancelled(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled[id]
}

// RunHeaders returns the headers of all requests that were run, in the order of
// Log.
func (s *Server) RunHeaders() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.runHeaders...)
}

// Dials returns the number of connections accepted so far.
func (s *Server) Dials() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}
