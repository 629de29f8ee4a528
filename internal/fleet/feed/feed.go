// Package feed follows a table of the platform's store by its change feed.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// AnswerTime is how long a call may take beyond the time that the store
	// was asked to wait.
	AnswerTime = 900 * time.Millisecond
	// firstPause and longestPause bound the pause between failed calls.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// Events are told when the store is lost and regained.
type Events interface {
	Lost(feed string, err error)
	Regained(feed string, after time.Duration)
}

// Feed follows one table. Its fields are set before Run.
type Feed struct {
	Name string
	// Wait is how long the store holds a call without a change.
	Wait time.Duration
	// Read applies the changes after a version, or everything. Answers older
	// than the version seen are errors, see Older.
	Read   func(ctx context.Context, after, seen uint64, wait time.Duration) (galenalatch.Position, error)
	Events Events
	// Gap is the shortest time between two calls. Changes that come together
	// share a call. Answers that another router has passed on cost no call
	// and are read at once, so that they cannot pile up.
	Gap time.Duration

	after uint64
	seen  uint64
	lost  time.Time
	pause time.Duration
}

// Run reads the table and then its changes until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	f.after = galenalatch.Everything
	for ctx.Err() == nil {
		begun := time.Now()
		relayed, err := f.step(ctx)
		if err != nil && ctx.Err() == nil {
			f.retry(ctx, err, time.Since(begun))
		}
		if !relayed {
			f.sleep(ctx, f.Gap-time.Since(begun))
		}
	}
	return context.Cause(ctx)
}

// step makes one call. It reports whether the answer was relayed.
func (f *Feed) step(ctx context.Context) (bool, error) {
	wait := f.Wait
	if !f.lost.IsZero() {
		// The answer shows soonest that the store is back.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+AnswerTime)
	defer cancel()
	p, err := f.Read(ctx, f.after, f.seen, wait)
	if err != nil {
		return false, err
	}
	f.after, f.seen = p.Version, p.Version
	if !f.lost.IsZero() {
		f.Events.Regained(f.Name, time.Since(f.lost))
		f.lost = time.Time{}
	}
	f.pause = 0
	return p.Relayed, nil
}

// Older returns err, or an error when the position is before a version that
// was seen already: a view never goes back.
func Older(p galenalatch.Position, seen uint64, err error) error {
	if err == nil && p.Version < seen {
		err = fmt.Errorf("the store answered with version %d after version %d", p.Version, seen)
	}
	return err
}

// retry waits before the next call. Routers that lost the store together
// come back spread over time. The time that the failed call took counts, so
// that a router whose call got no answer asks again at once.
func (f *Feed) retry(ctx context.Context, err error, took time.Duration) {
	if errors.Is(err, galenalatch.ErrHistoryGone) {
		f.after = galenalatch.Everything
		return
	}
	if f.lost.IsZero() {
		f.lost = time.Now()
		f.Events.Lost(f.Name, err)
	}
	f.pause = min(max(2*f.pause, firstPause), longestPause)
	f.sleep(ctx, f.pause/2+rand.N(f.pause/2)-took)
}

func (f *Feed) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
