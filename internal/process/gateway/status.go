package gateway

import (
	"context"
	"maps"
	"runtime"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// statusInterval is the time between two lines with the process's resources.
const statusInterval = 5 * time.Second

// paceChange is the change of a pace, as a factor, from which on it is logged
// again.
const paceChange = 1.15

// pace is what was logged of a service's engines.
type pace struct {
	factor float64
	first  time.Duration
}

// logPaces logs how quickly engines read when that has changed.
func (g *Gateway) logPaces(c *galenalatch.Configuration) {
	maps.DeleteFunc(g.paces, func(name string, _ pace) bool { _, ok := c.Services[name]; return !ok })
	for name, s := range c.Services {
		if !s.Engine {
			continue
		}
		was, ok := g.paces[name]
		if !ok {
			was = pace{1, g.settings.Engine.FirstToken.Std()}
		}
		now := pace{}
		now.factor, now.first = g.table.Pace(name)
		if changed(was.factor, now.factor) || changed(was.first.Seconds(), now.first.Seconds()) {
			g.log.Event(events.EnginePace, "service", name, "factor", hundredths(now.factor), "first", millis(now.first),
				"before", hundredths(was.factor), "firstBefore", millis(was.first))
			g.paces[name] = now
		}
	}
}

// changed reports whether a value is another one by more than paceChange.
func changed(was, now float64) bool {
	return now > was*paceChange || now*paceChange < was
}

// runStatus logs the resources of the process until ctx ends.
func (g *Gateway) runStatus(ctx context.Context) error {
	t := time.NewTicker(statusInterval)
	defer t.Stop()
	var m runtime.MemStats
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-t.C:
			runtime.ReadMemStats(&m)
			g.log.Event(events.ProcessStatus, "callers", g.front.Open(), "streams", g.handler.Streams(),
				"idleServers", g.client.Idle(), "goroutines", runtime.NumGoroutine(),
				"heap", m.HeapInuse, "stacks", m.StackInuse, "system", m.Sys, "collections", m.NumGC, "collectorShare", m.GCCPUFraction)
		}
	}
}
