package request

import (
	"net/http"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/connections"
	"github.com/galenalatch/galenalatch/internal/caller/reply"
)

// Call is one request of a caller. It implements galenalatch.Sink and is used
// by one goroutine.
type Call struct {
	// Request is what will be submitted; the handler completes it.
	Request  galenalatch.Request
	HTTP     *http.Request
	Response http.ResponseWriter
	Writer   *reply.Writer
	// Hide drops the events of a stream for which it returns true.
	Hide func(event []byte) bool

	server   *Server
	held     *connections.Held
	start    time.Time
	first    time.Duration
	headSeen bool
}

// ReadBody returns the body of the caller's request.
func (c *Call) ReadBody() ([]byte, error) {
	return c.server.reader.Read(c.Response, c.HTTP, c.held.Grow)
}

// SetClass takes the class of work from the caller's header.
func (c *Call) SetClass() error {
	k := galenalatch.Class(c.HTTP.Header.Get(ClassHeader))
	if k == "" {
		k = galenalatch.Interactive
	}
	if !k.Valid() {
		return galenalatch.KindBadRequest.Errorf("header %s: %.60q is not allowed; allowed: interactive, batch", ClassHeader, string(k))
	}
	c.Request.Class = k
	return nil
}

// WrongMethod returns the error for a method that is not allowed.
func (c *Call) WrongMethod(allowed ...string) error {
	list := strings.Join(allowed, ", ")
	c.Response.Header().Set("Allow", list)
	return galenalatch.KindBadRequest.Errorf("method %.16q is not allowed at this path; allowed: %s", c.HTTP.Method, list)
}

// Submit submits the request and completes the answer. A stream ends with
// [DONE] only when the whole answer was passed on.
func (c *Call) Submit() error {
	if err := c.server.submitter.Submit(c.HTTP.Context(), c.Request, c); err != nil {
		return err
	}
	if !c.headSeen {
		return galenalatch.KindInternal.Errorf("the request %s ended without an answer", c.Request.ID)
	}
	return c.Writer.End(c.Writer.Stream())
}

// Head implements galenalatch.Sink.
func (c *Call) Head(status int, header http.Header) error {
	c.headSeen = true
	return c.Writer.Head(status, header)
}

// Piece implements galenalatch.Sink.
func (c *Call) Piece(data []byte) error {
	if c.first == 0 {
		c.first = time.Since(c.start)
	}
	switch {
	case !c.Writer.Stream():
		return c.Writer.Body(data)
	case c.Hide != nil && c.Hide(data):
		return nil
	}
	return c.Writer.Event(data)
}

// Progress implements galenalatch.Sink.
func (c *Call) Progress(galenalatch.Usage) {}
