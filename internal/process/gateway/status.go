package gateway

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
	"github.com/galenalatch/galenalatch/internal/telemetry/scheduler"
)

// statusInterval is the time between two log lines with the resource usage of the
// process.
const statusInterval = 5 * time.Second

// calibrationLogFactor is the factor by which a calibration must change before
// it is logged again.
const calibrationLogFactor = 1.15

// calibration describes how fast the engines of a service produce first tokens.
// factor is the prefill time of prompts as a multiple of the configured one,
// first the time from the end of the prefill to the first token.
type calibration struct {
	factor float64
	first  time.Duration
}

// logChangedCalibrations logs the calibration of the engines of each service
// whose calibration has changed by more than calibrationLogFactor since it was
// last logged.
func (g *Gateway) logChangedCalibrations(c *galenalatch.Configuration) {
	maps.DeleteFunc(g.loggedCalibrations, func(name string, _ calibration) bool { _, ok := c.Services[name]; return !ok })
	for name, s := range c.Services {
		if !s.Engine {
			continue
		}
		was, ok := g.loggedCalibrations[name]
		if !ok {
			was = calibration{1, g.settings.Engine.FirstToken.Std()}
		}
		now := calibration{}
		now.factor, now.first = g.table.Calibration(name)
		if differs(was.factor, now.factor) || differs(was.first.Seconds(), now.first.Seconds()) {
			g.log.Event(events.EngineSpeed, "service", name, "factor", roundToHundredths(now.factor), "first", roundToMillis(now.first),
				"before", roundToHundredths(was.factor), "firstBefore", roundToMillis(was.first))
			g.loggedCalibrations[name] = now
		}
	}
}

// recordKept updates the metrics on what the engines of each service keep, and logs when
// they begin to keep fewer than half of the prompts that they should, or more again.
func (g *Gateway) recordKept(c *galenalatch.Configuration) {
	maps.DeleteFunc(g.forgetting, func(name string, _ bool) bool { _, ok := c.Services[name]; return !ok })
	for name, s := range c.Services {
		if !s.Engine {
			continue
		}
		k := g.table.KeptStatistics(name)
		g.metrics.recordKept(name, k)
		if forgets := k.HomeHits[0] < 0.5; forgets != g.forgetting[name] {
			g.forgetting[name] = forgets
			g.log.Event(events.KeptChanged, "service", name, "kept", roundToHundredths(k.HomeHits[0]), "forgetful", k.Forgetful)
		}
	}
}

// differs reports whether two values differ by more than calibrationLogFactor.
func differs(was, now float64) bool {
	return now > was*calibrationLogFactor || now*calibrationLogFactor < was
}

// runStatus logs the resource usage of the process until ctx ends.
func (g *Gateway) runStatus(ctx context.Context) error {
	t := time.NewTicker(statusInterval)
	defer t.Stop()
	var m runtime.MemStats
	waits := scheduler.New()
	connections := firstReads{ingress: g.ingress}
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-t.C:
			runtime.ReadMemStats(&m)
			g.log.Event(events.ProcessStatus, "callers", g.ingress.OpenConnections(), "shed", g.ingress.ShedConnections(), "streams", g.handler.Streams(),
				"firstReadWait", roundToMillis(connections.meanWait()), "processorWait", roundToMillis(waits.Quantile(waitQuantile)),
				"idleServers", g.client.Idle(), "unavailable", g.unavailable(time.Now()), "goroutines", runtime.NumGoroutine(),
				"heap", m.HeapInuse, "stacks", m.StackInuse, "system", m.Sys, "collections", m.NumGC, "collectorShare", m.GCCPUFraction)
		}
	}
}

// unavailable returns the numbers of servers that get no requests now, by reason.
func (g *Gateway) unavailable(now time.Time) string {
	var counts []string
	for _, r := range placement.Reasons {
		if n := g.table.Count(now, r); n > 0 && r != placement.Available {
			counts = append(counts, fmt.Sprintf("%s:%d", r, n))
		}
	}
	return strings.Join(counts, ",")
}
