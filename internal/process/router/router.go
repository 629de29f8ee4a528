// Package router assembles a router process: the connections to the platform
// and to other routers, the entry for callers' requests, the dispatcher of the
// held cells and the listeners.
package router

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/connection"
	"github.com/galenalatch/galenalatch/internal/config/settings"
	"github.com/galenalatch/galenalatch/internal/decide/directory"
	"github.com/galenalatch/galenalatch/internal/peer/gossip"
	"github.com/galenalatch/galenalatch/internal/peer/link"
	"github.com/galenalatch/galenalatch/internal/platform/catalogue"
	"github.com/galenalatch/galenalatch/internal/platform/claims"
	"github.com/galenalatch/galenalatch/internal/platform/leases"
	"github.com/galenalatch/galenalatch/internal/process/dispatch"
	"github.com/galenalatch/galenalatch/internal/process/entry"
	"github.com/galenalatch/galenalatch/internal/process/fleet"
	"github.com/galenalatch/galenalatch/internal/process/listener"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
	"github.com/galenalatch/galenalatch/internal/telemetry/metrics"
)

// Router is one router process. Create it with New.
type Router struct {
	settings settings.Settings
	// startID is a random identity of this run of the process.
	startID        string
	log            *events.Log
	catalogue      *catalogue.Store
	fleet          *fleet.Fleet
	leases         *leases.Store
	claims         *claims.Store
	mesh           *link.Mesh
	entry          *entry.Entry
	dispatcher     *dispatch.Dispatcher
	gossip         *gossip.Exchange
	connections    *connection.Pool
	metrics        *metrics.Metrics
	listener       *listener.Server
	platformOutage outage
	// failedPeers holds the time of the last failed connection attempt by
	// router.
	failedPeers sync.Map
	// connectedPeers holds the routers with an established connection.
	connectedPeers sync.Map
	// loggedLeases holds the last logged state of each lease. Only the loop of
	// the lease store uses it, so it needs no lock.
	loggedLeases map[galenalatch.CellID]leases.State
	logLimiter   logLimiter
	mu           sync.Mutex
	// loggedCatalogue is the newest catalogue whose changes were logged. It is
	// guarded by mu.
	loggedCatalogue galenalatch.Catalogue
	draining        atomic.Bool
	// hasBeenReady is set once the router was ready.
	hasBeenReady atomic.Bool
	ready        atomic.Bool
}

// Option configures a Router.
type Option func(*Router)

// WithListener makes the router accept connections from l on the address of l,
// instead of opening a listener for it.
func WithListener(l net.Listener) Option {
	return func(r *Router) { r.listener.UseListener(l) }
}

// New returns a router with its parts connected. It serves nothing before Run.
func New(s settings.Settings, log *events.Log, options ...Option) (*Router, error) {
	r := &Router{
		settings:     s,
		startID:      uuid.NewString(),
		loggedLeases: make(map[galenalatch.CellID]leases.State),
		log:          log.With("router", s.ID),
		listener:     listener.New(s.Limits.HeaderBytes),
	}
	r.platformOutage.log = r.log
	for _, o := range options {
		o(r)
	}
	for _, step := range []func() error{r.setUpPlatform, r.setUpPeers, r.setUpGossip, r.setUpRequests, r.setUpListener} {
		if err := step(); err != nil {
			return nil, fmt.Errorf("router %s: %w", s.ID, err)
		}
	}
	return r, nil
}

// Run serves until ctx ends, then drains: running requests finish and the cells
// are handed over to other routers. It returns the first error, or nil after a
// complete drain.
func (r *Router) Run(ctx context.Context) error {
	if err := r.listener.Open(); err != nil {
		r.log.Event(events.ListenerFailed, "error", err)
		return err
	}
	r.log.Event(events.RouterStarted, "start", r.startID, "dataCentre", r.settings.DataCentre)
	// The goroutines run on after ctx ends, since the requests that finish
	// during the drain need them.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	for _, run := range []func(context.Context) error{
		r.fleet.Run, r.leases.Run, r.claims.Run, r.mesh.Run, r.entry.Run, r.dispatcher.Run, r.gossip.Run, r.runRanks, r.runRouterList,
	} {
		g.Go(func() error { return run(work) })
	}
	g.Go(r.listener.Run)
	g.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		return r.drain(work)
	})
	err := g.Wait()
	r.connections.Close()
	r.log.Event(events.RouterStopped)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// ranksInterval is how often the ranks are checked for changed inputs.
const ranksInterval = 250 * time.Millisecond

// runRanks passes the cells and this router's ranks for them to the lease store,
// publishes the holders found there and updates the readiness.
func (r *Router) runRanks(ctx context.Context) error {
	return r.loopRanks(ctx)
}

func (r *Router) loopRanks(ctx context.Context) error {
	tick := time.NewTicker(ranksInterval)
	defer tick.Stop()
	var last ranksInput
	published := make(map[galenalatch.CellID]galenalatch.Holder)
	for {
		if r.fleet.Loaded() {
			if in := r.ranksInput(); !in.equal(last) {
				last = in
				r.leases.SetCells(in.ranks(r.settings.ID))
			}
			r.publishHolders(published)
		}
		r.updateReady()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// ranksInput holds all values from which the router's ranks are computed.
type ranksInput struct {
	directory *directory.Directory
	draining  bool
	held      map[galenalatch.CellID]bool
}

func (r *Router) ranksInput() ranksInput {
	in := ranksInput{directory: r.fleet.Directory(), draining: r.draining.Load(), held: make(map[galenalatch.CellID]bool)}
	for c := range r.heldLeases() {
		in.held[c] = true
	}
	return in
}

func (in ranksInput) equal(o ranksInput) bool {
	return in.directory == o.directory && in.draining == o.draining && maps.Equal(in.held, o.held)
}

// ranks returns the router's rank among the lease candidates of each cell, from 0
// for the first one; -1 means that it is no candidate. Every other cell that it
// holds adds one to the rank, so that the cells spread over the routers.
func (in ranksInput) ranks(self galenalatch.RouterID) map[galenalatch.CellID]int {
	ranks := make(map[galenalatch.CellID]int)
	for _, c := range in.directory.AllCells() {
		ranks[c] = -1
		if in.draining {
			continue
		}
		others := len(in.held)
		if in.held[c] {
			others--
		}
		ranks[c] = slices.Index(in.directory.LeaseCandidates(c), self)
		if ranks[c] >= 0 {
			ranks[c] += others
		}
	}
	return ranks
}

// updateReady updates the readiness and logs its changes.
func (r *Router) updateReady() {
	err := r.notReady()
	if was := r.ready.Swap(err == nil); was == (err == nil) {
		return
	}
	if err != nil {
		r.log.Event(events.RouterNotReady, "error", err)
		return
	}
	r.log.Event(events.RouterReady, "version", r.catalogue.Current().Version)
	if !r.hasBeenReady.Swap(true) {
		r.logServiceChanges(r.catalogue.Current())
	}
}

// notReady returns the reason why the router should get no new requests, nil when
// it is ready.
func (r *Router) notReady() error {
	if r.draining.Load() {
		return galenalatch.KindShuttingDown.Errorf("the router is draining")
	}
	if !r.fleet.Loaded() {
		return galenalatch.KindCatalogueStale.Errorf("the instance list was not read yet")
	}
	return r.checkFresh()
}
