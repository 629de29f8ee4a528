// Package router joins the parts of a router process.
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

// Router is one router process.
type Router struct {
	settings    settings.Settings
	start       string
	log         *events.Log
	catalogue   *catalogue.Store
	fleet       *fleet.Fleet
	leases      *leases.Store
	claims      *claims.Store
	mesh        *link.Mesh
	entry       *entry.Entry
	host        *dispatch.Host
	gossip      *gossip.Exchange
	connections *connection.Pool
	metrics     *metrics.Metrics
	listener    *listener.Server
	platform    outage
	// failures holds the time of the last failed connection by router.
	failures sync.Map
	// links holds the routers to which there is a connection.
	links sync.Map
	// leaseStates holds the states that were logged. Only the loop of the
	// leases uses it.
	leaseStates map[galenalatch.CellID]leases.State
	occasional  occasional
	mu          sync.Mutex
	// applied is the catalogue whose changes were logged.
	applied  galenalatch.Catalogue
	draining atomic.Bool
	// served says that the router has been ready.
	served atomic.Bool
	ready  atomic.Bool
}

// Option changes a Router.
type Option func(*Router)

// WithListener makes the router use l for its address instead of listening
// on the address itself.
func WithListener(l net.Listener) Option {
	return func(r *Router) { r.listener.Use(l) }
}

// New joins the parts. Nothing runs before Run.
func New(s settings.Settings, log *events.Log, options ...Option) (*Router, error) {
	r := &Router{
		settings:    s,
		start:       uuid.NewString(),
		leaseStates: make(map[galenalatch.CellID]leases.State),
		log:         log.With("router", s.ID),
		listener:    listener.New(s.Limits.HeaderBytes),
	}
	r.platform.log = r.log
	for _, o := range options {
		o(r)
	}
	for _, step := range []func() error{r.joinPlatform, r.joinPeers, r.joinGossip, r.joinRequests, r.joinListener} {
		if err := step(); err != nil {
			return nil, fmt.Errorf("router %s: %w", s.ID, err)
		}
	}
	return r, nil
}

// Run serves until ctx ends, then drains: running requests finish and the
// cells go to other routers.
func (r *Router) Run(ctx context.Context) error {
	if err := r.listener.Open(); err != nil {
		r.log.Event(events.ListenerFailed, "error", err)
		return err
	}
	r.log.Event(events.RouterStarted, "start", r.start, "dataCentre", r.settings.DataCentre)
	// The parts outlive ctx: they serve the requests that finish while the
	// router drains.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	for _, run := range []func(context.Context) error{
		r.fleet.Run, r.leases.Run, r.claims.Run, r.mesh.Run, r.entry.Run, r.host.Run, r.gossip.Run, r.runRanks,
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

// ranksEvery is how often the candidates of the cells are computed anew.
const ranksEvery = 250 * time.Millisecond

// runRanks keeps the lease store's cells in step with the directory.
func (r *Router) runRanks(ctx context.Context) error {
	return r.loopRanks(ctx)
}

func (r *Router) loopRanks(ctx context.Context) error {
	tick := time.NewTicker(ranksEvery)
	defer tick.Stop()
	var last ranksInput
	published := make(map[galenalatch.CellID]galenalatch.Holder)
	for {
		if r.fleet.Seen() {
			if in := r.ranksInput(); !in.same(last) {
				last = in
				r.leases.SetCells(in.ranks(r.settings.ID))
			}
			r.publishHolders(published)
		}
		r.setReady()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// ranksInput is what the router's places among the candidates follow from.
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

func (in ranksInput) same(o ranksInput) bool {
	return in.directory == o.directory && in.draining == o.draining && maps.Equal(in.held, o.held)
}

// ranks returns the router's place among the candidates of each cell. Each
// cell that it holds already moves it back by one place, so that the cells
// spread over the routers.
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
		ranks[c] = slices.Index(in.directory.Candidates(c), self)
		if ranks[c] >= 0 {
			ranks[c] += others
		}
	}
	return ranks
}

// setReady logs changes of readiness.
func (r *Router) setReady() {
	err := r.notReady()
	if was := r.ready.Swap(err == nil); was == (err == nil) {
		return
	}
	if err != nil {
		r.log.Event(events.RouterNotReady, "error", err)
		return
	}
	r.log.Event(events.RouterReady, "version", r.catalogue.Current().Version)
	if !r.served.Swap(true) {
		r.onService(r.catalogue.Current())
	}
}

// notReady returns why the router should get no new requests.
func (r *Router) notReady() error {
	if r.draining.Load() {
		return galenalatch.KindShuttingDown.Errorf("the router is draining")
	}
	if !r.fleet.Seen() {
		return galenalatch.KindCatalogueStale.Errorf("the instance list was not read yet")
	}
	return r.fresh()
}
