package host

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/fleet/assignment"
	"github.com/galenalatch/galenalatch/internal/fleet/rollout"
)

// reservePinned chooses a server for a stream that callers may resume. Its version may
// change until the caller has got an event.
func (t *transaction) reservePinned(ctx context.Context, now time.Time) (*placement.Reservation, error) {
	if t.headSent && (t.stream == nil || t.stream.Service != t.decision.Service) {
		return nil, galenalatch.KindServerUnreachable.Errorf("another service than %s has begun the stream", t.decision.Service)
	}
	if t.stream == nil || !t.headSent && !t.call.Resumes() {
		if err := t.openStream(ctx, now); err != nil {
			return nil, err
		}
	}
	t.decision.Version = t.stream.Version
	choice, ok := t.h.Rollouts.ChooseVersion(now, t.decision.Service, t.decision.Route, t.stream.Version)
	if !ok {
		return nil, galenalatch.KindServerUnreachable.Errorf("a roll-out order keeps the stream from version %q", t.stream.Version)
	}
	t.choice = choice
	p, ok := t.reserveChoice(now)
	if !ok {
		t.choice.End(rollout.Answer{Void: true})
		return nil, t.noServer(now)
	}
	return p, nil
}

// openStream finds the version of the stream.
func (t *transaction) openStream(ctx context.Context, now time.Time) (err error) {
	t.stream.End(now, assignment.Unsent)
	attempt := assignment.Attempt{Service: t.decision.Service, ID: t.call.Stream()}
	if t.call.Deadline > 0 {
		attempt.Wait = t.arrival.Add(t.call.Deadline).Sub(now)
	}
	if t.call.Resumes() {
		t.decision.Resumes = attempt.ID
		t.stream, err = t.h.Assignments.Resume(ctx, attempt)
	} else {
		t.stream, err = t.h.Assignments.Begin(now, attempt)
	}
	return err
}

// endStream ends the stream. What its caller has got may be resumed unless it is complete.
func (t *transaction) endStream() {
	ending := assignment.Unsent
	switch {
	case t.streamComplete:
		ending = assignment.Complete
	case t.headSent || t.call.Resumes():
		ending = assignment.Broken
	}
	t.stream.End(time.Now(), ending)
}
