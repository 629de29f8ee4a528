// Package lease decides when a router takes over, renews and releases the
// lease of one cell. It is pure: times, rows and write ids come from the
// caller.
//
// The holder counts its lease from before the renewing write was sent. A
// candidate counts from after the answer to the read that first showed the
// row, and takes over with a write that is conditional on the same row. So
// the holder's lease has always ended before a candidate's begins, as long as
// their clocks differ by less than the margin over one duration.
package lease

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// Config holds the constants of a lease. All routers must use the same
// durations.
type Config struct {
	// Key is the key of the row.
	Key string
	// Router and Start identify this process. Start is random for each
	// start of it.
	Router galenalatch.RouterID
	Start  string
	// NewID returns an id that no other write of any router has.
	NewID func() string

	// Duration is how long the lease lasts, Renew the time after which it is
	// renewed, Margin what a candidate waits beyond the duration.
	Duration, Renew, Margin time.Duration
	// RankDelay separates the candidates, so that the first one takes over
	// without a conflict.
	RankDelay time.Duration
	// Read is the time between two reads of a candidate, Retry the time
	// between two failed calls.
	Read, Retry time.Duration
	// LapsedLimit ends a lapsed holder for good.
	LapsedLimit time.Duration
}

// WithDefaults returns a copy with the durations of the design where none are
// set. A lease of 4 s survives two failed renewals with timeouts of 1 s.
func (c Config) WithDefaults() Config {
	for _, f := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.Duration, 4 * time.Second},
		{&c.Renew, 1400 * time.Millisecond},
		{&c.Margin, 500 * time.Millisecond},
		{&c.RankDelay, 200 * time.Millisecond},
		{&c.Read, 500 * time.Millisecond},
		{&c.Retry, 300 * time.Millisecond},
		{&c.LapsedLimit, 2 * time.Hour},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	return c
}

// Lease is the state of one cell's lease in one router.
type Lease struct {
	config Config
	// rank is the place among the candidates, or negative for none.
	rank int

	// known says that the row, or its absence, was seen. seen is when the
	// row was first seen as it is, read when it was last seen.
	known, exists bool
	row           Value
	tag           string
	seen, read    time.Time
	// heard is the newest epoch that any source has named.
	heard galenalatch.Epoch

	// epoch is not 0 while this router is the holder as far as it knows.
	epoch       galenalatch.Epoch
	expires     time.Time
	releasing   bool
	successor   galenalatch.RouterID
	unconfirmed []predecessor

	// inFlight is the write whose result has not been told. unclear are
	// writes that may still take effect: all are conditional on tag.
	inFlight *attempt
	unclear  []attempt
	// needRead says that the row must be read before the next write.
	needRead            bool
	nextRead, nextWrite time.Time
	readSent            time.Time
	// failed is when the newest failed call was sent, if the platform has
	// failed since the last successful write.
	failed time.Time
	// notBefore keeps a router that released its lease from taking it back
	// before its successor had a chance.
	notBefore time.Time
}

// predecessor is an earlier holder that may still act as a lapsed one.
type predecessor struct {
	Predecessor
	until time.Time
}

// attempt is a write that was handed to the caller.
type attempt struct {
	value       Value
	sent        time.Time
	unconfirmed []predecessor
}

// New returns the lease of a router that knows nothing yet and is not a
// candidate.
func New(c Config) *Lease {
	return &Lease{config: c.WithDefaults(), rank: -1}
}

// SetRank sets the place among the candidates, from 0. A negative rank makes
// the router no candidate; it keeps a lease that it holds.
func (l *Lease) SetRank(rank int) {
	if l.rank < 0 && rank >= 0 {
		// The rare reads of a router that is no candidate end.
		l.nextRead = time.Time{}
	}
	l.rank = rank
}

// Held reports whether the router holds an unexpired lease at the time now.
// It must be asked at the moment of use: a pause between the question and the
// use is not noticed.
func (l *Lease) Held(now time.Time) bool {
	return l.epoch != 0 && !l.releasing && now.Before(l.expires)
}

// Lapsed reports whether the router held the lease, could not renew it
// because the platform failed, and knows no newer epoch. A router that was
// paused over the end of its lease is not lapsed before a call to the
// platform has failed after the pause.
func (l *Lease) Lapsed(now time.Time) bool {
	return l.epoch != 0 && !l.releasing && !now.Before(l.expires) &&
		now.Before(l.expires.Add(l.config.LapsedLimit)) &&
		!l.failed.IsZero() && now.Sub(l.failed) < l.config.Duration-l.config.Margin
}

// Expires returns the end of the lease. It is zero unless Epoch is not 0.
func (l *Lease) Expires() time.Time {
	return l.expires
}

// Epoch returns the epoch that the router holds, or 0. After the end of the
// lease it stays until another holder is known.
func (l *Lease) Epoch() galenalatch.Epoch {
	return l.epoch
}

// Row returns the newest known value of the row.
func (l *Lease) Row() (Value, bool) {
	return l.row, l.exists
}

// Idle reports whether the router neither holds the lease nor has a write
// that may still make it the holder.
func (l *Lease) Idle() bool {
	return l.epoch == 0 && l.inFlight == nil && len(l.unclear) == 0
}

// Unconfirmed reports whether an earlier holder may still act at the time
// now: it did not release the lease, was not confirmed to have stopped, and
// the limit of a lapsed holder is not over.
func (l *Lease) Unconfirmed(now time.Time) bool {
	for _, p := range l.unconfirmed {
		if now.Before(p.until) {
			return true
		}
	}
	return false
}

// Confirm notes that the holder of the given earlier epoch has stopped.
func (l *Lease) Confirm(e galenalatch.Epoch) {
	var rest []predecessor
	for _, p := range l.unconfirmed {
		if p.Epoch != e || p.Router == "" {
			rest = append(rest, p)
		}
	}
	l.unconfirmed = rest
}

// StopBecauseOf notes that a holder with epoch e was heard of. It reports
// whether that ended this router's own lease.
func (l *Lease) StopBecauseOf(e galenalatch.Epoch) bool {
	l.heard = max(l.heard, e)
	if l.epoch == 0 || e <= l.epoch {
		return false
	}
	l.lose()
	return true
}

// Release gives the lease up in favour of the successor, which may be empty.
// Held is false from now on, so the caller must have sent its last grant.
func (l *Lease) Release(now time.Time, successor galenalatch.RouterID) {
	if l.epoch == 0 || l.releasing {
		return
	}
	l.releasing, l.successor = true, successor
	l.nextWrite = now
}

// lose forgets the lease but not the writes that may still take effect.
func (l *Lease) lose() {
	l.epoch, l.expires, l.releasing = 0, time.Time{}, false
	l.unconfirmed, l.failed = nil, time.Time{}
	l.needRead = true
}
