// Package gateway runs a router that forwards requests on the routes of operators
// to registered backend servers. It keeps no state on disk: all persistent data is
// in the store of the platform.
package gateway

import (
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/dial"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/backend/health"
	"github.com/galenalatch/galenalatch/internal/caller/host"
	"github.com/galenalatch/galenalatch/internal/caller/ingress"
	"github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/decide/admission"
	"github.com/galenalatch/galenalatch/internal/decide/memory"
	"github.com/galenalatch/galenalatch/internal/decide/overload"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/prefill"
	"github.com/galenalatch/galenalatch/internal/decide/quarantine"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/assignment"
	"github.com/galenalatch/galenalatch/internal/fleet/members"
	"github.com/galenalatch/galenalatch/internal/fleet/relay"
	"github.com/galenalatch/galenalatch/internal/fleet/rollout"
	"github.com/galenalatch/galenalatch/internal/fleet/view"
	"github.com/galenalatch/galenalatch/internal/peer/load"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
	"github.com/galenalatch/galenalatch/internal/telemetry/logwriter"
	"github.com/galenalatch/galenalatch/platform"
)

const (
	// memoryShare is the share of the memory limit, without nonHeapBytes, that the Go
	// runtime may use; the rest is for socket buffers and for what is allocated while a
	// collection runs. minMemoryShare is its least share of the whole limit.
	memoryShare    = 0.7
	minMemoryShare = 0.4
	// nonHeapBytes is the memory of the program itself, which the Go runtime does not
	// count.
	nonHeapBytes = 16 << 20
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
	health        *health.Watcher
	ingress       *ingress.Server
	memory        *memory.Budget
	ledger        *share.Ledger
	quarantine    *quarantine.List
	policy        admission.Policy
	prefills      *prefill.Means
	relay         *relay.Store
	members       *members.List
	// rollouts is nil when the settings have no bounds on roll-outs.
	rollouts *rollout.Controller
	// assignments ties streams to the versions that began them.
	assignments *assignment.Controller
	peers       *load.Syncer
	routers     atomic.Int64
	// routerIDs is the list of routers, sorted.
	routerIDs atomic.Pointer[[]string]
	// lastSilenceCheck is the time of the last check for silent routers. Only
	// loop uses it.
	lastSilenceCheck time.Time
	// loggedCalibrations holds the last logged calibration of the engines of each
	// service. Only loop uses it.
	loggedCalibrations map[string]calibration
	// pressure is what was last logged of callers that gave way. Only loop uses it.
	pressure   pressure
	rejections rejections
	// servedLoggedAt is the time of the last look at what workspaces got. Only loop uses it.
	servedLoggedAt time.Time
	// forgetting tells by service whether engines keep fewer than half of the prompts
	// that they should.
	forgetting map[string]bool
	overload   overload.Limiter
	draining   atomic.Bool
	wasReady   atomic.Bool
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
		forgetting: make(map[string]bool),
	}
	g.metrics = newMetrics(counters{
		droppedLines: out.Dropped, routers: g.routers.Load,
		shedConnections: func() int64 { return g.ingress.ShedConnections() },
		fullConnections: func() int64 { return g.ingress.FullConnections() },
		memory:          func() memory.Usage { return g.memory.Usage() },
		servers:         func(r placement.Reason) int { return g.table.Count(time.Now(), r) },
		speeds:          func() placement.Speeds { return g.table.Speeds(time.Now()) },
	})
	obs := observer{log: g.log, metrics: g.metrics}
	g.table = placement.New(placement.Options{
		Self: s.ID, Local: s.DataCentre, PrefillRate: s.Engine.ReadRate, FirstToken: s.Engine.FirstToken.Std(),
		ColdRateFactor: s.Cold.Over, ColdSlack: s.Cold.Slack,
	})
	g.quarantine = quarantine.New(quarantine.Options{Owner: g.ownsPart, Held: obs.partHeld, Released: obs.partReleased})
	direct := platform.New(s.Store.Address, dial.Dialer{Silence: storeSilence}.DialContext)
	g.relay = relay.New(relay.Options{
		Store: direct,
		Send:  func(a galenalatch.StoreAnswer) { g.peers.ForwardStoreAnswer(a) },
	})
	g.rollouts = g.newRollouts(obs)
	g.assignments = g.newAssignments(obs)
	g.view = view.New(view.Options{
		Store: g.relay, Table: g.table, Clock: bootTime, Events: obs, Listens: g.relay.Listens, Rollouts: g.rollouts,
		OperatorWait: time.Duration(operatorWaitShare * float64(s.KeyRemoval)),
	})
	g.client = exchange.New(exchange.Options{
		Dial: dial.Dialer{Silence: serverSilence}.DialContext, Headers: platform.Headers{},
		DialTimeout: dialTimeout, ProbeTimeout: probeTimeout, MaxIdle: maxIdlePerServer, OnDial: g.metrics.dials.Inc,
	})
	g.health = health.New(health.Options{Table: g.table, Client: g.client, Headers: platform.Headers{}, Stale: g.view.ServersStale, Events: obs})
	g.handler = host.New(host.Options{
		View: g.view, Table: g.table, Client: g.client, Headers: platform.Headers{}, Reports: platform.RunReports{}, Events: obs,
		MaxProofAge:  s.KeyRemoval.Std() - proofMargin,
		MaxDenialAge: s.ConfigurationApply.Std() - proofMargin,
		PassLimit:    s.PassLimit.Std(),
		NewBudget:    g.newBudget,
		FixedRetries: g.fixedRetries,
		Admit:        g.admit,
		Ledger:       g.ledger,
		Quarantine:   g.quarantine,
		Rollouts:     g.rollouts,
		Assignments:  g.assignments,
	})
	g.memory = memory.New(clientLimits(s))
	g.ingress = &ingress.Server{
		Memory:          g.memory,
		MaxRejected:     maxRejected(s),
		MaxConnections:  int(descriptorShare * float64(s.Descriptors)),
		Admit:           g.overload.Admit,
		Rejected:        g.identifyRejected,
		RejectionHeader: host.RefusalHeader(platform.Headers{}),
		AcceptFailed:    func(err error) { g.log.Event(events.ListenerFailed, "address", s.Listen.Caller, "error", err) },
	}
	g.initPeers(obs, direct)
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
