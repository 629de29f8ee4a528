package galenalatch

import (
	"net/http"
	"time"
)

// PromptPart is a part of a model prompt that several requests may have in
// common.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call holds the values of a caller's request headers.
type Call struct {
	// ID is empty when the caller sent none.
	ID RequestID
	// Deadline is the time that the caller waits for the response; 0 when it
	// sent none.
	Deadline time.Duration
	// Key is the caller's key; empty when it sent none.
	Key string
	// LastEvent is the id of the last event that the caller received; empty
	// unless it resumes a stream.
	LastEvent string
	// FirstAttempt is the id of the caller's attempt that brought the first event of
	// the stream that it resumes; empty if the caller did not tell.
	FirstAttempt RequestID
	// Model is the name of the requested model, if any.
	Model string
	// PromptTokens and MaxOutputTokens are the sizes that the caller
	// announced; 0 when it announced none.
	PromptTokens    int
	MaxOutputTokens int
	// Prompt lists the parts at the beginning of the prompt, in order.
	Prompt []PromptPart
}

// Resumes reports whether the call resumes a stream.
func (c Call) Resumes() bool { return c.LastEvent != "" || c.FirstAttempt != "" }

// Stream returns the id of the stream: that of the caller's attempt that brought its first
// event. It is empty for a stream that is resumed and whose caller did not tell the id.
func (c Call) Stream() RequestID {
	if c.Resumes() {
		return c.FirstAttempt
	}
	return c.ID
}

// Forwarding holds the values that a router adds to the headers of a request
// for a backend server.
type Forwarding struct {
	// Server is the server that must run the request. Others reject it.
	Server ServerID
	// Workspace is empty when the request needed no key.
	Workspace WorkspaceName
	// Remaining is the time that remains for the request.
	Remaining time.Duration
	// LastEvent is the id of the event after which a stream is resumed, if
	// any.
	LastEvent string
}

// ResponseHead holds the values of the response headers of a backend server.
type ResponseHead struct {
	// ID is the id of the request to which the response belongs.
	ID RequestID
	// Sealed is set when the response was produced by the service itself, and
	// not by something in front of it.
	Sealed bool
	// NotRun is set when the server did not run the request and never will.
	NotRun bool
	// Misdirected is set when the address belongs to another server than the
	// one that the request named. NotRun is set too.
	Misdirected bool
	// KeepAlive is the time for which the server keeps an idle connection
	// open; 0 when it sent none.
	KeepAlive time.Duration
	// Limited is set when the server named a limit, and Limit is the number of
	// requests per second that it takes from all routers together. InvalidLimit is
	// a value that cannot be used.
	Limited      bool
	Limit        float64
	InvalidLimit string
	// Leaving is set when the server says that it takes no new requests.
	Leaving bool
	// ColdFor is the time for which the server stays cold; 0 when it told none. Server
	// is the server that responded. Only answers about health have them.
	ColdFor time.Duration
	Server  ServerID
	// Pause is the time for which the server wants no requests from this router; 0
	// when it asked for none.
	Pause time.Duration
	// Load is what the server said of its load; nil when the header is missing or
	// invalid. InvalidLoad is a value that cannot be used, or only in part.
	Load        *ReportedLoad
	InvalidLoad string
}

// ReportedLoad is what a backend server says of its own load in an answer. It is as old
// as the answer.
type ReportedLoad struct {
	// Running and Waiting are the numbers of requests of all routers, Slots is the
	// number of requests that the server runs at once. Placement does not use them:
	// the exchanged loads of the routers are newer.
	Running int
	Waiting int
	Slots   int
	// Slowdown is how much longer than usual work takes on the server's machine now.
	// It is 1 when work takes as long as usual, and 0 when the server did not say.
	Slowdown float64
}

// Headers translates between the platform's HTTP headers and the types of this
// package.
type Headers interface {
	// Call parses the headers of a caller's request. Errors are of
	// KindBadRequest.
	Call(h http.Header) (Call, error)
	// ForwardRequest returns the headers of the request for a backend server,
	// given those of the caller. It does not modify h.
	ForwardRequest(h http.Header, f Forwarding) http.Header
	// Response parses the status and headers of a backend server's response.
	Response(status int, h http.Header) ResponseHead
	// ForwardResponse returns the headers of the response for the caller, given
	// those of the backend server. It does not modify h.
	ForwardResponse(h http.Header) http.Header
	// RetryAfter sets the header that tells a caller to retry after d.
	RetryAfter(h http.Header, d time.Duration)
}
