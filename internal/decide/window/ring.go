// Package window counts within a sliding window of time.
package window

import (
	"iter"
	"slices"
	"time"
)

// Ring is a sliding window of buckets of equal width. It uses the monotonic
// clock reading of the times, so that changes of the wall clock have no effect.
// It is not safe for concurrent use.
type Ring[T any] struct {
	width   time.Duration
	buckets []T
	// start is the time of the first call, index the number of the newest
	// bucket since then.
	start time.Time
	index int64
}

// New returns a window of empty buckets. A width below 1 ns counts as 1 ns.
func New[T any](width time.Duration, buckets int) *Ring[T] {
	return &Ring[T]{width: max(width, 1), buckets: make([]T, buckets)}
}

// Bucket returns the newest bucket, after it cleared the buckets that have left
// the window. A time before that of an earlier call counts as the later one,
// since requests may be counted out of order.
func (r *Ring[T]) Bucket(now time.Time) *T {
	if r.start.IsZero() {
		r.start = now
	}
	index := int64(now.Sub(r.start) / r.width)
	if index-r.index >= int64(len(r.buckets)) {
		clear(r.buckets)
		r.index = index
	}
	for r.index < index {
		r.index++
		var empty T
		r.buckets[r.index%int64(len(r.buckets))] = empty
	}
	return &r.buckets[r.index%int64(len(r.buckets))]
}

// At returns the bucket of an earlier time, or nil if it has left the window.
func (r *Ring[T]) At(now, at time.Time) *T {
	r.Bucket(now)
	index := int64(at.Sub(r.start) / r.width)
	if index < 0 || index > r.index || r.index-index >= int64(len(r.buckets)) {
		return nil
	}
	return &r.buckets[index%int64(len(r.buckets))]
}

// All returns the buckets of the window in no order.
func (r *Ring[T]) All(now time.Time) iter.Seq[T] {
	r.Bucket(now)
	return slices.Values(r.buckets)
}
