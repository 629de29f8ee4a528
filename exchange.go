package galenalatch

import (
	"net/http"
	"time"
)

// PromptPart is a part of a model prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call is what a caller's headers say about its request.
type Call struct {
	ID RequestID
	// Deadline is how long the caller waits; 0 means that it did not say.
	Deadline time.Duration
	// Key is the caller's key; empty when there is none.
	Key string
	// LastEvent is the id of the last event that the caller has, if any.
	LastEvent string
	Model     string
	// PromptTokens and MaxOutputTokens are the announced sizes.
	PromptTokens    int
	MaxOutputTokens int
	Prompt          []PromptPart
}

// Forwarding is what the system itself says to a backend server.
type Forwarding struct {
	Server    ServerID
	Workspace WorkspaceName
	// Left is the time that the server has for the request.
	Left time.Duration
	// LastEvent makes a stream go on after this event.
	LastEvent string
}

// AnswerHead is what the headers of a backend server's answer say.
type AnswerHead struct {
	// ID is the request to which the answer belongs.
	ID RequestID
	// Sealed answers come from a backend server's own work.
	Sealed bool
	// NotRun says that the server did not run the request and never will.
	NotRun bool
	// Misdirected says that the address belongs to another server than the
	// one that the request named. The request was not run.
	Misdirected bool
	// KeepAlive is how long the server keeps the connection open when it is
	// idle; 0 means that it did not say.
	KeepAlive time.Duration
}

// Headers translates between the headers of the platform and the types of
// this package.
type Headers interface {
	// Call reads the headers of a caller's request. Errors are of
	// KindBadRequest.
	Call(h http.Header) (Call, error)
	// Forward returns the headers of the request for a backend server.
	Forward(h http.Header, f Forwarding) http.Header
	// Answer reads the headers of a backend server's answer.
	Answer(status int, h http.Header) AnswerHead
	// Return returns the headers of the answer for the caller.
	Return(h http.Header) http.Header
	// RetryAfter tells a caller when to come back.
	RetryAfter(h http.Header, d time.Duration)
}
