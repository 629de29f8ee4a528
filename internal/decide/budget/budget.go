// Package budget bounds the repeats of requests to a service over the whole
// fleet.
package budget

import "time"

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

	requests [buckets]int
	repeats  [buckets]int
	at       int64
}

// advance drops what has left the window.
func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / max(int64(b.Window)/(buckets-1), 1)
	if slot-b.at >= buckets || slot < b.at {
		b.requests, b.repeats, b.at = [buckets]int{}, [buckets]int{}, slot
		return
	}
	for b.at < slot {
		b.at++
		b.requests[b.at%buckets], b.repeats[b.at%buckets] = 0, 0
	}
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.at%buckets]++
}

// Repeat takes one repeat. It reports false when the window has none left.
func (b *Budget) Repeat(now time.Time) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	if float64(repeats+1) > b.Ratio*float64(requests)+b.Fixed {
		return false
	}
	b.repeats[b.at%buckets]++
	return true
}
