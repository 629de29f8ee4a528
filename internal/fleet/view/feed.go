package view

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenalatch/galenalatch"
)

// feed follows the changes of one table.
type feed struct {
	view *View
	name string
	wait time.Duration
	// read applies the changes after a version, or a whole table when after
	// is 0, unless they are older than the version seen.
	read func(ctx context.Context, after, seen uint64, wait time.Duration) (galenalatch.Position, error)
	// failed is told of each failed call, if set.
	failed func(now time.Time)

	after uint64
	seen  uint64
	lost  time.Time
	pause time.Duration
}

// run reads the table and then its changes until ctx ends.
func (f *feed) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.retry(ctx, err)
		}
	}
	return context.Cause(ctx)
}

func (f *feed) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.wait+answerTime)
	defer cancel()
	p, err := f.read(ctx, f.after, f.seen, f.wait)
	if err != nil {
		return err
	}
	f.after, f.seen = p.Version, p.Version
	if !f.lost.IsZero() {
		f.view.Events.Regained(f.name, time.Since(f.lost))
		f.lost = time.Time{}
	}
	f.pause = 0
	return nil
}

// older returns err, or an error when the position is before a version that
// was seen already.
func older(p galenalatch.Position, seen uint64, err error) error {
	if err == nil && p.Version < seen {
		err = fmt.Errorf("the store answered with version %d after version %d", p.Version, seen)
	}
	return err
}

// retry waits before the next call. Routers that lost the store together
// come back spread over time.
func (f *feed) retry(ctx context.Context, err error) {
	if errors.Is(err, galenalatch.ErrHistoryGone) {
		f.after = 0
		return
	}
	if f.failed != nil {
		f.failed(time.Now())
	}
	if f.lost.IsZero() {
		f.lost = time.Now()
		f.view.Events.Lost(f.name, err)
	}
	f.pause = min(max(2*f.pause, firstPause), longestPause)
	select {
	case <-ctx.Done():
	case <-time.After(f.pause/2 + rand.N(f.pause/2)):
	}
}
