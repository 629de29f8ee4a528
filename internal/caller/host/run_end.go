package host

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
)

const (
	// reportAge is longer than the age of what a server reports, so that a report which
	// is read that long after an exchange has ended was made after it.
	reportAge = 200 * time.Millisecond
	// reportInterval is the time between two reports, reportTimeout bounds one and
	// maxReport its bytes.
	reportInterval = 100 * time.Millisecond
	reportTimeout  = 300 * time.Millisecond
	maxReport      = 256 << 10
)

// awaitRunEnd waits until the server of a stream that broke off no longer runs its
// request, so that no two servers work on it. Most servers drop a request when its
// connection closes, but not all. It returns false if ctx ends first.
func (t *transaction) awaitRunEnd(ctx context.Context, p *placement.Reservation, err error) bool {
	var unsent *exchange.NotSentError
	var failed *responseError
	if t.route.Kind != galenalatch.StreamWork || t.decision.Interruption.ServerEnded || errors.As(err, &unsent) || errors.As(err, &failed) {
		return true
	}
	for wait := reportAge; ; wait = reportInterval {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait):
		}
		if !t.stillRuns(ctx, p) {
			return true
		}
	}
}

// stillRuns asks a server whether it runs the request. A server that cannot be reached,
// or does not tell, counts as one that does not.
func (t *transaction) stillRuns(ctx context.Context, p *placement.Reservation) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a, err := t.h.Client.Send(ctx, &exchange.Request{
		Server: p.Server, Address: p.Address, Method: http.MethodGet, URI: t.h.Reports.Target(), Host: t.r.Host,
	})
	if err != nil {
		return false
	}
	report, err := io.ReadAll(io.LimitReader(a.Body, maxReport))
	if err != nil || a.Status != http.StatusOK {
		a.Abort()
		return false
	}
	a.Close()
	runs, ok := t.h.Reports.Runs(report)
	return ok && slices.Contains(runs, t.call.ID)
}
