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

// booked is the answer to a booking.
type booked struct {
	status   int
	outcome  string
	replayed bool
	body     string
}

// book makes one booking, and again with the same key through other routers.
func (s *story) book(ctx context.Context) {
	w := workspaces[0]
	key := uuid.NewString()
	var first booked
	for i, r := range s.site.routers[:3] {
		a, err := s.post(ctx, r, w, key)
		if err != nil {
			s.fault("a booking through %s: %v", r.id, err)
			return
		}
		switch {
		case a.status != http.StatusCreated:
			s.fault("a booking through %s got status %d (%s)", r.id, a.status, a.outcome)
			return
		case i == 0:
			first = a
			s.say("%s books through %s: status %d", w.name, r.id, a.status)
		case a.body != first.body || !a.replayed:
			s.fault("a booking with the same key through %s ran again", r.id)
		default:
			s.say("%s repeats the booking through %s with the same key: the stored answer comes back", w.name, r.id)
		}
	}
}

// post makes a booking until it was not refused.
func (s *story) post(ctx context.Context, r *member, w workspace, key string) (booked, error) {
	for {
		a, err := s.postOnce(ctx, r, w, key)
		if err != nil || a.outcome != string(galenalatch.NotRun) {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, fmt.Errorf("refused with status %d until the end: %w", a.status, ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (s *story) postOnce(ctx context.Context, r *member, w workspace, key string) (booked, error) {
	address := "http://" + r.caller + "/services/" + string(bookingPool) + bookingPath
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(`{"envelopes":120}`))
	if err != nil {
		return booked{}, err
	}
	// Only the story repeats the call.
	q.GetBody = nil
	q.Header.Set("Authorization", "Bearer "+w.key())
	q.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return booked{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return booked{
		status:   resp.StatusCode,
		outcome:  resp.Header.Get("X-Outcome"),
		replayed: resp.Header.Get("X-Replayed") == "true",
		body:     string(data),
	}, err
}
