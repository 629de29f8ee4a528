// Package overload decides which callers a router turns away because it lacks
// processor time.
//
// A router that accepts more requests than it can read serves none of them in
// time: it reads each one when its caller has left or is about to leave, and the
// work for these keeps the others waiting. It has to turn callers away before it
// spends time on them.
package overload

import (
	"sync"
	"time"
)

const (
	// Interval is the time between two observations.
	Interval = 100 * time.Millisecond
	// maxWait is the wait for the processor above which new connections are
	// limited. A processor with a quota of a tenth of a second makes others wait
	// for up to that time without a queue.
	maxWait = 120 * time.Millisecond
	// minLongWaits is the number of successive intervals with a longer wait
	// after which it counts: one of them comes from a suspended machine.
	minLongWaits = 2
	// drainShare is the share of the connections read lately that are accepted
	// while the wait is above maxWait, so that the queue gets shorter.
	drainShare = 0.75
	// growth is the factor by which the limit grows in each interval with a
	// shorter wait. Above releaseFactor times what is read there is no limit.
	growth        = 1.05
	releaseFactor = 2
	// minRate is the lowest limit, in connections per second.
	minRate = 10
	// newestWeight is the weight of the newest interval in averages.
	newestWeight = 0.2
	// averageLimit is the average wait above which the load balancer should use
	// other routers. A single wait counts at most maxCountedWait: a longer one
	// comes from a suspended machine.
	averageLimit   = 60 * time.Millisecond
	maxCountedWait = 4 * averageLimit
	// minHold is how long the load balancer should then use other routers. When
	// the wait is high again soon after, the time doubles, up to maxHold, so that
	// callers who are too many for one router find several.
	minHold = 4 * time.Second
	maxHold = 16 * time.Second
)

// Limiter limits new connections by how long work waits for the processor. The
// zero value is ready for use. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// observed is the time of the last observation.
	observed    time.Time
	averageWait float64
	// readRate is the average rate of first reads of connections, per second.
	readRate float64
	// rate is the limit in connections per second, or 0 without one. tokens is
	// the number of connections that may be accepted before the next
	// observation.
	rate, tokens float64
	// longWaits is the number of successive intervals with a wait above maxWait.
	longWaits int
	// hold is the length of the last time in which callers should use other
	// routers, holdUntil its end.
	hold      time.Duration
	holdUntil time.Time
}

// Observe records how long work had to wait since the last call, and the number
// of connections that were read for the first time since then.
func (l *Limiter) Observe(now time.Time, wait time.Duration, read int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.averageWait += (float64(min(wait, maxCountedWait)) - l.averageWait) * newestWeight
	elapsed := Interval
	if !l.observed.IsZero() {
		elapsed = max(now.Sub(l.observed), Interval)
	}
	l.observed = now
	l.readRate += (float64(read)/elapsed.Seconds() - l.readRate) * newestWeight
	if l.averageWait > float64(averageLimit) {
		l.extendHold(now)
	}
	l.longWaits++
	if wait <= maxWait {
		l.longWaits = 0
	}
	switch {
	case l.longWaits >= minLongWaits:
		l.rate = max(drainShare*l.readRate, minRate)
	case l.rate > max(releaseFactor*l.readRate, minRate):
		l.rate = 0
	default:
		l.rate *= growth
	}
	burst := l.rate * Interval.Seconds()
	l.tokens = min(l.tokens+burst, max(burst, 1))
}

// extendHold lets callers use other routers for longer.
func (l *Limiter) extendHold(now time.Time) {
	switch {
	case now.Before(l.holdUntil):
	case now.Sub(l.holdUntil) < l.hold:
		l.hold = min(2*l.hold, maxHold)
	default:
		l.hold = minHold
	}
	l.holdUntil = now.Add(l.hold)
}

// Admit reports whether a new connection is accepted.
func (l *Limiter) Admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate == 0 {
		return true
	}
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Overloaded reports whether callers should use other routers.
func (l *Limiter) Overloaded(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.holdUntil)
}
