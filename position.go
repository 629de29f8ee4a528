package galenalatch

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"
)

// Position is a point in the store's history. A version alone does not identify
// it: a store that comes back from an older copy begins a new era, in which it
// gives out versions of the era before again.
type Position struct {
	// Era is the number of times that the store has come back from a copy.
	Era uint64
	// Version is the number of transactions of the store in this era, with those
	// in the copy.
	Version uint64
}

// ReadAll stands for a position in reads: it requests all rows of a table in
// place of the changes after a position.
var ReadAll = Position{Era: math.MaxUint64, Version: math.MaxUint64}

// Compare returns a negative number if p is before o, zero if they are equal, and
// a positive number if p is after o. A later era is after an earlier one, whatever
// the versions.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Version, o.Version))
}

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// String returns the position for messages.
func (p Position) String() string {
	return fmt.Sprintf("version %d of era %d", p.Version, p.Era)
}

// Stamp is what an answer of the store tells of its origin.
type Stamp struct {
	// Position is the newest position that the answer reflects.
	Position
	// Clock is the store's monotonic clock at the time of the answer.
	Clock time.Duration
	// Relayed is set when another router forwarded the answer. The store may
	// have produced such an answer before the call began.
	Relayed bool
}

// ErrHistoryGone is returned by a read of the changes after a position for which
// the store does not have them: they were discarded, or the position belongs to an
// earlier era. The caller has to read the whole table again.
var ErrHistoryGone = errors.New("the store does not have the changes after this position")

// StaleAnswerError is the error of an answer that is older than one seen before.
type StaleAnswerError struct {
	// Position is that of the answer, Seen the newest one seen before.
	Position, Seen Position
}

// Error implements error.
func (e *StaleAnswerError) Error() string {
	return fmt.Sprintf("the store answered with %s after %s", e.Position, e.Seen)
}

// CheckRead returns an error if the answer to a read of the changes after a
// position must not be applied. seen is the newest position seen before. The error
// is a *StaleAnswerError for an older answer. It wraps ErrHistoryGone for changes
// of another era than those that were asked for, since what the store lost in
// between is not among them.
func (s Stamp) CheckRead(after, seen Position) error {
	if s.Before(seen) {
		return &StaleAnswerError{Position: s.Position, Seen: seen}
	}
	if after != ReadAll && s.Era != after.Era {
		return fmt.Errorf("read after %s, answered in era %d: %w", after, s.Era, ErrHistoryGone)
	}
	return nil
}
