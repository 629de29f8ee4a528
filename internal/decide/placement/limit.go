package placement

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// limitOwners is the number of routers that may send to a server which has
	// named a limit, each an equal part of it. limitExcess and limitExcessTime are
	// the requests above the limit that the server may get at once: a fixed number,
	// and what the limit allows in a time. So it gets no more than one and a half
	// times its limit, and 5 requests, in any limitWindow, even while one more
	// router takes itself for an owner because its list is old.
	limitOwners     = 3
	limitExcess     = 5.0
	limitExcessTime = limitWindow / 6
	limitWindow     = 4 * time.Second
	// minLimit replaces lower limits, in requests per second, so that the owners
	// learn from an answer that the limit has ended.
	minLimit = 0.1
	// limitReportTime is how long routers report what they know of a limit.
	limitReportTime = 10 * time.Second
	// limitMemory is how long a limit counts without news. Routers that do not own
	// the server would not notice that it has ended while they were cut off.
	limitMemory = 30 * time.Second
)

// limit is what is known of the limit that a server has named: the requests per
// second that it takes from all routers together.
type limit struct {
	// named is set while the server names a limit, and rate is its value.
	named bool
	rate  float64
	// invalid is the value that the server named if it cannot be used.
	invalid string
	// at is when the answer came from which this is known. own is set if this
	// router received it.
	at  time.Time
	own bool
	// everNamed is set if the server has named a limit, so that its end must be
	// reported.
	everNamed bool
	// permits are the requests that this router might send at permitsAt.
	permits   float64
	permitsAt time.Time
}

// LimitReport is what a router knows of the limit of a server. A report without a
// limit says that the limit has ended.
type LimitReport struct {
	Named bool
	Rate  float64
	At    time.Time
}

// limited reports whether the server names a limit.
func (s *server) limited(now time.Time) bool {
	return s.limit.named && now.Sub(s.limit.at) < limitMemory
}

// setLimit replaces what is known of the limit of a server and reports whether it has
// changed. The requests that this router has sent lately count against a new limit.
func (t *Table) setLimit(now time.Time, s *server, next limit) bool {
	old := s.limit
	next.everNamed = old.everNamed || next.named
	switch {
	case old.named:
		next.permits, next.permitsAt = t.permits(now, s), now
	case next.named:
		next.permits, next.permitsAt = -float64(s.recentCount(now)), now
	}
	s.limit = next
	return old.named != next.named || old.rate != next.rate || old.invalid != next.invalid
}

// permits returns the requests that this router may send now to a server that names a
// limit.
func (t *Table) permits(now time.Time, s *server) float64 {
	rate := max(s.limit.rate, minLimit)
	owners := float64(min(limitOwners, max(len(t.routers), 1)))
	return min(s.limit.permits+now.Sub(s.limit.permitsAt).Seconds()*rate/owners, mostPermits(rate))
}

// mostPermits returns the most requests that one owner may send at once.
func mostPermits(rate float64) float64 {
	return (limitExcess + rate*limitExcessTime.Seconds()) / (limitOwners + 1)
}

// spare reports whether the server names a limit of which a part would be lost if
// this router sent no request.
func (t *Table) spare(now time.Time, s *server) bool {
	return s.limited(now) && t.permits(now, s) >= mostPermits(max(s.limit.rate, minLimit))
}

// RecordLimit records whether the head of an answer of the server names a limit, and
// which one. It reports whether that has changed.
func (t *Table) RecordLimit(now time.Time, p *Reservation, h galenalatch.ResponseHead) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := p.server
	return t.setLimit(now, s, limit{named: h.Limited, rate: h.Limit, invalid: h.InvalidLimit, at: now, own: true})
}

// LocalLimits returns what the answers to this router have told lately about limits,
// by the keys that processes of servers have in messages between routers.
func (t *Table) LocalLimits(now time.Time) map[uint32]LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make(map[uint32]LimitReport)
	for _, s := range t.servers {
		l := s.limit
		if l.own && l.everNamed && now.Sub(l.at) < limitReportTime {
			reports[s.ID.ProcessKey(s.Started)] = LimitReport{Named: l.named, Rate: l.rate, At: l.at}
		}
	}
	return reports
}

// SetRemoteLimits adds what other routers know of limits. The newest answer of a
// server counts.
func (t *Table) SetRemoteLimits(now time.Time, reports map[uint32]LimitReport) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		r, ok := reports[s.ID.ProcessKey(s.Started)]
		if ok && r.At.After(s.limit.at) {
			t.setLimit(now, s, limit{named: r.Named, rate: r.Rate, at: r.At})
		}
	}
}

// allowLimited reports whether this router may now send a request to a server that
// names a limit.
func (t *Table) allowLimited(now time.Time, s *server) bool {
	return t.permits(now, s) >= 1 && t.owns(s, limitOwners)
}

// takeLimited counts a request to a server that names a limit.
func (t *Table) takeLimited(now time.Time, s *server) {
	if s.limited(now) {
		s.limit.permits, s.limit.permitsAt = t.permits(now, s)-1, now
	}
}

// returnLimited undoes takeLimited for a request that was not sent.
func (t *Table) returnLimited(p *Reservation) {
	if p.server.limit.named {
		p.server.limit.permits++
	}
}
