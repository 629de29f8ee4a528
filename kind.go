package galenalatch

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind classifies an error. The kind determines the reply to the caller.
type Kind string

// The error kinds. replies maps each of them to its reply.
const (
	// KindBadRequest means that the request is malformed.
	KindBadRequest Kind = "badRequest"
	// KindUnauthorized means that the key or token is missing or unknown.
	KindUnauthorized Kind = "unauthorized"
	// KindForbidden means that the caller may not do what it requested.
	KindForbidden Kind = "forbidden"
	// KindNotFound means that there is no such route, pool, row or object.
	KindNotFound Kind = "notFound"
	// KindTooLarge means that a header, body or change is larger than is
	// allowed.
	KindTooLarge Kind = "tooLarge"
	// KindConflict means that the condition of a write does not hold.
	KindConflict Kind = "conflict"
	// KindKeyReused means that the idempotency key was used for another
	// request.
	KindKeyReused Kind = "keyReused"
	// KindInProgress means that the request with this idempotency key may be
	// running or may have run.
	KindInProgress Kind = "inProgress"
	// KindQueueFull means that the queue of the workspace is full, or there is
	// no capacity for the request.
	KindQueueFull Kind = "queueFull"
	// KindMemoryShort means that the memory for callers is short, and the request was not
	// read completely.
	KindMemoryShort Kind = "memoryShort"
	// KindBodyTimeout means that the body of the request arrived too slowly.
	KindBodyTimeout Kind = "bodyTimeout"
	// KindPromptHeld means that the prompt has a part that crashes backend servers.
	KindPromptHeld Kind = "promptHeld"
	// KindWaitTimeout means that the request waited for too long.
	KindWaitTimeout Kind = "waitTimeout"
	// KindOutOfService means that no server that is in service can take the
	// request.
	KindOutOfService Kind = "outOfService"
	// KindCatalogueStale means that the router cannot confirm that its
	// catalogue or configuration is the newest.
	KindCatalogueStale Kind = "catalogueStale"
	// KindNoDispatcher means that no dispatcher of the pool can be reached.
	KindNoDispatcher Kind = "noDispatcher"
	// KindPlatformDown means that a call of the platform failed and had no
	// effect.
	KindPlatformDown Kind = "platformDown"
	// KindWriteUnknown means that a call failed that may have taken effect.
	KindWriteUnknown Kind = "unclear"
	// KindPending means that a change is stored, but not yet accepted by a
	// majority of the routers.
	KindPending Kind = "pending"
	// KindBootMismatch means that the server restarted before the request was
	// sent.
	KindBootMismatch Kind = "bootMismatch"
	// KindServerUnreachable means that no connection to the server could be
	// opened.
	KindServerUnreachable Kind = "serverUnreached"
	// KindServerFailed means that the server failed after bytes of the request
	// were sent.
	KindServerFailed Kind = "serverBroke"
	// KindStreamBroken means that a response ended early.
	KindStreamBroken Kind = "streamBroke"
	// KindStaleGrant means that the grant of the request is no longer valid.
	KindStaleGrant Kind = "staleGrant"
	// KindShuttingDown means that the router is shutting down.
	KindShuttingDown Kind = "shuttingDown"
	// KindCallerClosed means that the caller closed the connection.
	KindCallerClosed Kind = "callerGone"
	// KindInvalidCatalogue means that a change would make the catalogue
	// invalid.
	KindInvalidCatalogue Kind = "invalidCatalogue"
	// KindInternal is the kind of all other errors.
	KindInternal Kind = "internal"
)

// Reply is the response that a caller gets for an error kind.
type Reply struct {
	// Status is the HTTP status code.
	Status int
	// Outcome is the outcome of the request, unless the error has one of its
	// own.
	Outcome Outcome
	// RetryAfter is the time after which the caller should retry; 0 means
	// that none is sent.
	RetryAfter time.Duration
}

var replies = map[Kind]Reply{
	KindBadRequest:        {http.StatusBadRequest, NotRun, 0},
	KindUnauthorized:      {http.StatusUnauthorized, NotRun, 0},
	KindForbidden:         {http.StatusForbidden, NotRun, 0},
	KindNotFound:          {http.StatusNotFound, NotRun, 0},
	KindTooLarge:          {http.StatusRequestEntityTooLarge, NotRun, 0},
	KindConflict:          {http.StatusConflict, NotRun, 0},
	KindKeyReused:         {http.StatusUnprocessableEntity, NotRun, 0},
	KindInProgress:        {http.StatusConflict, OutcomeUnknown, 2 * time.Second},
	KindQueueFull:         {http.StatusTooManyRequests, NotRun, 2 * time.Second},
	KindMemoryShort:       {http.StatusServiceUnavailable, NotRun, time.Second},
	KindBodyTimeout:       {http.StatusRequestTimeout, NotRun, 0},
	KindPromptHeld:        {http.StatusServiceUnavailable, NotRun, 0},
	KindWaitTimeout:       {http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	KindOutOfService:      {http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	KindCatalogueStale:    {http.StatusServiceUnavailable, NotRun, time.Second},
	KindNoDispatcher:      {http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	KindPlatformDown:      {http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	KindWriteUnknown:      {http.StatusServiceUnavailable, OutcomeUnknown, 2 * time.Second},
	KindPending:           {http.StatusAccepted, OutcomeUnknown, time.Second},
	KindBootMismatch:      {http.StatusServiceUnavailable, NotRun, time.Second},
	KindServerUnreachable: {http.StatusServiceUnavailable, NotRun, time.Second},
	KindServerFailed:      {http.StatusBadGateway, OutcomeUnknown, 0},
	KindStreamBroken:      {http.StatusBadGateway, StreamBroken, 0},
	KindStaleGrant:        {http.StatusServiceUnavailable, NotRun, time.Second},
	KindShuttingDown:      {http.StatusServiceUnavailable, NotRun, time.Second},
	KindCallerClosed:      {499, Cancelled, 0},
	KindInvalidCatalogue:  {http.StatusUnprocessableEntity, NotRun, 0},
	KindInternal:          {http.StatusInternalServerError, OutcomeUnknown, 0},
}

// Reply returns the reply for the kind, or that for KindInternal if the kind is
// unknown.
func (k Kind) Reply() Reply {
	if r, ok := replies[k]; ok {
		return r
	}
	return replies[KindInternal]
}

// Error is an error with a kind. Code that handles it depends on the kind and
// the outcome only, not on the text.
type Error struct {
	Kind Kind
	// Outcome overrides the outcome of the kind's reply unless it is empty.
	Outcome Outcome
	// Err is the cause. It must not be nil.
	Err error
}

// Errorf returns an *Error of kind k. The format is that of fmt.Errorf,
// including %w.
func (k Kind) Errorf(format string, args ...any) error {
	return &Error{Kind: k, Err: fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// WithOutcome returns a copy of the error with the outcome o.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// KindOf returns the kind of the first *Error in the tree of err, or
// KindInternal if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}

// OutcomeOf returns the outcome that is reported to the caller for err: that
// of the first *Error in its tree or, if it has none, that of the reply for
// its kind.
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) && e.Outcome != "" {
		return e.Outcome
	}
	return KindOf(err).Reply().Outcome
}
