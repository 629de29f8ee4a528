package gateway

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch/internal/caller/ingress"
	"github.com/galenalatch/galenalatch/internal/decide/overload"
	"github.com/galenalatch/galenalatch/internal/telemetry/scheduler"
)

// waitQuantile is the quantile of the waits of goroutines for the processor that
// describes its load.
const waitQuantile = 0.9

// watchProcessor limits new connections by how long goroutines wait for the
// processor, until ctx ends.
func (g *Gateway) watchProcessor(ctx context.Context) error {
	t := time.NewTicker(overload.Interval)
	defer t.Stop()
	waits, connections := scheduler.New(), firstReads{ingress: g.ingress}
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case now := <-t.C:
			read, _ := connections.next()
			g.overload.Observe(now, waits.Quantile(waitQuantile), int(read))
		}
	}
}

// firstReads reads the counters of an ingress at intervals.
type firstReads struct {
	ingress *ingress.Server
	count   int64
	wait    time.Duration
}

// next returns by how much the counters have grown since the last call.
func (f *firstReads) next() (count int64, wait time.Duration) {
	n, total := f.ingress.FirstReads()
	count, wait = n-f.count, total-f.wait
	f.count, f.wait = n, total
	return count, wait
}

// meanWait returns the mean time from the accept of a connection to its first
// bytes, over the connections since the last call, or 0 if there were none.
func (f *firstReads) meanWait() time.Duration {
	count, wait := f.next()
	if count == 0 {
		return 0
	}
	return wait / time.Duration(count)
}
