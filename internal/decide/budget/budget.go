// Package budget bounds the repeats of requests to a service over the whole
// fleet.
package budget

import (
	"time"

	"github.com/galenalatch/galenalatch/internal/decide/window"
)

// buckets is the number of parts into which the window is divided.
const buckets = 20

// Budget counts requests and repeats of one service in a sliding window. A
// router may use its share of the fleet's fixed part, and the ratio of its
// own requests. It is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of repeats that each request of the window allows.
	Ratio float64
	// Fixed is the number of repeats in a window without requests.
	Fixed  float64
	Window time.Duration

	counts *window.Ring[count]
}

// count holds the requests and repeats of a part of the window.
type count struct {
	requests int
	repeats  int
}

// ring returns the window. Its parts cover the whole window also while the
// newest one has just begun.
func (b *Budget) ring() *window.Ring[count] {
	if b.counts == nil {
		b.counts = window.New[count](b.Window/(buckets-1), buckets)
	}
	return b.counts
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) {
	b.ring().Part(now).requests++
}

// Repeat takes one repeat. It reports false when the window has none left.
func (b *Budget) Repeat(now time.Time) bool {
	requests, repeats := 0, 0
	for c := range b.ring().All(now) {
		requests += c.requests
		repeats += c.repeats
	}
	if float64(repeats+1) > b.Ratio*float64(requests)+b.Fixed {
		return false
	}
	b.ring().Part(now).repeats++
	return true
}
