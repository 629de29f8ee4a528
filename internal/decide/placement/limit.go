package placement

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// limit is what is known of the limit that a server has named: the requests per
// second that it takes from all routers together.
type limit struct {
	// named is set while the server names a limit, and rate is its value.
	named bool
	rate  float64
	// invalid is the value that the server named if it cannot be used.
	invalid string
	// at is when the answer came from which this is known.
	at time.Time
}

// RecordLimit records whether the head of an answer of the server names a limit, and
// which one. It reports whether that has changed.
func (t *Table) RecordLimit(now time.Time, p *Reservation, h galenalatch.ResponseHead) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := p.server
	old := s.limit
	s.limit = limit{named: h.Limited, rate: h.Limit, invalid: h.InvalidLimit, at: now}
	return old.named != s.limit.named || old.rate != s.limit.rate || old.invalid != s.limit.invalid
}
