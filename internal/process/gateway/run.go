package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

const (
	// drainAcceptTime is how long new connections are accepted after SIGTERM. In
	// this time the load balancer polls twice and finds the router not ready. No
	// request must be taken later than 3 s after the signal, which a busy process
	// sees late.
	drainAcceptTime = 2500 * time.Millisecond
	// drainMargin is the part of the drain limit that is left for the last log
	// lines.
	drainMargin = 300 * time.Millisecond
)

// Run serves until ctx ends and then drains, for at most the drain limit of the
// settings. It sets the memory limit and GC percentage of the process. It must be
// called once.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(heapLimit(g.settings.MemoryMegabytes << 20))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g.ingress.Handler = g.handler
	servers, listeners, err := g.listen()
	if err != nil {
		return err
	}
	// Timeouts find silent callers sooner than the keep-alive of Go, which costs
	// four system calls for each connection.
	listen := net.ListenConfig{KeepAlive: -1, Control: boundReceiveBuffer}
	callers, err := listen.Listen(work, "tcp", g.settings.Listen.Caller)
	if err != nil {
		g.log.Event(events.ListenerFailed, "address", g.settings.Listen.Caller, "error", err)
		return errors.Join(fmt.Errorf("listen on %s: %w", g.settings.Listen.Caller, err), closeAll(listeners))
	}
	g.log.Event(events.RouterStarted, "dataCentre", g.settings.DataCentre, "caller", g.settings.Listen.Caller, "store", g.settings.Store.Address)
	var group errgroup.Group
	group.Go(func() error { return ignoreCanceled(g.view.Run(work)) })
	group.Go(func() error { return ignoreCanceled(g.loop(work)) })
	group.Go(func() error { return ignoreCanceled(g.reload(work)) })
	group.Go(func() error { return ignoreCanceled(g.watchProcessor(work)) })
	group.Go(func() error { return ignoreCanceled(g.runStatus(work)) })
	group.Go(func() error { return ignoreCanceled(g.health.Run(work)) })
	group.Go(func() error { return ignoreCanceled(g.rollouts.Run(work)) })
	group.Go(func() error { return ignoreCanceled(g.assignments.Run(work)) })
	group.Go(func() error { return ignoreCanceled(g.members.Run(work)) })
	group.Go(func() error { return ignoreCanceled(g.peers.Run(work)) })
	for i, s := range servers {
		group.Go(func() error { return serve(s, listeners[i]) })
	}
	group.Go(func() error { return g.ingress.Serve(callers) })
	<-ctx.Done()
	g.drain(callers)
	for _, s := range servers {
		_ = s.Close()
	}
	stop()
	return group.Wait()
}

// ignoreCanceled returns nil for context.Canceled and err otherwise.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// loop applies new limits, logs changed calibrations, and removes expired
// connections and silent routers until ctx ends.
func (g *Gateway) loop(ctx context.Context) error {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case now := <-t.C:
			if c := g.view.Configuration(); c != nil {
				g.ingress.SetLimits(c.Limits)
				g.logChangedCalibrations(c)
				g.recordKept(c)
			}
			g.ingress.Sweep(now)
			g.logPressure(now)
			g.logRejections(now)
			g.logServed(now)
			g.table.Expire(now)
			g.quarantine.Expire(now)
			g.client.Expire(now, func(s galenalatch.ServerID) bool { return g.table.Usable(now, s) })
			g.removeSilent(ctx, now)
		}
	}
}

// reload validates the settings file on SIGHUP and logs the result. A running
// process keeps its settings, since all of them describe the instance; the new
// ones apply after the next start.
func (g *Gateway) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-g.reloadSignals:
			_, err := gateway.Load(g.path)
			g.log.Event(events.SettingsReloaded, "error", err)
		}
	}
}

// drain stops serving. It waits for running requests up to the drain limit.
func (g *Gateway) drain(callers net.Listener) {
	limit := g.settings.Drain.Limit.Std() - drainMargin
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	g.draining.Store(true)
	g.handler.Drain()
	g.log.Event(events.DrainStarted, "limit", limit)
	// The time counts from the signal, whether or not the store responds to Leave.
	accepting, stopAccepting := context.WithTimeout(ctx, min(drainAcceptTime, limit/2))
	defer stopAccepting()
	if err := g.members.Leave(accepting); err != nil {
		g.log.Event(events.MembersChanged, "left", g.settings.ID, "error", err)
	}
	<-accepting.Done()
	// The listener stays open until here, since the load balancer may still open
	// connections. An error means that it is closed already.
	_ = callers.Close()
	err := g.ingress.Shutdown(ctx)
	cut := 0
	if err != nil {
		cut = g.ingress.OpenConnections()
	}
	g.log.Event(events.DrainEnded, "late", g.ingress.LateRequests(), "cut", cut, "error", err)
	g.log.Event(events.RouterStopped)
}
