// Package budget bounds the retries of requests to a service over the whole
// fleet. Retries are called repeats in the settings.
package budget

import (
	"time"

	"github.com/galenalatch/galenalatch/internal/decide/window"
)

// buckets is the number of buckets into which the window is divided.
const buckets = 20

// Budget counts the requests and retries of one service on one router in a
// sliding window. A router may use its share of the fleet's fixed number of
// retries, plus Ratio for each of its own requests. Ratio, Fixed and Window
// must be set before the first call; Ratio and Fixed may change later. It is
// not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each request in the window allows.
	Ratio float64
	// Fixed is the number of retries that a window without requests allows.
	Fixed  float64
	Window time.Duration

	counts *window.Ring[count]
}

// count holds the requests and retries of one bucket.
type count struct {
	requests int
	repeats  int
}

// ring returns the window. Its buckets cover the whole window even when the
// newest bucket has just begun.
func (b *Budget) ring() *window.Ring[count] {
	if b.counts == nil {
		b.counts = window.New[count](b.Window/(buckets-1), buckets)
	}
	return b.counts
}

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time) {
	b.ring().Bucket(now).requests++
}

// TakeRetry takes one retry. It reports false, and takes none, when the window
// allows no more.
func (b *Budget) TakeRetry(now time.Time) bool {
	requests, repeats := 0, 0
	for c := range b.ring().All(now) {
		requests += c.requests
		repeats += c.repeats
	}
	if float64(repeats+1) > b.Ratio*float64(requests)+b.Fixed {
		return false
	}
	b.ring().Bucket(now).repeats++
	return true
}
