package galenalatch

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is one of the closed list of error kinds.
type Kind string

// The closed list of error kinds. answers maps each to its answer.
const (
	KindBadRequest       Kind = "badRequest"
	KindUnauthorized     Kind = "unauthorized"
	KindForbidden        Kind = "forbidden"
	KindNotFound         Kind = "notFound"
	KindTooLarge         Kind = "tooLarge"
	KindConflict         Kind = "conflict"
	KindKeyReused        Kind = "keyReused"
	KindInProgress       Kind = "inProgress"
	KindQueueFull        Kind = "queueFull"
	KindWaitTimeout      Kind = "waitTimeout"
	KindOutOfService     Kind = "outOfService"
	KindCatalogueStale   Kind = "catalogueStale"
	KindNoDispatcher     Kind = "noDispatcher"
	KindPlatformDown     Kind = "platformDown"
	KindUnclear          Kind = "unclear"
	KindPending          Kind = "pending"
	KindBootMismatch     Kind = "bootMismatch"
	KindServerUnreached  Kind = "serverUnreached"
	KindServerBroke      Kind = "serverBroke"
	KindStreamBroke      Kind = "streamBroke"
	KindStaleGrant       Kind = "staleGrant"
	KindShuttingDown     Kind = "shuttingDown"
	KindCallerGone       Kind = "callerGone"
	KindInvalidCatalogue Kind = "invalidCatalogue"
	KindInternal         Kind = "internal"
)

// Reply is what a caller is told about an error kind.
type Reply struct {
	// Status is the HTTP status code.
	Status int
	// Outcome is the outcome unless the error carries another one.
	Outcome Outcome
	// RetryAfter is sent to the caller when it is not zero.
	RetryAfter time.Duration
}

var replies = map[Kind]Reply{
	KindBadRequest:       {http.StatusBadRequest, NotRun, 0},
	KindUnauthorized:     {http.StatusUnauthorized, NotRun, 0},
	KindForbidden:        {http.StatusForbidden, NotRun, 0},
	KindNotFound:         {http.StatusNotFound, NotRun, 0},
	KindTooLarge:         {http.StatusRequestEntityTooLarge, NotRun, 0},
	KindConflict:         {http.StatusConflict, NotRun, 0},
	KindKeyReused:        {http.StatusUnprocessableEntity, NotRun, 0},
	KindInProgress:       {http.StatusConflict, OutcomeUnknown, 2 * time.Second},
	KindQueueFull:        {http.StatusTooManyRequests, NotRun, 2 * time.Second},
	KindWaitTimeout:      {http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	KindOutOfService:     {http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	KindCatalogueStale:   {http.StatusServiceUnavailable, NotRun, time.Second},
	KindNoDispatcher:     {http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	KindPlatformDown:     {http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	KindUnclear:          {http.StatusServiceUnavailable, OutcomeUnknown, 2 * time.Second},
	KindPending:          {http.StatusAccepted, OutcomeUnknown, time.Second},
	KindBootMismatch:     {http.StatusServiceUnavailable, NotRun, time.Second},
	KindServerUnreached:  {http.StatusServiceUnavailable, NotRun, time.Second},
	KindServerBroke:      {http.StatusBadGateway, OutcomeUnknown, 0},
	KindStreamBroke:      {http.StatusBadGateway, Broken, 0},
	KindStaleGrant:       {http.StatusServiceUnavailable, NotRun, time.Second},
	KindShuttingDown:     {http.StatusServiceUnavailable, NotRun, time.Second},
	KindCallerGone:       {499, Cancelled, 0},
	KindInvalidCatalogue: {http.StatusUnprocessableEntity, NotRun, 0},
	KindInternal:         {http.StatusInternalServerError, OutcomeUnknown, 0},
}

// Reply returns the answer that belongs to the kind.
func (k Kind) Reply() Reply {
	if r, ok := replies[k]; ok {
		return r
	}
	return replies[KindInternal]
}

// Error is an error with a kind. Callers act on the kind alone.
type Error struct {
	Kind Kind
	// Outcome overrides the outcome of the kind's reply when it is set.
	Outcome Outcome
	Err     error
}

// Errorf returns an error of kind k. The format is that of fmt.Errorf.
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

// KindOf returns the kind of err, or KindInternal when it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}

// OutcomeOf returns the outcome that a caller is told for err.
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) && e.Outcome != "" {
		return e.Outcome
	}
	return KindOf(err).Reply().Outcome
}
