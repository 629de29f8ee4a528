package host

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/galenalatch/galenalatch"
)

// retryAfter is the delay that a refused caller is asked to wait before it
// retries.
const retryAfter = 300 * time.Millisecond

// RefusalHeader returns the header of a refusal for lack of capacity.
func RefusalHeader(h galenalatch.Headers) http.Header {
	header := make(http.Header)
	h.RetryAfter(header, retryAfter)
	return header
}

// refuse sends the response to a request that no server has run. If the caller
// has disconnected, it closes the connection.
func (t *transaction) refuse(err error) {
	kind := galenalatch.KindOf(err)
	reply := kind.Reply()
	t.h.Events.Refused(t.call.ID, t.decision, err)
	if kind == galenalatch.KindCallerClosed {
		panic(http.ErrAbortHandler)
	}
	if reply.RetryAfter > 0 {
		t.h.Headers.RetryAfter(t.w.Header(), max(t.returnAfter, retryAfter))
	}
	t.abandonBody(kind)
	t.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := string(kind) + "\n"
	t.w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	t.w.WriteHeader(reply.Status)
	// A write error means that the connection is broken; net/http closes it.
	_, _ = t.w.Write([]byte(text))
}

// abandonBody bounds the time for the rest of a body that was not read, and closes the
// connection of a request that had to give way.
func (t *transaction) abandonBody(k galenalatch.Kind) {
	if t.body == nil && t.r.ContentLength != 0 {
		t.account.AbandonBody()
	}
	if k == galenalatch.KindMemoryShort || k == galenalatch.KindBodyTimeout {
		t.w.Header().Set("Connection", "close")
	}
}

// finish sends the final response after the last attempt failed.
func (t *transaction) finish(ctx context.Context, err error) {
	switch {
	case t.r.Context().Err() != nil && !errors.Is(context.Cause(ctx), errTimeLimit):
		t.h.Events.Ended(t.call.ID, t.decision, 0, err)
		panic(http.ErrAbortHandler)
	case t.headSent, galenalatch.KindOf(err) == galenalatch.KindCallerClosed && t.mayHaveRun:
		// Closing the connection shows the caller that the response is
		// incomplete.
		t.h.Events.Ended(t.call.ID, t.decision, 0, err)
		panic(http.ErrAbortHandler)
	case t.failedResponse != nil:
		t.h.Events.Ended(t.call.ID, t.decision, t.failedResponse.status, err)
		t.failedResponse.write(t)
	case !t.mayHaveRun:
		var refused *galenalatch.Error
		if !errors.As(err, &refused) {
			err = galenalatch.KindServerUnreachable.Errorf("%w", err)
		}
		t.refuse(err)
	default:
		status := http.StatusBadGateway
		if errors.Is(context.Cause(ctx), errTimeLimit) {
			status = http.StatusGatewayTimeout
		}
		t.h.Events.Ended(t.call.ID, t.decision, status, err)
		t.w.Header().Set("Content-Length", "0")
		t.w.WriteHeader(status)
	}
}
