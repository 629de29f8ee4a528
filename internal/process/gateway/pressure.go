package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// pressureTick is the interval of a timer whose lateness tells how long
	// work waits for the processor.
	pressureTick = 50 * time.Millisecond
	// pressureWeight is the share of the newest lateness in the average.
	pressureWeight = 0.1
	// pressureLimit is the average lateness above which the balancer should
	// send new connections elsewhere, pressureHold for how long.
	pressureLimit = 40 * time.Millisecond
	pressureHold  = 4 * time.Second
)

// pressure tells when the process has too little processor time. The zero
// value is ready for use.
type pressure struct {
	mu      sync.Mutex
	average float64
	until   time.Time
}

// run measures until ctx ends.
func (p *pressure) run(ctx context.Context) error {
	for {
		due := time.Now().Add(pressureTick)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(pressureTick):
			p.observe(time.Now(), time.Since(due))
		}
	}
}

func (p *pressure) observe(now time.Time, late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// One long pause is a suspended machine and not a lack of processor time.
	late = min(late, 4*pressureLimit)
	p.average += (float64(late) - p.average) * pressureWeight
	if p.average > float64(pressureLimit) {
		p.until = now.Add(pressureHold)
	}
}

// high reports whether new connections should go elsewhere.
func (p *pressure) high(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until)
}
