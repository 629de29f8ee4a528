package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
)

// bookingResponse is the response to a booking.
type bookingResponse struct {
	status   int
	outcome  string
	replayed bool
	body     string
}

// bookWithSameKey sends the same booking with the same idempotency key through
// three routers. The first must run it, the others must replay the response.
func (s *scenario) bookWithSameKey(ctx context.Context) {
	w := workspaces[0]
	key := uuid.NewString()
	var first bookingResponse
	for i, r := range s.fleet.routers[:3] {
		a, err := s.postBooking(ctx, r, w, key)
		if err != nil {
			s.reportFault("a booking through %s: %v", r.id, err)
			return
		}
		switch {
		case a.status != http.StatusCreated:
			s.reportFault("a booking through %s got status %d (%s)", r.id, a.status, a.outcome)
			return
		case i == 0:
			first = a
			s.logEvent("%s books through %s: status %d", w.name, r.id, a.status)
		case a.body != first.body || !a.replayed:
			s.reportFault("a booking with the same key through %s ran again", r.id)
		default:
			s.logEvent("%s repeats the booking through %s with the same key: the stored response is returned", w.name, r.id)
		}
	}
}

// postBooking sends a booking, and again every 100 ms while it is refused without
// having run.
func (s *scenario) postBooking(ctx context.Context, r *fleetRouter, w workspace, key string) (bookingResponse, error) {
	for {
		a, err := s.tryBooking(ctx, r, w, key)
		if err != nil || a.outcome != string(galenalatch.NotRun) {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, fmt.Errorf("still refused with status %d: %w", a.status, ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (s *scenario) tryBooking(ctx context.Context, r *fleetRouter, w workspace, key string) (bookingResponse, error) {
	address := "http://" + r.callerAddress + "/services/" + string(bookingPool) + bookingPath
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(`{"envelopes":120}`))
	if err != nil {
		return bookingResponse{}, err
	}
	// net/http must not retry the request itself: only postBooking does.
	q.GetBody = nil
	q.Header.Set("Authorization", "Bearer "+w.apiKey())
	q.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return bookingResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return bookingResponse{
		status:   resp.StatusCode,
		outcome:  resp.Header.Get("X-Outcome"),
		replayed: resp.Header.Get("X-Replayed") == "true",
		body:     string(data),
	}, err
}
