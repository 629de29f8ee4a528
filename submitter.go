package galenalatch

import (
	"context"
	"net/http"
)

// Request is a caller's request as the entry holds it.
type Request struct {
	ID        RequestID
	Workspace WorkspaceName
	Pool      PoolName
	Class     Class
	// Estimate is the expected cost in service units, from the caller's
	// hints; 0 when there is none.
	Estimate int64
	// Prefix identifies the beginning of a model prompt, so that requests
	// with the same beginning can run where it is cached; 0 means none.
	Prefix uint64
	Method string
	// Path is the path and query on the backend server.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Key is the caller's idempotency key, if any.
	Key string
}

// Submitter runs requests through the fleet.
//
// Submit returns nil when the whole answer went into the sink. Otherwise
// KindOf and OutcomeOf tell what the caller is told. After Head was called
// the caller can only be told by an error at the end of the stream.
type Submitter interface {
	Submit(ctx context.Context, r Request, s Sink) error
}
