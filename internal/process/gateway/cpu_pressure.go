package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// pressureInterval is the interval of a timer whose delay shows how long
	// goroutines wait for the processor.
	pressureInterval = 50 * time.Millisecond
	// pressureWeight is the weight of the newest delay in the average.
	pressureWeight = 0.1
	// pressureLimit is the average delay above which the load balancer should
	// send new connections to other routers, pressureHold for how long.
	pressureLimit = 40 * time.Millisecond
	pressureHold  = 4 * time.Second
)

// cpuPressure detects that the process gets too little processor time. The zero
// value is ready for use.
type cpuPressure struct {
	mu           sync.Mutex
	averageDelay float64
	highUntil    time.Time
}

// run measures the delay of a timer until ctx ends.
func (p *cpuPressure) run(ctx context.Context) error {
	for {
		due := time.Now().Add(pressureInterval)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(pressureInterval):
			p.observe(time.Now(), time.Since(due))
		}
	}
}

func (p *cpuPressure) observe(now time.Time, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A single long delay comes from a suspended machine and not from a lack of
	// processor time, so it is capped.
	delay = min(delay, 4*pressureLimit)
	p.averageDelay += (float64(delay) - p.averageDelay) * pressureWeight
	if p.averageDelay > float64(pressureLimit) {
		p.highUntil = now.Add(pressureHold)
	}
}

// overloaded reports whether new connections should go to other routers.
func (p *cpuPressure) overloaded(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.highUntil)
}
