package gateway

import (
	"context"
	"maps"
	"runtime"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// statusInterval is the time between two log lines with the resource usage of the
// process.
const statusInterval = 5 * time.Second

// paceLogFactor is the factor by which a pace must change before it is logged
// again.
const paceLogFactor = 1.15

// pace describes how fast the engines of a service produce first tokens. factor is
// the reading time of prompts as a multiple of the configured one, first the time
// from the end of reading to the first token.
type pace struct {
	factor float64
	first  time.Duration
}

// logChangedPaces logs the pace of the engines of each service whose pace has
// changed by more than paceLogFactor since it was last logged.
func (g *Gateway) logChangedPaces(c *galenalatch.Configuration) {
	maps.DeleteFunc(g.loggedPaces, func(name string, _ pace) bool { _, ok := c.Services[name]; return !ok })
	for name, s := range c.Services {
		if !s.Engine {
			continue
		}
		was, ok := g.loggedPaces[name]
		if !ok {
			was = pace{1, g.settings.Engine.FirstToken.Std()}
		}
		now := pace{}
		now.factor, now.first = g.table.Pace(name)
		if differs(was.factor, now.factor) || differs(was.first.Seconds(), now.first.Seconds()) {
			g.log.Event(events.EnginePace, "service", name, "factor", roundToHundredths(now.factor), "first", roundToMillis(now.first),
				"before", roundToHundredths(was.factor), "firstBefore", roundToMillis(was.first))
			g.loggedPaces[name] = now
		}
	}
}

// differs reports whether two values differ by more than paceLogFactor.
func differs(was, now float64) bool {
	return now > was*paceLogFactor || now*paceLogFactor < was
}

// runStatus logs the resource usage of the process until ctx ends.
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
