// Package lease decides when a router takes over, renews and releases the
// lease of one cell. It does no I/O: the caller passes in times, rows and
// write ids.
//
// The holder counts its lease from before it sent the renewing write. A
// candidate counts from after the response to the read that first returned
// the row, and takes over with a write that is conditional on the same row.
// So the holder's lease has always ended before a candidate's lease begins,
// as long as their clocks drift apart by less than the margin during one
// duration.
package lease

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// Config holds the settings of a lease. All routers must use the same
// durations.
type Config struct {
	// Key is the key of the row.
	Key string
	// Router and Start identify this process. Start is a random id that
	// differs for each start of the process.
	Router galenalatch.RouterID
	Start  string
	// NewID returns an id that is unique among all writes of all routers.
	NewID func() string

	// Duration is how long a lease lasts, Renew the time after which the
	// holder renews it, and Margin how long a candidate waits beyond Duration
	// before it takes over.
	Duration, Renew, Margin time.Duration
	// RankDelay is the further wait of a candidate for each rank, so that the
	// first candidate takes over without a conflict.
	RankDelay time.Duration
	// Read is the interval between the reads of a candidate, Retry the time
	// before a failed call is repeated.
	Read, Retry time.Duration
	// LapsedLimit is the time after the expiry of its lease at which a lapsed
	// holder gives up its epoch for good.
	LapsedLimit time.Duration
}

// WithDefaults returns a copy in which zero durations are replaced by
// defaults. The default duration of 4 s survives two failed renewals with
// timeouts of 1 s.
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

// Lease is the state of one cell's lease in one router. It must not be used
// concurrently.
type Lease struct {
	config Config
	// rank is the place among the candidates, or negative if the router is no
	// candidate.
	rank int

	// rowKnown is set once the row, or its absence, was read. firstSeen is
	// when the present row was first read, lastRead when it was last read.
	rowKnown, rowExists bool
	row                 Value
	tag                 string
	firstSeen, lastRead time.Time
	// newestEpoch is the highest epoch learned from any source.
	newestEpoch galenalatch.Epoch

	// epoch is the held epoch, or 0. It stays set after the lease has
	// expired, until another holder is known or LapsedLimit is over.
	epoch       galenalatch.Epoch
	expires     time.Time
	releasing   bool
	successor   galenalatch.RouterID
	unconfirmed []predecessor

	// inFlight is the write whose result was not passed to WriteDone yet.
	// unresolved are writes with an unknown outcome that may still take
	// effect: all are conditional on tag.
	inFlight   *attempt
	unresolved []attempt
	// needRead requires a read of the row before the next write.
	needRead            bool
	nextRead, nextWrite time.Time
	readSent            time.Time
	// lastFailure is when the latest failed call was sent. It is zero if no
	// call has failed since the last successful write.
	lastFailure time.Time
	// earliestTakeover keeps a router that released its lease from taking it
	// over again before its successor could.
	earliestTakeover time.Time
}

// predecessor is an earlier holder that may still grant requests as a lapsed
// holder, at most until the given time.
type predecessor struct {
	Predecessor
	until time.Time
}

// attempt is a write that Next returned to the caller.
type attempt struct {
	value       Value
	sent        time.Time
	unconfirmed []predecessor
}

// New returns a lease that is not held, of a router that is not a candidate
// and has not read the row.
func New(c Config) *Lease {
	return &Lease{config: c.WithDefaults(), rank: -1}
}

// SetRank sets the place among the candidates, from 0. With a negative rank
// the router is no candidate; it keeps a lease that it holds.
func (l *Lease) SetRank(rank int) {
	if l.rank < 0 && rank >= 0 {
		// Read now instead of after the long interval of a non-candidate.
		l.nextRead = time.Time{}
	}
	l.rank = rank
}

// Held reports whether the router holds an unexpired lease at the time now.
// It must be called directly before each use, since a pause of the process
// between the call and the use is not detected.
func (l *Lease) Held(now time.Time) bool {
	return l.epoch != 0 && !l.releasing && now.Before(l.expires)
}

// Lapsed reports whether the router held the lease, could not renew it
// because the platform failed, and no newer epoch is known. A failed call must
// have been sent less than Duration - Margin ago, so a router that was
// paused past the end of its lease is not lapsed until a call to the
// platform has failed after the pause.
func (l *Lease) Lapsed(now time.Time) bool {
	return l.epoch != 0 && !l.releasing && !now.Before(l.expires) &&
		now.Before(l.expires.Add(l.config.LapsedLimit)) &&
		!l.lastFailure.IsZero() && now.Sub(l.lastFailure) < l.config.Duration-l.config.Margin
}

// Expires returns the end of the lease. It is zero if Epoch is 0.
func (l *Lease) Expires() time.Time {
	return l.expires
}

// Epoch returns the epoch that the router holds, or 0. It is kept after the
// lease has expired, until another holder is known or LapsedLimit is over.
func (l *Lease) Epoch() galenalatch.Epoch {
	return l.epoch
}

// Row returns the last known value of the row. It reports false if the row
// does not exist or was not read yet.
func (l *Lease) Row() (Value, bool) {
	return l.row, l.rowExists
}

// Idle reports whether the router neither holds the lease nor has a write
// that may still make it the holder.
func (l *Lease) Idle() bool {
	return l.epoch == 0 && l.inFlight == nil && len(l.unresolved) == 0
}

// Unconfirmed reports whether an earlier holder may still grant requests at
// the time now: it did not release the lease, was not confirmed to have
// stopped, and the limit for lapsed holders is not over.
func (l *Lease) Unconfirmed(now time.Time) bool {
	for _, p := range l.unconfirmed {
		if now.Before(p.until) {
			return true
		}
	}
	return false
}

// ConfirmStopped records that the holder of the earlier epoch e has stopped.
func (l *Lease) ConfirmStopped(e galenalatch.Epoch) {
	var rest []predecessor
	for _, p := range l.unconfirmed {
		if p.Epoch != e || p.Router == "" {
			rest = append(rest, p)
		}
	}
	l.unconfirmed = rest
}

// ObserveEpoch records that a holder with epoch e exists. It reports
// whether that ended this router's own lease.
func (l *Lease) ObserveEpoch(e galenalatch.Epoch) bool {
	l.newestEpoch = max(l.newestEpoch, e)
	if l.epoch == 0 || e <= l.epoch {
		return false
	}
	l.dropLease()
	return true
}

// Release starts to give up the lease in favour of the successor; an empty
// successor lets any candidate take over. Held is false from now on, so the
// caller must have sent its last grant before the call.
func (l *Lease) Release(now time.Time, successor galenalatch.RouterID) {
	if l.epoch == 0 || l.releasing {
		return
	}
	l.releasing, l.successor = true, successor
	l.nextWrite = now
}

// dropLease drops the lease but keeps the writes that may still take effect.
func (l *Lease) dropLease() {
	l.epoch, l.expires, l.releasing = 0, time.Time{}, false
	l.unconfirmed, l.lastFailure = nil, time.Time{}
	l.needRead = true
}
