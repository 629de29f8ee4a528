package reply

import (
	"errors"
	"net/http"

	"github.com/galenalatch/galenalatch"
)

// sentences tell callers what each kind means. Kinds that come from the
// caller's own request are followed by the error's text. The text of the
// others may name addresses and keys of the fleet and is left out. The
// sentences say nothing of the outcome, which an error can override.
var sentences = map[galenalatch.Kind]string{
	galenalatch.KindOutOfService:    "no backend server of the pool is in service",
	galenalatch.KindCatalogueStale:  "this router cannot confirm its configuration, try another router",
	galenalatch.KindNoDispatcher:    "no dispatcher of the pool can be reached",
	galenalatch.KindPlatformDown:    "the platform does not answer",
	galenalatch.KindUnclear:         "a write to the platform got no answer",
	galenalatch.KindBootMismatch:    "the backend server restarted before the request was sent",
	galenalatch.KindServerUnreached: "the backend server could not be reached",
	galenalatch.KindServerBroke:     "the backend server closed the connection",
	galenalatch.KindStreamBroke:     "the answer broke off and is not complete",
	galenalatch.KindStaleGrant:      "the permission to send the request expired before it was sent",
	galenalatch.KindShuttingDown:    "this router is shutting down, try another router",
	galenalatch.KindCallerGone:      "the caller closed the connection",
	galenalatch.KindInternal:        "internal error",
}

// message returns the text of err for the caller.
func message(err error) string {
	kind := galenalatch.KindOf(err)
	if s, ok := sentences[kind]; ok {
		return s
	}
	var e *galenalatch.Error
	if errors.As(err, &e) {
		return e.Err.Error()
	}
	return sentences[galenalatch.KindInternal]
}

// typeOf returns OpenAI's error type for the kind.
func typeOf(k galenalatch.Kind) string {
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
