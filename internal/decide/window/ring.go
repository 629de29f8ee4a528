// Package window counts in a sliding window of time.
package window

import (
	"iter"
	"slices"
	"time"
)

// Ring is a sliding window of parts of equal width. It follows the steady
// clock, so that steps of the time of day change nothing. It is not safe for
// concurrent use.
type Ring[T any] struct {
	width time.Duration
	parts []T
	// start is the time of the first call, at the number of the newest part.
	start time.Time
	at    int64
}

// New returns a window of empty parts.
func New[T any](width time.Duration, parts int) *Ring[T] {
	return &Ring[T]{width: max(width, 1), parts: make([]T, parts)}
}

// Part returns the newest part, after it dropped what has left the window. A
// time that is earlier than that of another call counts as the later one:
// requests are counted in another order than they came.
func (r *Ring[T]) Part(now time.Time) *T {
	if r.start.IsZero() {
		r.start = now
	}
	at := int64(now.Sub(r.start) / r.width)
	if at-r.at >= int64(len(r.parts)) {
		clear(r.parts)
		r.at = at
	}
	for r.at < at {
		r.at++
		var empty T
		r.parts[r.at%int64(len(r.parts))] = empty
	}
	return &r.parts[r.at%int64(len(r.parts))]
}

// All returns the parts of the window in no order.
func (r *Ring[T]) All(now time.Time) iter.Seq[T] {
	r.Part(now)
	return slices.Values(r.parts)
}
