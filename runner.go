package galenalatch

import (
	"context"
	"net/http"
)

// Order is one attempt to run a request on one backend server.
type Order struct {
	Request RequestID
	Server  ServerID
	// Address is host:port of the server.
	Address string
	// Boot is the boot identity that the server must have.
	Boot       BootID
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool
	// Resumes says that a broken stream may be resumed on the same server.
	Resumes bool
	// Epoch is sent as the fencing number.
	Epoch Epoch
	// BeforeSend is called when the connection is confirmed, right before
	// the first byte is written. An error stops the order: nothing is sent.
	BeforeSend func() error
}

// Usage is what a request has cost so far.
type Usage struct {
	PromptTokens int64
	OutputTokens int64
	// Millis is the server time of a plain call in milliseconds.
	Millis int64
}

// Units returns the cost in service units of the pool.
func (u Usage) Units(p Pool) int64 {
	if p.Kind == PlainPool {
		return max(1, u.Millis)
	}
	return u.PromptTokens*p.PromptWeight + u.OutputTokens*p.OutputWeight
}

// Sink receives an answer while it arrives. Its methods are called by one
// goroutine.
type Sink interface {
	// Head receives the status and header, once, before any piece.
	Head(status int, header http.Header) error
	// Piece receives the next part of the answer: one event of a stream
	// without the framing, or a part of a body.
	Piece(data []byte) error
	// Progress receives the usage so far.
	Progress(u Usage)
}

// Runner sends requests to backend servers.
//
// Run writes the order at most once. When it returns an error, OutcomeOf
// tells whether the order can have run: NotRun is returned only when no
// byte of it was written.
type Runner interface {
	Run(ctx context.Context, o Order, s Sink) (Usage, error)
}

// LoadReport is a backend server's own report. It lags.
type LoadReport struct {
	Boot    BootID
	Running int
	Waiting int
	// Leaving says that the server has announced that it will stop.
	Leaving bool
}

// Reporter reads the load report of a backend server.
type Reporter interface {
	Report(ctx context.Context, address string) (LoadReport, error)
}
