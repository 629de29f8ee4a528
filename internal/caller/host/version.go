package host

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/fleet/rollout"
)

// answer is what is known of the answer to an attempt, for the comparison of versions.
type answer struct {
	begin time.Time
	first time.Time
	// events is the number of events of a stream.
	events int
	status int
}

// countEvents counts the events of a stream in complete ones.
func (a *answer) countEvents(events []byte) {
	a.events += bytes.Count(events, []byte("\n\n"))
}

// reserve chooses a server among those of the versions that the attempt may go to.
func (t *transaction) reserve(ctx context.Context, now time.Time) (*placement.Reservation, error) {
	t.answer = answer{begin: now}
	if t.h.Assignments != nil && t.route.Kind == galenalatch.StreamWork && t.route.Resumable {
		return t.reservePinned(ctx, now)
	}
	p, ok := t.reserveAny(now)
	if !ok {
		return nil, t.noServer(now)
	}
	return p, nil
}

// reserveAny chooses a server for a request that no version has begun. A request for a new
// version without a server goes to the old one.
func (t *transaction) reserveAny(now time.Time) (*placement.Reservation, bool) {
	t.choice = t.h.Rollouts.Choose(now, t.decision.Service, t.decision.Route, hashID(t.call.ID))
	for {
		p, ok := t.reserveChoice(now)
		if ok || !t.choice.FallBack() {
			return p, ok
		}
	}
}

// reserveChoice chooses a server among those of t.choice.
func (t *transaction) reserveChoice(now time.Time) (*placement.Reservation, bool) {
	return t.h.Table.Choose(now, placement.Request{
		Service: t.decision.Service, Model: t.call.Model, Prompt: t.call.Prompt, Versions: t.choice.Versions,
		PromptTokens: t.call.PromptTokens, Exclude: t.tried, HasIdle: t.h.Client.HasIdle,
	})
}

// recordAnswer records how the server answered the attempt, for the comparison of
// versions.
func (t *transaction) recordAnswer(p *placement.Reservation, err error) {
	if !t.choice.Compared() {
		return
	}
	now := time.Now()
	a := rollout.Answer{Version: p.Version, Expected: p.Expected, Warm: rollout.IsWarm(now, p.Listed, p.Cold)}
	if !t.answer.first.IsZero() {
		a.First = t.answer.first.Sub(t.answer.begin)
	}
	if n := t.answer.events - 1; n > 0 {
		a.Pace = now.Sub(t.answer.first) / time.Duration(n)
	}
	a.Bad, a.Void = t.judgeAnswer(err)
	t.choice.End(a)
}

// judgeAnswer reports whether the attempt shows a failure of the server, and whether it
// shows nothing of it.
func (t *transaction) judgeAnswer(err error) (bad, void bool) {
	var unsent *exchange.NotSentError
	var failed *responseError
	switch {
	case err == nil:
		return t.answer.status >= http.StatusInternalServerError, false
	case errors.As(err, &unsent):
		return false, true
	case errors.As(err, &failed):
		return true, failed.notRun
	case errors.Is(err, errTimeLimit):
		return true, false
	case t.r.Context().Err() != nil:
		return false, true
	}
	return true, false
}
