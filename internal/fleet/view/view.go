// Package view keeps a router's copy of what operators and backend servers
// have published in the store.
//
// The copy follows the store's change feeds. It never goes back: an update
// with an older version changes nothing. While the store is away the copy
// stays as it is, and Age says how old the newest proof of it is.
package view

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/proof"
	"github.com/galenalatch/galenalatch/internal/fleet/feed"
)

const (
	// serverWait is how long the store holds a call of the servers' feed
	// without a change.
	serverWait = 2 * time.Second
	// lapseTime is the shortest time without an answer after which entries of
	// live servers may have lapsed. One lost answer takes less, so that it
	// delays no removal. Entries lapse after 3.6 s without a heartbeat.
	lapseTime = serverWait + feed.AnswerTime + 200*time.Millisecond
	// callGap is the shortest time between two calls of a feed.
	callGap = 150 * time.Millisecond
	// maxUncertainty is how much older than they are proofs may look.
	maxUncertainty = 100 * time.Millisecond
	// returnTime is how long after the store's return the entries of live
	// servers may still be missing.
	returnTime = 2200 * time.Millisecond
	// removalDelay is how long a server whose entry is missing then stays in
	// use. It is shorter than the time in which a leaving server must get no
	// new requests.
	removalDelay = 1700 * time.Millisecond
)

// Options configure a View.
type Options struct {
	Store  galenalatch.Store
	Table  *placement.Table
	Clock  func() time.Duration
	Events Events
	// OperatorWait is how long the store holds a call of the operators' feed
	// without a change. It bounds the age of the proof of the copy.
	OperatorWait time.Duration
}

// Events are told what changes the view. They must not block.
type Events interface {
	feed.Events
	Applied(c *galenalatch.Configuration, position galenalatch.Position)
	OutOfService(d galenalatch.DataCentre, out bool, position galenalatch.Position)
	Server(r galenalatch.Registration, position galenalatch.Position)
	ServerGone(id galenalatch.ServerID, position galenalatch.Position)
	Invalid(feed string, err error)
}

// View is the copy. It is safe for concurrent use.
type View struct {
	Options
	configuration atomic.Pointer[galenalatch.Configuration]

	mu      sync.Mutex
	tracker proof.Tracker
	out     map[galenalatch.DataCentre]bool
	// short is set while a call is made to compare the clocks.
	short bool
	// answered is when the servers' feed had its last answer. returned is
	// when it had the first one after an outage in which entries may lapse.
	answered, returned time.Time
	// listed is set once the list of servers was read.
	listed atomic.Bool
}

// New returns a view without a configuration.
func New(o Options) *View {
	return &View{Options: o, out: make(map[galenalatch.DataCentre]bool)}
}

// Configuration returns the newest configuration, or nil.
func (v *View) Configuration() *galenalatch.Configuration {
	return v.configuration.Load()
}

// Listed reports whether the list of backend servers was read at least once.
func (v *View) Listed() bool {
	return v.listed.Load()
}

// Age returns the age of the newest proof that the configuration is the
// newest of the store. It reports false without one.
func (v *View) Age() (time.Duration, bool) {
	now := v.Clock()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Age(now)
}

// Run follows the store until ctx ends.
func (v *View) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	operators := &feed.Feed{Name: "operators", Wait: v.OperatorWait, Read: v.readOperators, Events: v.Events, Gap: callGap}
	servers := &feed.Feed{Name: "servers", Wait: serverWait, Read: v.readServers, Events: v.Events, Gap: callGap}
	g.Go(func() error { return operators.Run(ctx) })
	g.Go(func() error { return servers.Run(ctx) })
	return g.Wait()
}

func (v *View) readOperators(ctx context.Context, after, seen uint64, wait time.Duration) (galenalatch.Position, error) {
	sent := v.Clock()
	if v.calibrate() {
		wait = 0
	}
	u, err := v.Store.Operators(ctx, after, wait)
	received := v.Clock()
	if err := feed.Older(u.Position, seen, err); err != nil {
		return u.Position, err
	}
	for _, e := range u.Invalid {
		v.Events.Invalid("operators", e)
	}
	if c := u.Configuration; c != nil {
		v.apply(c, u.Position)
	}
	v.outOfService(u)
	if len(u.Invalid) > 0 && v.Configuration() == nil {
		return u.Position, errors.Join(u.Invalid...)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.Relayed {
		v.tracker.Relayed(received, u.Clock)
	} else {
		v.tracker.Observe(sent, received, u.Clock)
	}
	return u.Position, nil
}

// calibrate reports whether the next call should be a short one, because the
// proofs look older than they are. Every other call stays a long one.
func (v *View) calibrate() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.short = !v.short && v.tracker.Uncertainty() > maxUncertainty
	return v.short
}

// apply replaces the configuration by a newer one.
func (v *View) apply(c *galenalatch.Configuration, p galenalatch.Position) {
	old := v.configuration.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	v.Table.SetServices(c.Services)
	v.configuration.Store(c)
	v.Events.Applied(c, p)
}

// outOfService applies the operators' list of data centres. A complete
// update holds all that are out of service.
func (v *View) outOfService(u galenalatch.OperatorUpdate) {
	next := make(map[galenalatch.DataCentre]bool)
	v.mu.Lock()
	if !u.Complete {
		for d := range v.out {
			next[d] = true
		}
	}
	for _, d := range u.In {
		delete(next, d)
	}
	for _, d := range u.Out {
		next[d] = true
	}
	old := v.out
	v.out = next
	v.mu.Unlock()
	now := time.Now()
	for d := range next {
		if !old[d] {
			v.Table.SetOut(now, d, true)
			v.Events.OutOfService(d, true, u.Position)
		}
	}
	for d := range old {
		if !next[d] {
			v.Table.SetOut(now, d, false)
			v.Events.OutOfService(d, false, u.Position)
		}
	}
}

func (v *View) readServers(ctx context.Context, after, seen uint64, wait time.Duration) (galenalatch.Position, error) {
	u, err := v.Store.Servers(ctx, after, wait)
	if err := feed.Older(u.Position, seen, err); err != nil {
		return u.Position, err
	}
	for _, e := range u.Invalid {
		v.Events.Invalid("servers", e)
	}
	now := time.Now()
	at := v.removal(now)
	present := make(map[galenalatch.ServerID]bool, len(u.Present))
	for _, r := range u.Present {
		present[r.ID] = true
		v.Table.Put(now, r)
		v.Events.Server(r, u.Position)
	}
	gone := u.Gone
	if u.Complete {
		for _, id := range v.Table.IDs() {
			if !present[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		v.Table.Remove(id, at)
		v.Events.ServerGone(id, u.Position)
	}
	v.listed.Store(true)
	return u.Position, nil
}

// removal returns when a server whose entry is missing in an answer is to be
// dropped. Entries lapse while the store is away and come back soon after.
func (v *View) removal(now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.answered.IsZero() && now.Sub(v.answered) > lapseTime {
		v.returned = now
	}
	v.answered = now
	if now.Sub(v.returned) < returnTime {
		return now.Add(removalDelay)
	}
	return now
}
