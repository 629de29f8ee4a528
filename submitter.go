package galenalatch

import (
	"context"
	"net/http"
)

// Request is a caller's request as its entry router holds it.
type Request struct {
	ID        RequestID
	Workspace WorkspaceName
	Pool      PoolName
	Class     Class
	// Estimate is the expected cost in service units, from the caller's
	// hints; 0 when there are none.
	Estimate int64
	// Prefix is a hash of the beginning of a model prompt, so that requests
	// with the same beginning can run on a server that has it in its cache; 0
	// when there is none.
	Prefix uint64
	Method string
	// Path is the path and query on the backend server.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// Key is the caller's idempotency key; empty when there is none.
	Key string
}

// Submitter runs requests through the fleet.
type Submitter interface {
	// Submit runs the request and returns nil when the whole answer was passed
	// to s. KindOf and OutcomeOf of an error determine the reply to the
	// caller. After a call of s.Header, an error can be reported to the caller
	// only at the end of the stream.
	Submit(ctx context.Context, r Request, s Sink) error
}
