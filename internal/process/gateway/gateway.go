// Package gateway runs a router that serves operators' routes in front of
// registered backend servers. It keeps nothing: what must last is in the
// platform's store.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/dial"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/caller/front"
	"github.com/galenalatch/galenalatch/internal/caller/host"
	"github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/decide/admission"
	"github.com/galenalatch/galenalatch/internal/decide/budget"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/members"
	"github.com/galenalatch/galenalatch/internal/fleet/relay"
	"github.com/galenalatch/galenalatch/internal/fleet/view"
	"github.com/galenalatch/galenalatch/internal/peer/use"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
	"github.com/galenalatch/galenalatch/internal/telemetry/sink"
	"github.com/galenalatch/galenalatch/platform"
)

const (
	// memoryShare of the memory limit is for the heap; the rest is for
	// stacks, socket buffers and the program.
	memoryShare = 0.7
	// collectorPercent lets the heap grow further before a collection, since
	// processor time is scarcer than memory.
	collectorPercent = 300
	// operatorWait is the share of the time within which removed keys end
	// for which the store holds a call without a change. It bounds the age of
	// the proof of the configuration.
	operatorWait = 0.3
	// storeSilence and serverSilence bound the time after which a silent
	// connection counts as broken.
	storeSilence  = time.Second
	serverSilence = time.Second
	// dialTime bounds the opening of a connection to a backend server.
	dialTime = 400 * time.Millisecond
	maxIdle  = 16
	// housekeeping is the interval of expiring connections and servers.
	housekeeping = 250 * time.Millisecond
	// proofMargin is subtracted from the time within which a removed key
	// must not be used any more.
	proofMargin = 150 * time.Millisecond
	// readyProof is the share of the allowed age of the proof above which
	// the router is not ready.
	readyProof = 0.9
	// drainNotice is how long new connections are accepted after SIGTERM,
	// until the balancer has seen twice that the router is not ready.
	drainNotice = 3 * time.Second
	// drainMargin is left at the end of the drain for the last log lines.
	drainMargin = 300 * time.Millisecond
	// budgetMargin is the part of the budget of repeats that is used, and
	// budgetSpare the number of routers that may not be in the list yet.
	budgetMargin = 0.8
	budgetSpare  = 4
	// shareWindow is the time over which workspaces share capacity.
	shareWindow = 4 * time.Second
	// descriptorShare of the open files are for connections with callers.
	descriptorShare = 0.25
	// headerTime and idleTime bound the calls of others than callers.
	headerTime = 10 * time.Second
	idleTime   = 2 * time.Minute
)

// Gateway is one router process.
type Gateway struct {
	settings gateway.Settings
	path     string
	again    <-chan os.Signal
	log      *events.Log
	lines    *sink.Writer
	count    *counters
	table    *placement.Table
	view     *view.View
	client   *exchange.Client
	handler  *host.Handler
	front    *front.Server
	ledger   *share.Ledger
	policy   admission.Policy
	relay    *relay.Store
	members  *members.List
	peers    *use.Syncer
	routers  atomic.Int64
	// looked is when silent routers were looked for.
	looked time.Time
	// paces are what was logged of the engines, by service. Only the loop uses
	// them.
	paces    map[string]pace
	pressure pressure
	draining atomic.Bool
	wasReady atomic.Bool
}

// New returns a gateway with the settings in a file. Its log goes to out. It
// reads the file again for each signal from reload.
func New(path string, out *sink.Writer, reload <-chan os.Signal) (*Gateway, error) {
	s, err := gateway.Load(path)
	if err != nil {
		return nil, err
	}
	log, err := events.New(out, s.Log.Level, s.Log.Format)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		settings: s, path: path, log: log.With("router", s.ID), lines: out,
		again:  reload,
		ledger: share.New(shareWindow), policy: admission.Default(), paces: make(map[string]pace),
	}
	g.count = newCounters(out.Dropped)
	observe := observer{log: g.log, count: g.count}
	g.table = placement.New(placement.Options{
		Self: s.ID, Local: s.DataCentre, ReadRate: s.Engine.ReadRate, FirstToken: s.Engine.FirstToken.Std(),
		ColdOver: s.Cold.Over, ColdSlack: s.Cold.Slack,
	})
	g.relay = relay.New(relay.Options{
		Store: platform.New(s.Store.Address, dial.Dialer{Silence: storeSilence}.DialContext),
		Send:  func(a galenalatch.StoreAnswer) { g.peers.ForwardStoreAnswer(a) },
	})
	g.view = view.New(view.Options{
		Store: g.relay, Table: g.table, Clock: steady, Events: observe,
		OperatorWait: time.Duration(operatorWait * float64(s.KeyRemoval)),
	})
	g.client = exchange.New(exchange.Options{
		Dial: dial.Dialer{Silence: serverSilence}.DialContext, Headers: platform.Headers{},
		DialTimeout: dialTime, MaxIdle: maxIdle, OnDial: g.count.dials.Inc,
	})
	g.handler = host.New(host.Options{
		View: g.view, Table: g.table, Client: g.client, Headers: platform.Headers{}, Events: observe,
		MaxProofAge:  s.KeyRemoval.Std() - proofMargin,
		PassLimit:    s.PassLimit.Std(),
		NewBudget:    g.newBudget,
		FixedRetries: g.fixedRepeats,
		Admit:        g.admit,
		Ledger:       g.ledger,
	})
	g.front = &front.Server{
		MaxConnections: int(descriptorShare * float64(s.Descriptors)),
		Refused:        func(err error) { g.log.Event(events.ListenerFailed, "address", s.Listen.Caller, "error", err) },
	}
	g.join(observe)
	return g, nil
}

// steady reads the clock that also counts while the machine is suspended.
func steady() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has had this clock since version 2.6.39.
		panic(err)
	}
	return time.Duration(t.Nano())
}

func (g *Gateway) newBudget() *budget.Budget {
	r := g.settings.Repeats
	return &budget.Budget{Ratio: budgetMargin * r.Ratio, Window: r.Window.Std()}
}

// fixedRepeats is this router's share of the fixed part of the budget. The
// list of routers may be behind, so the share is that of a larger fleet, and
// nothing before the list was read.
func (g *Gateway) fixedRepeats() float64 {
	routers := g.routers.Load()
	if routers == 0 {
		return 0
	}
	return budgetMargin * g.settings.Repeats.Fixed / float64(routers+budgetSpare)
}

// admit asks the policy, with what the workspace had of its share.
func (g *Gateway) admit(now time.Time, d host.Demand) (share, ofBegun float64, ok bool) {
	if d.Route.Kind != galenalatch.StreamWork {
		return 0, 0, true
	}
	share, ofBegun = g.ledger.Fractions(now, d.Workspace, d.TokenRate)
	return share, ofBegun, g.policy.Admit(admission.Demand{
		Aim: d.Route.Aim, Waited: d.Waited, Wait: d.Wait, Overhead: d.Overhead, Fraction: share, OfBegun: ofBegun,
	})
}

// Run serves until ctx ends, then drains. A second signal is not needed: the
// drain is bounded.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(g.settings.MemoryMegabytes<<20)))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g.front.Handler = g.handler
	servers, listeners, err := g.open()
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", g.settings.Listen.Caller)
	if err != nil {
		g.log.Event(events.ListenerFailed, "address", g.settings.Listen.Caller, "error", err)
		return errors.Join(fmt.Errorf("listen on %s: %w", g.settings.Listen.Caller, err), closeAll(listeners))
	}
	g.log.Event(events.RouterStarted, "dataCentre", g.settings.DataCentre, "caller", g.settings.Listen.Caller, "store", g.settings.Store.Address)
	var group errgroup.Group
	group.Go(func() error { return ended(g.view.Run(work)) })
	group.Go(func() error { return ended(g.loop(work)) })
	group.Go(func() error { return ended(g.reload(work)) })
	group.Go(func() error { return ended(g.pressure.run(work)) })
	group.Go(func() error { return ended(g.runStatus(work)) })
	group.Go(func() error { return ended(g.members.Run(work)) })
	group.Go(func() error { return ended(g.peers.Run(work)) })
	for i, s := range servers {
		group.Go(func() error { return serve(s, listeners[i]) })
	}
	group.Go(func() error { return g.front.Serve(callers) })
	<-ctx.Done()
	g.drain(callers)
	for _, s := range servers {
		_ = s.Close()
	}
	stop()
	return group.Wait()
}

// ended returns nil for the end of a context.
func ended(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// open listens on the addresses for others than callers.
func (g *Gateway) open() ([]*http.Server, []net.Listener, error) {
	readiness, metrics := http.NewServeMux(), http.NewServeMux()
	readiness.HandleFunc("/", g.serveReady)
	metrics.Handle("/metrics", g.count.handler())
	var servers []*http.Server
	var listeners []net.Listener
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{g.settings.Listen.Readiness, readiness},
		{g.settings.Listen.Peer, g.peers},
		{g.settings.Listen.Metrics, metrics},
	} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			g.log.Event(events.ListenerFailed, "address", s.address, "error", err)
			return nil, nil, errors.Join(fmt.Errorf("listen on %s: %w", s.address, err), closeAll(listeners))
		}
		listeners = append(listeners, l)
		servers = append(servers, &http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime,
		})
	}
	return servers, listeners, nil
}

func closeAll(listeners []net.Listener) error {
	var all error
	for _, l := range listeners {
		all = errors.Join(all, l.Close())
	}
	return all
}

// serveReady answers the balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := g.ready()
	if g.wasReady.Swap(ready) != ready {
		if ready {
			g.log.Event(events.RouterReady)
		} else {
			g.log.Event(events.RouterNotReady, "error", reason)
		}
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the router can serve all requests.
func (g *Gateway) ready() (bool, string) {
	if g.draining.Load() {
		return false, "the router is stopping"
	}
	c := g.view.Configuration()
	if c == nil {
		return false, "no configuration was read yet"
	}
	if !g.view.Listed() {
		return false, "the list of backend servers was not read yet"
	}
	age, ok := g.view.Age()
	if limit := time.Duration(readyProof * float64(g.settings.KeyRemoval)); c.Keyed && (!ok || age > limit) {
		return false, "the proof of the configuration is too old"
	}
	if g.pressure.high(time.Now()) {
		return false, "the processor is overloaded"
	}
	return true, ""
}

// loop drops what has expired until ctx ends.
func (g *Gateway) loop(ctx context.Context) error {
	t := time.NewTicker(housekeeping)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case now := <-t.C:
			if c := g.view.Configuration(); c != nil {
				g.front.SetLimits(c.Limits)
				g.logPaces(c)
			}
			g.table.Expire(now)
			g.client.Expire(now, func(s galenalatch.ServerID) bool { return g.table.Usable(now, s) })
			g.removeSilent(ctx, now)
		}
	}
}

// reload reads the settings file again on SIGHUP. Settings of a running
// process stay as they are, since all of them describe the instance; the log
// tells whether the file is valid for the next start.
func (g *Gateway) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-g.again:
			_, err := gateway.Load(g.path)
			g.log.Event(events.SettingsReloaded, "error", err)
		}
	}
}

// drain ends the process without cutting off a request.
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
	case <-time.After(min(drainNotice, limit/2)):
	}
	// The listener stays open until here: the balancer may still send new
	// connections. An error says that it was closed already.
	_ = callers.Close()
	err := g.front.Shutdown(ctx)
	g.log.Event(events.DrainEnded, "error", err)
	g.log.Event(events.RouterStopped)
}
