// Package rollout moves the traffic of services to new versions of their servers, as
// operators order it, together with all other routers and without a leader.
//
// The status row of an order in the store is its state. Any router may write the next
// one, under the condition of the row's version. Each router keeps on its own to a share
// of its requests while a version is not proved, and stops sending to it on evidence,
// whether or not the store responds.
package rollout

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/rollout"
	"github.com/galenalatch/galenalatch/internal/fleet/feed"
)

const (
	// interval is the time between two looks at the orders.
	interval = 100 * time.Millisecond
	// statusWaitPart of the time for which an answer of the status table counts as new is
	// how long the store holds a call of it. Without a change, an answer is as old as two
	// calls before the next one comes.
	statusWaitPart = 0.3
	// rankDelay is the time by which a router writes later than the one before it in
	// the order's list of routers, and retryDelay that between two writes of a router.
	rankDelay    = 150 * time.Millisecond
	retryDelay   = time.Second
	writeTimeout = time.Second
	// proofPart of the time within which a router must stop is the age of the newest
	// answer of the status table from which on it sends no more than its own share.
	proofPart = 0.8
)

// Options configure a Controller. All fields are required; functions must not block.
type Options struct {
	Store galenalatch.Store
	Rows  galenalatch.RolloutRows
	Table *placement.Table
	Self  galenalatch.RouterID
	// Routers returns the sorted list of routers.
	Routers func() []string
	Bounds  rollout.Bounds
	// Within is the time after evidence against a version from which this router must
	// not send to it.
	Within time.Duration
	Events Events
}

// Events receives the progress of orders. Calls must not block.
type Events interface {
	feed.Events
	// Invalid is called for each row that cannot be decoded.
	Invalid(feed string, err error)
	// RolloutOrdered is called for each new order.
	RolloutOrdered(o galenalatch.RolloutOrder)
	// RolloutChanged is called when the status of an order has changed, with what this
	// router knows of the fleet.
	RolloutChanged(s galenalatch.RolloutStatus, p Progress)
	// RolloutStopped is called when this router stops sending to a version.
	RolloutStopped(o galenalatch.RolloutOrder, why string)
	// RolloutWritten is called after each write of a status.
	RolloutWritten(s galenalatch.RolloutStatus, err error)
	// RolloutAnswered is called for each answer to a request of a service with an
	// order.
	RolloutAnswered(service, version string, bad bool)
}

// Controller follows the orders. Its methods are safe for concurrent use, and do nothing
// on a nil pointer.
type Controller struct {
	Options
	// active holds the services whose choices are restricted; nil when there are none.
	active atomic.Pointer[map[string]*service]
	writes sync.WaitGroup

	mu       sync.Mutex
	services map[string]*service
	// operatorsSeen is the position of the store up to which all orders are known.
	operatorsSeen galenalatch.Position
	// storeStart is the local time at which the store's clock was 0.
	storeStart time.Time
	// following is set while a running order needs the status table.
	following bool
	wake      chan struct{}
}

// New returns a controller without orders.
func New(o Options) *Controller {
	return &Controller{Options: o, services: make(map[string]*service), wake: make(chan struct{}, 1)}
}

// service returns the state of a service and creates it. The caller holds c.mu.
func (c *Controller) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = newService(c, name)
		c.services[name] = s
	}
	return s
}

// publish replaces the services that the choices look at. The caller holds c.mu.
func (c *Controller) publish() {
	if len(c.services) == 0 {
		c.active.Store(nil)
		return
	}
	copied := maps.Clone(c.services)
	c.active.Store(&copied)
}

// Operators applies an update of the operators' table.
func (c *Controller) Operators(now time.Time, u galenalatch.OperatorUpdate) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.operatorsSeen.Before(u.Position) {
		c.operatorsSeen = u.Position
	}
	if start := now.Add(-u.Clock); c.storeStart.IsZero() || start.Before(c.storeStart) {
		c.storeStart = start
	}
	ordered := make(map[string]bool)
	for _, o := range u.Rollouts {
		ordered[o.Service] = true
		c.service(o.Service).setOrder(now, o, u.Stamp)
	}
	for name, s := range c.services {
		if u.Complete && !ordered[name] {
			s.setOrder(now, galenalatch.RolloutOrder{Service: name, Removed: true}, u.Stamp)
		}
	}
	c.look(now)
}

// Servers applies an update of the backend servers' table, before the table of servers
// does. A version that nobody knew may be that of an order which has not been read yet.
// Until the orders up to this update are known, it gets no requests.
func (c *Controller) Servers(now time.Time, u galenalatch.ServerUpdate) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.operatorsSeen.Before(u.Position) {
		return
	}
	held := false
	known := make(map[string]map[string]placement.VersionUse)
	for _, r := range u.Registered {
		uses, ok := known[r.Service]
		if !ok {
			uses = c.Table.VersionUses(now, r.Service)
			known[r.Service] = uses
		}
		if _, known := uses[r.Version]; !known && len(uses) > 0 && !r.Leaving {
			c.service(r.Service).hold(now, r.Version, u.Position)
			held = true
		}
	}
	if held {
		c.look(now)
	}
}

// Run follows the orders until ctx ends. It returns the cause of the end of ctx.
func (c *Controller) Run(ctx context.Context) error {
	if c == nil {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	followed := make(chan struct{})
	go c.run(ctx, followed)
	c.loop(ctx)
	<-followed
	c.writes.Wait()
	return context.Cause(ctx)
}

// loop looks at the orders at intervals.
func (c *Controller) loop(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			c.mu.Lock()
			c.look(now)
			due := c.due(now)
			c.mu.Unlock()
			for _, w := range due {
				c.writes.Go(func() { w.run(ctx) })
			}
		}
	}
}

// look updates all services and forgets those without a restriction. The caller holds
// c.mu.
func (c *Controller) look(now time.Time) {
	following := false
	for name, s := range c.services {
		if !s.look(now) {
			delete(c.services, name)
		}
		following = following || s.needsStatus()
	}
	if following && !c.following {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	c.following = following
	c.publish()
}

// due returns the writes that are due. The caller holds c.mu.
func (c *Controller) due(now time.Time) []*statusWrite {
	var writes []*statusWrite
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		if w := c.services[name].due(now); w != nil {
			writes = append(writes, w)
		}
	}
	return writes
}
