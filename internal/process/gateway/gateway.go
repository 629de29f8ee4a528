// Package gateway runs a router that forwards requests on the routes of operators
// to registered backend servers. It keeps no state on disk: all persistent data is
// in the store of the platform.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/dial"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/caller/host"
	"github.com/galenalatch/galenalatch/internal/caller/ingress"
	"github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/decide/admission"
	"github.com/galenalatch/galenalatch/internal/decide/budget"
	"github.com/galenalatch/galenalatch/internal/decide/overload"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/prefill"
	"github.com/galenalatch/galenalatch/internal/decide/quarantine"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/members"
	"github.com/galenalatch/galenalatch/internal/fleet/relay"
	"github.com/galenalatch/galenalatch/internal/fleet/view"
	"github.com/galenalatch/galenalatch/internal/peer/load"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
	"github.com/galenalatch/galenalatch/internal/telemetry/logwriter"
	"github.com/galenalatch/galenalatch/platform"
)

const (
	// memoryShare is the share of the memory limit for the Go heap; the rest is
	// for stacks, socket buffers and the program.
	memoryShare = 0.7
	// gcPercent (GOGC) lets the heap grow further before a collection, since
	// processor time is scarcer than memory.
	gcPercent = 300
	// operatorWaitShare is the longest time for which the store holds a poll
	// for changes of the configuration, as a share of the time within which
	// removed keys must be rejected. Each response confirms the configuration
	// as the newest one.
	operatorWaitShare = 0.3
	// storeSilence and serverSilence are the times without an acknowledgement
	// after which a connection is closed.
	storeSilence  = time.Second
	serverSilence = time.Second
	// dialTimeout bounds the time to open a connection to a backend server,
	// probeTimeout that to find out whether a server has ended, before a request
	// is retried. maxIdlePerServer is the number of idle connections to a server.
	dialTimeout      = 400 * time.Millisecond
	probeTimeout     = 100 * time.Millisecond
	maxIdlePerServer = 16
	// expiryInterval is the interval at which expired connections and servers
	// are removed.
	expiryInterval = 250 * time.Millisecond
	// proofMargin is subtracted from the times within which changes must be
	// applied and removed keys rejected.
	proofMargin = 150 * time.Millisecond
	// drainAcceptTime is how long new connections are accepted after SIGTERM. In
	// this time the load balancer polls twice and finds the router not ready. No
	// request must be taken later than 3 s after the signal, which a busy process
	// sees late.
	drainAcceptTime = 2500 * time.Millisecond
	// drainMargin is the part of the drain limit that is left for the last log
	// lines.
	drainMargin = 300 * time.Millisecond
	// retryBudgetShare is the share of the retry budget that is used.
	// unlistedRouters is the number of routers that may be missing from the
	// list.
	retryBudgetShare = 0.8
	unlistedRouters  = 4
	// shareWindow is the window over which the fair shares of workspaces are
	// computed.
	shareWindow = 4 * time.Second
	// descriptorShare is the share of the file descriptors for connections of
	// callers.
	descriptorShare = 0.25
)

// Gateway is one router process. New returns one that is ready to Run.
type Gateway struct {
	settings      gateway.Settings
	path          string
	reloadSignals <-chan os.Signal
	log           *events.Log
	logWriter     *logwriter.Writer
	metrics       *gatewayMetrics
	table         *placement.Table
	view          *view.View
	client        *exchange.Client
	handler       *host.Handler
	ingress       *ingress.Server
	ledger        *share.Ledger
	quarantine    *quarantine.List
	policy        admission.Policy
	prefills      *prefill.Means
	relay         *relay.Store
	members       *members.List
	peers         *load.Syncer
	routers       atomic.Int64
	// routerIDs is the list of routers, sorted.
	routerIDs atomic.Pointer[[]string]
	// lastSilenceCheck is the time of the last check for silent routers. Only
	// loop uses it.
	lastSilenceCheck time.Time
	// loggedCalibrations holds the last logged calibration of the engines of each
	// service. Only loop uses it.
	loggedCalibrations map[string]calibration
	overload           overload.Limiter
	draining           atomic.Bool
	wasReady           atomic.Bool
}

// New returns a gateway with the settings in the file at path. It logs to out. On
// each signal from reload it validates the file again; a running gateway keeps its
// settings.
func New(path string, out *logwriter.Writer, reload <-chan os.Signal) (*Gateway, error) {
	s, err := gateway.Load(path)
	if err != nil {
		return nil, err
	}
	log, err := events.New(out, s.Log.Level, s.Log.Format)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		settings: s, path: path, log: log.With("router", s.ID), logWriter: out,
		reloadSignals: reload,
		ledger:        share.New(shareWindow), policy: admission.Default(), prefills: prefill.New(), loggedCalibrations: make(map[string]calibration),
	}
	g.metrics = newMetrics(counters{
		droppedLines: out.Dropped, routers: g.routers.Load,
		shedConnections: func() int64 { return g.ingress.ShedConnections() },
	})
	obs := observer{log: g.log, metrics: g.metrics}
	g.table = placement.New(placement.Options{
		Self: s.ID, Local: s.DataCentre, PrefillRate: s.Engine.ReadRate, FirstToken: s.Engine.FirstToken.Std(),
		ColdRateFactor: s.Cold.Over, ColdSlack: s.Cold.Slack,
	})
	g.quarantine = quarantine.New(quarantine.Options{Owner: g.ownsPart, Held: obs.partHeld, Released: obs.partReleased})
	g.relay = relay.New(relay.Options{
		Store: platform.New(s.Store.Address, dial.Dialer{Silence: storeSilence}.DialContext),
		Send:  func(a galenalatch.StoreAnswer) { g.peers.ForwardStoreAnswer(a) },
	})
	g.view = view.New(view.Options{
		Store: g.relay, Table: g.table, Clock: bootTime, Events: obs,
		OperatorWait: time.Duration(operatorWaitShare * float64(s.KeyRemoval)),
	})
	g.client = exchange.New(exchange.Options{
		Dial: dial.Dialer{Silence: serverSilence}.DialContext, Headers: platform.Headers{},
		DialTimeout: dialTimeout, ProbeTimeout: probeTimeout, MaxIdle: maxIdlePerServer, OnDial: g.metrics.dials.Inc,
	})
	g.handler = host.New(host.Options{
		View: g.view, Table: g.table, Client: g.client, Headers: platform.Headers{}, Events: obs,
		MaxProofAge:  s.KeyRemoval.Std() - proofMargin,
		MaxDenialAge: s.ConfigurationApply.Std() - proofMargin,
		PassLimit:    s.PassLimit.Std(),
		NewBudget:    g.newBudget,
		FixedRetries: g.fixedRetries,
		Admit:        g.admit,
		Ledger:       g.ledger,
		Quarantine:   g.quarantine,
	})
	g.ingress = &ingress.Server{
		MaxConnections:  int(descriptorShare * float64(s.Descriptors)),
		Admit:           g.overload.Admit,
		RejectionHeader: host.RefusalHeader(platform.Headers{}),
		AcceptFailed:    func(err error) { g.log.Event(events.ListenerFailed, "address", s.Listen.Caller, "error", err) },
	}
	g.initPeers(obs)
	return g, nil
}

// bootTime returns the time since boot, which includes time in suspend.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// All kernels since Linux 2.6.39 have this clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}

func (g *Gateway) newBudget() *budget.Budget {
	r := g.settings.Repeats
	return &budget.Budget{Ratio: retryBudgetShare * r.Ratio, Window: r.Window.Std()}
}

// fixedRetries returns this router's share of the fixed part of the retry budget.
// The list of routers may lack new ones, so the share is computed for a larger
// fleet. It is 0 before the list was read.
func (g *Gateway) fixedRetries() float64 {
	routers := g.routers.Load()
	if routers == 0 {
		return 0
	}
	return retryBudgetShare * g.settings.Repeats.Fixed / float64(routers+unlistedRouters)
}

// admit decides whether a request is admitted. It applies the policy to streams
// only.
func (g *Gateway) admit(now time.Time, d host.AdmissionRequest) (share.Fractions, bool) {
	if d.Route.Kind != galenalatch.StreamWork {
		return share.Fractions{}, true
	}
	fractions := g.ledger.Fractions(now, d.Workspace, d.TokenRate)
	// A request that announces an absurd prompt must not change the mean.
	mean := g.prefills.Add(d.Route.Name, min(d.Prefill, d.Route.TargetLatency))
	return fractions, g.policy.Admit(admission.Request{
		TargetLatency: d.Route.TargetLatency, TimeLimit: d.TimeLimit, Waited: d.Waited, Wait: d.Wait, Prefill: d.Prefill, MeanPrefill: mean,
		Overhead: d.Overhead, Spare: d.Spare, Fractions: fractions,
	})
}

// Run serves until ctx ends and then drains, for at most the drain limit of the
// settings. It sets the memory limit and GC percentage of the process. It must be
// called once.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(g.settings.MemoryMegabytes<<20)))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g.ingress.Handler = g.handler
	servers, listeners, err := g.listen()
	if err != nil {
		return err
	}
	// Timeouts find silent callers sooner than the keep-alive of Go, which costs
	// four system calls for each connection.
	listen := net.ListenConfig{KeepAlive: -1}
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
			}
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
	if err := g.members.Leave(ctx); err != nil {
		g.log.Event(events.MembersChanged, "left", g.settings.ID, "error", err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(drainAcceptTime, limit/2)):
	}
	// The listener stays open until here, since the load balancer may still open
	// connections. An error means that it is closed already.
	_ = callers.Close()
	err := g.ingress.Shutdown(ctx)
	g.log.Event(events.DrainEnded, "error", err)
	g.log.Event(events.RouterStopped)
}
