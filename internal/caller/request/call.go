package request

import (
	"net/http"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/inflight"
	"github.com/galenalatch/galenalatch/internal/caller/reply"
)

// Call is one HTTP request of a caller. It implements galenalatch.Sink and must
// not be used concurrently.
type Call struct {
	// Request is the request that Submit submits. Its ID, Workspace and Method
	// are set; the handler sets the other fields.
	Request galenalatch.Request
	// HTTP is the request as received from the caller.
	HTTP *http.Request
	// Response is the response writer of HTTP. The answer itself is written by
	// Writer.
	Response http.ResponseWriter
	Writer   *reply.Writer
	// DropEvent, if set, reports whether an event of a stream is not passed on
	// to the caller.
	DropEvent func(event []byte) bool

	server       *Server
	reservation  *inflight.Reservation
	start        time.Time
	timeToFirst  time.Duration
	headReceived bool
}

// ReadBody returns the body of the caller's request and counts its bytes for the
// limit of the workspace. Errors are those of body.Reader.Read.
func (c *Call) ReadBody() ([]byte, error) {
	return c.server.reader.Read(c.Response, c.HTTP, c.reservation.Resize)
}

// SetClass sets the class of the request from the caller's header. The default
// is interactive. Errors are of KindBadRequest.
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

// WrongMethod sets the Allow header and returns the error, of KindBadRequest, for
// a method that is not allowed.
func (c *Call) WrongMethod(allowed ...string) error {
	list := strings.Join(allowed, ", ")
	c.Response.Header().Set("Allow", list)
	return galenalatch.KindBadRequest.Errorf("method %.16q is not allowed at this path; allowed: %s", c.HTTP.Method, list)
}

// Submit submits the request, passes the answer on and completes it. A stream
// ends with [DONE] only if Submit returns nil.
func (c *Call) Submit() error {
	if err := c.server.submitter.Submit(c.HTTP.Context(), c.Request, c); err != nil {
		return err
	}
	if !c.headReceived {
		return galenalatch.KindInternal.Errorf("the request %s ended without an answer", c.Request.ID)
	}
	return c.Writer.End(c.Writer.Stream())
}

// Header implements galenalatch.Sink.
func (c *Call) Header(status int, header http.Header) error {
	c.headReceived = true
	return c.Writer.Header(status, header)
}

// Data implements galenalatch.Sink.
func (c *Call) Data(data []byte) error {
	if c.timeToFirst == 0 {
		c.timeToFirst = time.Since(c.start)
	}
	switch {
	case !c.Writer.Stream():
		return c.Writer.Body(data)
	case c.DropEvent != nil && c.DropEvent(data):
		return nil
	}
	return c.Writer.Event(data)
}

// Progress implements galenalatch.Sink.
func (c *Call) Progress(galenalatch.Usage) {}
