package gateway

import (
	"context"
	"runtime"
	"time"

	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// statusInterval is the time between two lines with the process's resources.
const statusInterval = 5 * time.Second

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
