package router

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// releaseTimeout bounds the release of one lease and the flush of messages to
// peers. A lease that cannot be released is taken over after it has expired.
const releaseTimeout = 3 * time.Second

// drain shuts the router down without interrupting requests, within the drain
// limit. New requests are served for the drain delay, in which the load balancer
// finds that the router is not ready.
func (r *Router) drain(ctx context.Context) error {
	r.draining.Store(true)
	r.updateReady()
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
		flush, done := context.WithTimeout(ctx, releaseTimeout)
		defer done()
		_ = r.mesh.Flush(flush)
	}
	r.awaitClaims(limited)
	r.log.Event(events.DrainEnded, "requests", r.entry.Active())
	return err
}

// claimPollInterval is the time between two checks for pending claims.
const claimPollInterval = 50 * time.Millisecond

// awaitClaims waits until the answers of finished requests are stored, so that
// repeated requests get them, or until ctx ends.
func (r *Router) awaitClaims(ctx context.Context) {
	tick := time.NewTicker(claimPollInterval)
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

// handOver passes the held cells to other routers. Granting stops before a
// lease is released, so that two holders never grant at the same time.
func (r *Router) handOver(ctx context.Context) {
	for _, h := range r.dispatcher.StopGranting(ctx) {
		next := r.successor(h.Cell)
		if next != "" {
			r.mesh.Send(next, h)
		}
		release, cancel := context.WithTimeout(ctx, releaseTimeout)
		err := r.leases.Release(release, h.Cell, next)
		cancel()
		r.log.Event(events.CellHandedOver, "cell", h.Cell, "epoch", h.Epoch, "successor", next, "error", err)
	}
}

// successor returns the first candidate for the lease that is reachable and not
// this router, or "".
func (r *Router) successor(c galenalatch.CellID) galenalatch.RouterID {
	for _, id := range r.fleet.Directory().LeaseCandidates(c) {
		if id != r.settings.ID && r.reachable(id) {
			return id
		}
	}
	return ""
}
