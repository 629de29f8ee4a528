package backend

import (
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// Behaviour defines how a server handles a request.
type Behaviour string

// The behaviours of servers.
const (
	// Answer runs the request and sends a complete response.
	Answer Behaviour = "answer"
	// RejectNotRun rejects the request with status 503 without running it.
	RejectNotRun Behaviour = "shed"
	// Fail runs the request and responds with status 500.
	Fail Behaviour = "fail"
	// CloseAfterRun runs the request and closes the connection without a response.
	CloseAfterRun Behaviour = "lose"
	// Hang runs the request and sends nothing until the caller disconnects.
	Hang Behaviour = "mute"
	// Truncate runs the request, sends a part of the announced body and
	// closes the connection. Streams are sent as with Answer.
	Truncate Behaviour = "truncate"
	// TruncateStream runs the request and breaks off a stream inside its second
	// event. Resumed streams and other responses are sent as with Answer.
	TruncateStream Behaviour = "torn"
	// Unframed runs the request and sends a stream that has neither a length nor
	// chunks and ends with its connection.
	Unframed Behaviour = "unframed"
	// TruncateUnframed is Unframed with a stream that ends inside its second
	// event. Resumed streams and other responses are sent as with Answer.
	TruncateUnframed Behaviour = "torn unframed"
	// EndUnframed is Unframed with a server that ends after the first event, or
	// inside another body.
	EndUnframed Behaviour = "ends unframed"
	// GarbleStream runs the request and sends bytes that are no chunk after its first
	// event. The server does not notice that the connection closes: it works on for
	// GarbledRunTime. Resumed streams and other responses are sent as with Answer.
	GarbleStream Behaviour = "garble"
	// WrongRequestFirst runs the request and sends a response to another request
	// before the right one. Streams are sent as with Answer.
	WrongRequestFirst Behaviour = "foreign"
	// DuplicateResponse runs the request and sends a second response after the
	// first. Streams are sent as with Answer.
	DuplicateResponse Behaviour = "extra"
	// Unsealed runs the request and responds without the seal header.
	Unsealed Behaviour = "unsealed"
	// EndlessHead runs the request and sends a header field without end.
	EndlessHead Behaviour = "endless head"
	// EndlessBody runs the request and sends a body without end. A stream has
	// an event without end.
	EndlessBody Behaviour = "endless body"
	// EndlessUnsealed is EndlessBody without the seal header.
	EndlessUnsealed Behaviour = "endless unsealed body"
	// Trickle runs the request and then sends a space now and then, without end.
	Trickle Behaviour = "trickle"
	// TrickleComments is Trickle with comments of an event stream.
	TrickleComments Behaviour = "trickle of comments"
	// EndlessRejection rejects the request like RejectNotRun, with a body
	// without end that arrives slowly.
	EndlessRejection Behaviour = "endless rejection"
	// misdirected rejects a request for another server with status 421.
	misdirected Behaviour = "misdirected"
)

// HeaderNames holds the names of the headers that a server reads and writes.
type HeaderNames struct {
	Request   string
	LastEvent string
	Seal      string
	NotRun    string
	// Expected is the header with the ID of the server that the request is
	// for. A server rejects requests for other servers.
	Expected string
	// Prompt is the header that lists the parts of the prompt.
	Prompt string
	// Limit is the header with the limit that a server names.
	Limit string
	// Leaving is the header of a server that leaves, Return the one with a pause that
	// a server asks for.
	Leaving string
	Return  string
}

// DefaultHeaderNames holds the header names of package headers.
var DefaultHeaderNames = HeaderNames{
	Request: headers.Request, LastEvent: headers.LastEvent, Seal: headers.Seal, NotRun: headers.NotRun, Expected: headers.Server, Prompt: headers.Prompt, Limit: headers.Limit,
	Leaving: headers.Leaving, Return: headers.Return,
}
