package router

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// releaseWait bounds the release of one lease. A lease that cannot be
// released is taken over when it has run out.
const releaseWait = 3 * time.Second

// drain ends the router without cutting off a request. New requests are
// served until the load balancer has seen that the router is not ready.
func (r *Router) drain(ctx context.Context) error {
	r.draining.Store(true)
	r.setReady()
	r.log.Event(events.DrainStarted, "delay", r.settings.Drain.Delay, "requests", r.entry.Active())
	r.handOver(ctx)
	select {
	case <-time.After(r.settings.Drain.Delay.Std()):
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(ctx, r.settings.Drain.Limit.Std())
	defer cancel()
	err := r.listener.Shutdown(limited)
	if ctx.Err() == nil {
		flush, done := context.WithTimeout(ctx, releaseWait)
		defer done()
		_ = r.mesh.Flush(flush)
	}
	r.settleClaims(limited)
	r.log.Event(events.DrainEnded, "requests", r.entry.Active())
	return err
}

// settlePoll is the time between two looks at the claims.
const settlePoll = 50 * time.Millisecond

// settleClaims waits until the stored answers of finished requests are
// written, so that repeated requests get them.
func (r *Router) settleClaims(ctx context.Context) {
	tick := time.NewTicker(settlePoll)
	defer tick.Stop()
	for r.claims.Pending() > 0 {
		select {
		case <-ctx.Done():
			r.log.Event(events.ClaimFailed, "claims", r.claims.Pending())
			return
		case <-tick.C:
		}
	}
}

// handOver gives the held cells to other routers. Granting stops before the
// lease is released, so that two holders never grant at once.
func (r *Router) handOver(ctx context.Context) {
	for _, h := range r.host.Stop(ctx) {
		next := r.successor(h.Cell)
		if next != "" {
			r.mesh.Send(next, h)
		}
		release, cancel := context.WithTimeout(ctx, releaseWait)
		err := r.leases.Release(release, h.Cell, next)
		cancel()
		r.log.Event(events.CellHandedOver, "cell", h.Cell, "epoch", h.Epoch, "successor", next, "error", err)
	}
}

// successor returns the first other candidate that is reachable.
func (r *Router) successor(c galenalatch.CellID) galenalatch.RouterID {
	for _, id := range r.fleet.Directory().Candidates(c) {
		if id != r.settings.ID && r.reachable(id) {
			return id
		}
	}
	return ""
}
