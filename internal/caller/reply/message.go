package reply

import (
	"errors"
	"net/http"

	"github.com/galenalatch/galenalatch"
)

// callerMessages holds the message for each kind of error whose own text may
// contain internal addresses or keys and is not sent to callers. Other kinds are
// about the caller's request, and the text of the error is sent. The messages do
// not state the outcome, which an error can override.
var callerMessages = map[galenalatch.Kind]string{
	galenalatch.KindOutOfService:      "no backend server of the pool is in service",
	galenalatch.KindCatalogueStale:    "this router cannot confirm its configuration, try another router",
	galenalatch.KindNoDispatcher:      "no dispatcher of the pool can be reached",
	galenalatch.KindPlatformDown:      "the platform does not answer",
	galenalatch.KindWriteUnknown:      "a write to the platform got no answer",
	galenalatch.KindBootMismatch:      "the backend server restarted before the request was sent",
	galenalatch.KindServerUnreachable: "the backend server could not be reached",
	galenalatch.KindServerFailed:      "the backend server closed the connection",
	galenalatch.KindStreamBroken:      "the answer broke off and is not complete",
	galenalatch.KindStaleGrant:        "the permission to send the request expired before it was sent",
	galenalatch.KindShuttingDown:      "this router is shutting down, try another router",
	galenalatch.KindCallerClosed:      "the caller closed the connection",
	galenalatch.KindInternal:          "internal error",
}

// callerMessage returns the message for err that may be sent to the caller.
func callerMessage(err error) string {
	kind := galenalatch.KindOf(err)
	if s, ok := callerMessages[kind]; ok {
		return s
	}
	var e *galenalatch.Error
	if errors.As(err, &e) {
		return e.Err.Error()
	}
	return callerMessages[galenalatch.KindInternal]
}

// errorType returns the value of the "type" field of OpenAI's error format for a
// kind.
func errorType(k galenalatch.Kind) string {
	switch status := k.Reply().Status; {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= 500:
		return "server_error"
	}
	return "invalid_request_error"
}
