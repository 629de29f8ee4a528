// Package request holds what the callers' handlers have in common: they
// authenticate a request, bound what it holds, submit it and pass the answer
// on while it arrives.
package request

import (
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/body"
	"github.com/galenalatch/galenalatch/internal/caller/connections"
	"github.com/galenalatch/galenalatch/internal/caller/reply"
)

// ClassHeader selects the class of work.
const ClassHeader = "X-Class"

// Server serves requests for one or more handlers.
type Server struct {
	submitter galenalatch.Submitter
	current   func() galenalatch.Catalogue
	workspace func(*http.Request) (galenalatch.WorkspaceName, error)
	limit     *connections.Limit
	observe   func(r galenalatch.Request, err error, first, total time.Duration)
	reader    body.Reader
}

// Option changes a server.
type Option func(*Server)

// WithBodyLimit bounds the bytes of a request body. The default is 4 MB.
func WithBodyLimit(n int64) Option {
	return func(s *Server) { s.reader.Limit = n }
}

// WithLimit bounds what is held for a workspace.
func WithLimit(l *connections.Limit) Option {
	return func(s *Server) { s.limit = l }
}

// WithObserver calls observe at the end of each request. The time to the
// first piece is 0 when there was none. Fields of r that are not known at
// the time of an error are empty.
func WithObserver(observe func(r galenalatch.Request, err error, first, total time.Duration)) Option {
	return func(s *Server) { s.observe = observe }
}

// New returns a server that submits requests to s. The function current
// returns the catalogue, workspace authenticates a request.
func New(s galenalatch.Submitter, current func() galenalatch.Catalogue,
	workspace func(*http.Request) (galenalatch.WorkspaceName, error), options ...Option) *Server {
	v := &Server{
		submitter: s,
		current:   current,
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
	return s.current()
}

// Serve authenticates the request, calls f and answers its error. With events
// set, an answer of type text/event-stream is a stream of events.
func (s *Server) Serve(w http.ResponseWriter, r *http.Request, events bool, f func(*Call) error) {
	id := galenalatch.NewRequestID()
	c := &Call{
		Request:  galenalatch.Request{ID: id, Method: r.Method},
		HTTP:     r,
		Response: w,
		Writer:   reply.New(w, r, id, events),
		server:   s,
		start:    time.Now(),
	}
	err := s.serve(c, f)
	s.observe(c.Request, err, c.first, time.Since(c.start))
	if err != nil {
		c.Writer.Fail(err)
	}
}

func (s *Server) serve(c *Call, f func(*Call) error) error {
	var err error
	if c.Request.Workspace, err = s.workspace(c.HTTP); err != nil {
		return err
	}
	if c.held, err = s.limit.Acquire(c.Request.Workspace); err != nil {
		return err
	}
	defer c.held.Release()
	return f(c)
}
