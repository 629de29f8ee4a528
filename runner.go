package galenalatch

import (
	"context"
	"net/http"
)

// Attempt is one attempt to run a request on one backend server.
type Attempt struct {
	Request RequestID
	Server  ServerID
	// Address is host:port of the server.
	Address string
	// Boot is the boot identity that the server must have.
	Boot   BootID
	Method string
	// Path is the path and query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// Resumable is set when a broken stream may be resumed on the same server.
	Resumable bool
	// Epoch is sent as the fencing token.
	Epoch Epoch
	// BeforeSend, if not nil, is called once the connection has the boot
	// identity, right before the first byte is written. If it returns an
	// error, nothing is sent and Run returns the error.
	BeforeSend func() error
}

// Usage is the amount of work that a request has caused so far.
type Usage struct {
	// PromptTokens and OutputTokens are counted for model requests.
	PromptTokens int64
	OutputTokens int64
	// Millis is the time in milliseconds that the server spent on a plain
	// call.
	Millis int64
}

// Units returns the cost in service units of the pool: weighted tokens for a
// model pool, milliseconds and at least 1 for a plain pool.
func (u Usage) Units(p Pool) int64 {
	if p.Kind == PlainPool {
		return max(1, u.Millis)
	}
	return u.PromptTokens*p.PromptWeight + u.OutputTokens*p.OutputWeight
}

// Sink receives an answer as it arrives. Its methods are called by one
// goroutine at a time.
type Sink interface {
	// Header receives the status and header, once, before any data.
	Header(status int, header http.Header) error
	// Data receives the next part of the answer: one event of a stream
	// without the framing, or a part of a body.
	Data(data []byte) error
	// Progress receives the usage so far.
	Progress(u Usage)
}

// Runner sends requests to backend servers.
type Runner interface {
	// Run sends the request at most once and passes the answer to s. It returns
	// the usage, also with an error. OutcomeOf the error is NotRun only when
	// no byte of the request was written.
	Run(ctx context.Context, o Attempt, s Sink) (Usage, error)
}

// LoadReport is the load that a backend server reports about itself. It is out
// of date by the time between two reports.
type LoadReport struct {
	Boot BootID
	// Running and Waiting are the numbers of requests that run on the server
	// and that wait on it.
	Running int
	Waiting int
	// Leaving is set when the server has announced that it will stop.
	Leaving bool
}

// Reporter reads the load reports of backend servers.
type Reporter interface {
	// Report reads the report of the server at address, which is host:port.
	Report(ctx context.Context, address string) (LoadReport, error)
}
