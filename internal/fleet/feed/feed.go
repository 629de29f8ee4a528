// Package feed follows a table of the platform's store through its change feed.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// AnswerTimeout is how long a call may take beyond the time for which the
	// store may hold it.
	AnswerTimeout = 900 * time.Millisecond
	// wholeTableTimeout is how long a read of the whole table may take. A large
	// table takes several calls.
	wholeTableTimeout = 2 * AnswerTimeout
	// minBackoff and maxBackoff bound the pause between failed calls,
	// maxListeningBackoff that of a router which is told of the end of an outage.
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 800 * time.Millisecond
	maxListeningBackoff = 2400 * time.Millisecond
	// wholeTableSpread is the time over which routers that listen to others read the
	// whole table when the changes after their position are gone, since all of them
	// learn of it together.
	wholeTableSpread = 400 * time.Millisecond
)

// Events receives the changes of the store's availability to a feed.
type Events interface {
	// StoreUnreachable is called with the error of the first failed call of a
	// feed and the time that the call took.
	StoreUnreachable(feed string, took time.Duration, err error)
	// StoreReachable is called with the first call that succeeds again and the
	// time since the first failed one.
	StoreReachable(feed string, after time.Duration)
	// StoreRestored is called when a feed has read the whole table from a store
	// that came back from a copy: the newest position seen before and that of the
	// table.
	StoreRestored(feed string, before, now galenalatch.Position)
}

// Feed follows one table. Its exported fields are set before Run and not
// changed afterwards.
type Feed struct {
	Name string
	// Wait is how long the store holds a call when there is no change.
	Wait time.Duration
	// Read reads and applies the changes after the position after, or the whole
	// table for galenalatch.ReadAll. It applies no answer that CheckAnswer refuses
	// for after and the newest position seen.
	Read   func(ctx context.Context, after, seen galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error)
	Events Events
	// MinInterval is the shortest time between two calls. Changes that come
	// together then share a call. Answers that another router has relayed cost
	// no call and are read at once, so that they cannot queue up.
	MinInterval time.Duration
	// Listens reports whether another router relays the answers. It is optional. Such
	// a router is also told by it that the store is back after an outage.
	Listens func() bool

	after            galenalatch.Position
	seen             galenalatch.Position
	unreachableSince time.Time
	backoff          time.Duration
}

// Run reads the table and then its changes until ctx ends. It returns the cause
// of the end of ctx.
func (f *Feed) Run(ctx context.Context) error {
	f.after = galenalatch.ReadAll
	for ctx.Err() == nil {
		start := time.Now()
		relayed, err := f.poll(ctx)
		if err != nil && ctx.Err() == nil {
			f.backOff(ctx, err, time.Since(start))
		}
		if !relayed {
			f.sleep(ctx, f.MinInterval-time.Since(start))
		}
	}
	return context.Cause(ctx)
}

// poll makes one call. It reports whether the answer was relayed.
func (f *Feed) poll(ctx context.Context) (bool, error) {
	wait := f.Wait
	if f.after == galenalatch.ReadAll || !f.unreachableSince.IsZero() && !f.listens() {
		// The store does not hold a read of the whole table. After an outage an
		// answer without a wait shows as early as possible that the store is
		// back.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout(f.after, wait))
	defer cancel()
	s, err := f.Read(ctx, f.after, f.seen, wait)
	if err != nil {
		return false, err
	}
	before := f.seen
	f.after, f.seen = s.Position, s.Position
	if before != (galenalatch.Position{}) && s.Era != before.Era {
		f.Events.StoreRestored(f.Name, before, s.Position)
	}
	if !f.unreachableSince.IsZero() {
		f.Events.StoreReachable(f.Name, time.Since(f.unreachableSince))
		f.unreachableSince = time.Time{}
	}
	f.backoff = 0
	return s.Relayed, nil
}

func (f *Feed) listens() bool {
	return f.Listens != nil && f.Listens()
}

// CallTimeout returns how long a call may take for the changes after a
// position, or for the whole table, when the store may hold it for the time wait. The
// store does not hold a read of the whole table, whatever the wait.
func CallTimeout(after galenalatch.Position, wait time.Duration) time.Duration {
	if after == galenalatch.ReadAll {
		return wholeTableTimeout
	}
	return wait + AnswerTimeout
}

// CheckAnswer returns err, or the error of galenalatch.Stamp.CheckRead, so that a
// router's copy of a table never takes over older data or changes of another era.
func CheckAnswer(s galenalatch.Stamp, after, seen galenalatch.Position, err error) error {
	if err != nil {
		return err
	}
	return s.CheckRead(after, seen)
}

// backOff waits before the next call. The pause is random, so that routers that
// lose the store together call again at different times. The time that the
// failed call took counts towards it: a router whose call got no answer calls
// again at once. When the store does not have the changes after the last
// position, the whole table is read next and the store does not count as
// unreachable; routers that listen to others do so at different times.
func (f *Feed) backOff(ctx context.Context, err error, took time.Duration) {
	if errors.Is(err, galenalatch.ErrHistoryGone) {
		f.after = galenalatch.ReadAll
		if f.listens() {
			f.sleep(ctx, rand.N(wholeTableSpread))
		}
		return
	}
	if f.unreachableSince.IsZero() {
		f.unreachableSince = time.Now()
		f.Events.StoreUnreachable(f.Name, took, err)
	}
	limit := maxBackoff
	if f.listens() {
		limit = maxListeningBackoff
	}
	f.backoff = min(max(2*f.backoff, minBackoff), limit)
	f.sleep(ctx, f.backoff/2+rand.N(f.backoff/2)-took)
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
