// Package request implements the steps that the handlers for callers share:
// authenticating a request, limiting requests and body bytes for each workspace,
// submitting the request and streaming the answer.
package request

import (
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/body"
	"github.com/galenalatch/galenalatch/internal/caller/inflight"
	"github.com/galenalatch/galenalatch/internal/caller/reply"
)

// ClassHeader is the header that selects the class of a request: interactive or
// batch.
const ClassHeader = "X-Class"

// Server serves requests for one or more handlers.
type Server struct {
	submitter galenalatch.Submitter
	catalogue func() galenalatch.Catalogue
	workspace func(*http.Request) (galenalatch.WorkspaceName, error)
	limit     *inflight.Limiter
	observe   func(r galenalatch.Request, err error, first, total time.Duration)
	reader    body.Reader
}

// Option configures a Server.
type Option func(*Server)

// WithBodyLimit sets the maximum size of a request body in bytes. The default is
// 4 MiB.
func WithBodyLimit(n int64) Option {
	return func(s *Server) { s.reader.Limit = n }
}

// WithLimiter limits the requests and body bytes in progress for each
// workspace. By default there is no limit.
func WithLimiter(l *inflight.Limiter) Option {
	return func(s *Server) { s.limit = l }
}

// WithObserver sets a function that is called at the end of each request. It
// receives the error of the request, or nil, the time to the first data of the
// answer, or 0 if there was none, and the total time. Fields of r that were not
// set before an error are empty.
func WithObserver(observe func(r galenalatch.Request, err error, first, total time.Duration)) Option {
	return func(s *Server) { s.observe = observe }
}

// New returns a server that submits requests to s. The function catalogue returns
// the current catalogue. The function workspace authenticates a request and
// returns its workspace.
func New(s galenalatch.Submitter, catalogue func() galenalatch.Catalogue,
	workspace func(*http.Request) (galenalatch.WorkspaceName, error), options ...Option) *Server {
	v := &Server{
		submitter: s,
		catalogue: catalogue,
		workspace: workspace,
		observe:   func(galenalatch.Request, error, time.Duration, time.Duration) {},
		reader:    body.Reader{Limit: 4 << 20, Timeout: 30 * time.Second},
	}
	for _, o := range options {
		o(v)
	}
	return v
}

// Catalogue returns the current catalogue.
func (s *Server) Catalogue() galenalatch.Catalogue {
	return s.catalogue()
}

// Serve authenticates the request, calls f and sends the error of f, if any, to
// the caller. If allowStream is set, an answer of type text/event-stream is
// written as a stream of events; see reply.New.
func (s *Server) Serve(w http.ResponseWriter, r *http.Request, allowStream bool, f func(*Call) error) {
	id := galenalatch.NewRequestID()
	c := &Call{
		Request:  galenalatch.Request{ID: id, Method: r.Method},
		HTTP:     r,
		Response: w,
		Writer:   reply.New(w, r, id, allowStream),
		server:   s,
		start:    time.Now(),
	}
	err := s.serve(c, f)
	s.observe(c.Request, err, c.timeToFirst, time.Since(c.start))
	if err != nil {
		c.Writer.Fail(err)
	}
}

func (s *Server) serve(c *Call, f func(*Call) error) error {
	var err error
	if c.Request.Workspace, err = s.workspace(c.HTTP); err != nil {
		return err
	}
	if c.reservation, err = s.limit.Acquire(c.Request.Workspace); err != nil {
		return err
	}
	defer c.reservation.Release()
	return f(c)
}
