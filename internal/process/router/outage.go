package router

import (
	"sync"
	"time"

	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// outage logs the start and the end of each platform outage once.
type outage struct {
	log   *events.Log
	mu    sync.Mutex
	since time.Time
}

// record takes the result of a call to the platform.
func (o *outage) record(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil && o.since.IsZero():
		o.since = time.Now()
		o.log.Event(events.PlatformDown, "error", err)
	case err == nil && !o.since.IsZero():
		o.log.Event(events.PlatformUp, "after", time.Since(o.since).Round(time.Millisecond))
		o.since = time.Time{}
	}
}
