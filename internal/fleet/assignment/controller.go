// Package assignment ties each stream to the version of the servers that began it, over
// all attempts of its caller and at any router.
//
// The plan of a service in the store tells which version begins a stream, see package
// internal/decide/assignment. Any router may write the next plan, under the condition of
// the row's version. Routers tell each other in which slots of the plan streams are left at
// another version than that of the plan.
package assignment

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/assignment"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/rendezvous"
	"github.com/galenalatch/galenalatch/internal/fleet/rollout"
)

// KeyPrefix begins the keys of the rows with plans.
const KeyPrefix = "versions/"

const (
	// interval is the time between two looks at the plans.
	interval = 200 * time.Millisecond
	// rankDelay is the time by which a router writes later than the one before it in the
	// service's list of routers, writeInterval the time after which a router writes again
	// over the same row, and writeTimeout bounds a write. A slight imbalance is corrected
	// when it has lasted for slightDelay: servers that crash come back.
	rankDelay     = 300 * time.Millisecond
	writeInterval = time.Second
	slightDelay   = 6 * time.Second
	writeTimeout  = time.Second
	// maxReportAge is the age from which on the report of another router is ignored.
	maxReportAge = 1500 * time.Millisecond
)

// Options configure a Controller. Functions must not block.
type Options struct {
	Self  galenalatch.RouterID
	Table *placement.Table
	// Rollouts tells which versions may get requests; nil if it restricts none.
	Rollouts *rollout.Controller
	// Routers returns the sorted list of routers.
	Routers func() []string
	// Lives returns the services with streams that callers may resume, and for how long
	// after its first event such a stream may be resumed. It is empty until the servers
	// and the configuration were read.
	Lives func() map[string]time.Duration
	// Read reads the rows with plans that have changed after the last answer of the store,
	// by key, from the store itself.
	Read func(ctx context.Context) (map[string]galenalatch.StoreRow, error)
	// Write writes a row of the table with the plans.
	Write func(ctx context.Context, row galenalatch.StoreRow) error
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	Events     Events
}

// Events receives the changes of plans. Calls must not block.
type Events interface {
	// PlanApplied is called when the router has taken over a plan.
	PlanApplied(service string, p assignment.Plan)
	// PlanWritten is called after each write of a plan, whose error may be nil.
	PlanWritten(service string, p assignment.Plan, err error)
	// PlanInvalid is called for a row that holds no plan.
	PlanInvalid(service string, err error)
}

// Rows are the rows with plans as of an answer of the store.
type Rows struct {
	galenalatch.Stamp
	// Rows holds them by key.
	Rows map[string]galenalatch.StoreRow
	// Restarted is set in the first answer if another process of this router was listed
	// when this one started. Its streams may be resumed.
	Restarted bool
}

// Controller holds the plans of all services. Its methods are safe for concurrent use, and
// do nothing on a nil pointer.
type Controller struct {
	Options
	writes sync.WaitGroup

	mu       sync.Mutex
	services map[string]*service
	// read is set once the rows were read, restarted as in Rows.
	read      bool
	restarted bool
	rows      map[string]galenalatch.StoreRow
	// storeStart is the local time at which the clock of the store's era was 0.
	storeStart time.Time
	storeEra   uint64
	started    time.Time
	// listed are the routers of the last look, lostAt the time at which one had left the
	// list last.
	listed []string
	lostAt time.Time
	// heardAt is when another router was heard last.
	heardAt time.Time
	// failingSince is the time of the first failed read of the plans after the last
	// successful one.
	failingSince time.Time
	// confirming is the read of the plans that has not begun yet, if any.
	confirming *confirmation
}

// New returns a controller without plans.
func New(o Options) *Controller {
	return &Controller{Options: o, services: make(map[string]*service), started: time.Now()}
}

// SetRows applies an answer of the store.
func (c *Controller) SetRows(now time.Time, r Rows) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.read {
		c.read, c.restarted = true, r.Restarted
	}
	sameEra := r.Era == c.storeEra
	if start := now.Add(-r.Clock); c.storeStart.IsZero() || r.Era != c.storeEra || start.Before(c.storeStart) {
		c.storeStart, c.storeEra = start, r.Era
	}
	c.rows = r.Rows
	for name, s := range c.services {
		// A read of the store itself may have brought a newer row.
		if row := c.rows[KeyPrefix+name]; !sameEra || row.Version >= s.row.Version {
			s.setRow(row)
		}
	}
}

// Run writes the plans that are due until ctx ends. It returns the cause of the end of ctx.
func (c *Controller) Run(ctx context.Context) error {
	if c == nil {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.writes.Wait()
			return context.Cause(ctx)
		case now := <-t.C:
			for _, w := range c.look(now) {
				c.writes.Go(func() { w.run(ctx) })
			}
		}
	}
}

// look updates all services and returns the writes that are due.
func (c *Controller) look(now time.Time) []*planWrite {
	lives := c.Lives()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchRouters(now)
	if !c.read {
		return nil
	}
	var writes []*planWrite
	for name, life := range lives {
		s, ok := c.services[name]
		if !ok {
			s = newService(c, name)
			s.setRow(c.rows[KeyPrefix+name])
			c.services[name] = s
		}
		// Streams that began under an earlier configuration may last longer.
		s.life = max(s.life, life)
		s.expire(now)
		if w := s.due(now); w != nil {
			writes = append(writes, w)
		}
	}
	return writes
}

// watchRouters notices routers that have left the list. Their streams may be resumed. The
// caller holds c.mu.
func (c *Controller) watchRouters(now time.Time) {
	listed := c.Routers()
	for _, id := range c.listed {
		if _, ok := slices.BinarySearch(listed, id); !ok {
			c.lostAt = now
		}
	}
	c.listed = listed
}

// rank returns the place of this router among those that may write the plan of a service,
// or -1 if it is not listed. The caller holds c.mu.
func (c *Controller) rank(service string) int {
	ranked := rendezvous.Hash{Seed: "versions"}.Rank(service, c.listed)
	return slices.Index(ranked, string(c.Self))
}

// planWrite is one write of a plan.
type planWrite struct {
	c       *Controller
	service string
	plan    assignment.Plan
	version uint64
}

// run performs the write. What the store then holds comes with its next answer, also if that
// to the write is lost.
func (w *planWrite) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := w.plan.Encode()
	if err == nil {
		err = w.c.Write(ctx, galenalatch.StoreRow{Key: KeyPrefix + w.service, Value: value, Version: w.version})
	}
	if errors.Is(err, galenalatch.ErrWriteConflict) {
		// Another router was first.
		return
	}
	w.c.Events.PlanWritten(w.service, w.plan, err)
}

// serviceKey identifies a service in messages between routers.
func serviceKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
