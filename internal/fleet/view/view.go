// Package view maintains a router's copy of what operators and backend servers
// have published in the store.
//
// The copy follows the store's change feeds. An update with an older position is
// ignored. While the store cannot be reached the copy stays as it is, and Age
// returns the age of the newest proof that it is current. When the store comes back
// from an older copy of its own, the tables are read again; what the router has acted
// on is not undone only because the store has lost it, see docs/design/store-eras.md.
package view

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/outofservice"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/proof"
	"github.com/galenalatch/galenalatch/internal/decide/serverlist"
	"github.com/galenalatch/galenalatch/internal/fleet/feed"
	"github.com/galenalatch/galenalatch/internal/fleet/rollout"
)

const (
	// serverWait is how long the store holds a call of the servers' feed
	// without a change.
	serverWait = 2 * time.Second
	// minExpiryOutage is the shortest time without an answer after which
	// entries of live servers may have expired. Entries expire after 3.6 s
	// without a heartbeat. One lost answer takes less than minExpiryOutage, so
	// that it delays no removal.
	minExpiryOutage = serverWait + feed.AnswerTimeout + 200*time.Millisecond
	// minCallInterval is the shortest time between two calls of a feed.
	minCallInterval = 150 * time.Millisecond
	// maxUncertainty is the uncertainty of the proofs' age above which a call
	// without a wait is made to reduce it.
	maxUncertainty = 100 * time.Millisecond
	// reregistrationTime is how long after an outage the entries of live
	// servers may still be missing.
	reregistrationTime = 2200 * time.Millisecond
	// reappearTime is the time after an outage by which the router has read the
	// entries of the servers that registered again.
	reappearTime = reregistrationTime + 300*time.Millisecond
)

// Options configure a View.
type Options struct {
	Store galenalatch.Store
	Table *placement.Table
	// Clock returns a monotonic time that also advances while the machine is
	// suspended.
	Clock  func() time.Duration
	Events Events
	// Listens is as in feed.Feed. It is optional.
	Listens func() bool
	// OperatorWait is how long the store holds a call of the operators' feed
	// without a change. It bounds the age of the proof while the store answers.
	OperatorWait time.Duration
	// Rollouts follows the orders; nil if there are none.
	Rollouts *rollout.Controller
}

// Events receives the changes of the view, with the position of the update that
// made them. Calls must not block.
type Events interface {
	feed.Events
	// ConfigurationApplied is called when a newer configuration is in use.
	ConfigurationApplied(c *galenalatch.Configuration, position galenalatch.Position)
	// OutOfService is called when a data centre was taken out of service, or
	// with out false when it was returned.
	OutOfService(d galenalatch.DataCentre, out bool, position galenalatch.Position)
	// Server is called for each registration in an update.
	Server(r galenalatch.Registration, position galenalatch.Position)
	// ServerRemoved is called for a server without a registration. The server
	// may stay in use for a short time, since it may register again.
	ServerRemoved(id galenalatch.ServerID, position galenalatch.Position)
	// Invalid is called for each row of a feed that cannot be decoded.
	Invalid(feed string, err error)
}

// View is the copy. It is safe for concurrent use.
type View struct {
	Options
	configuration atomic.Pointer[galenalatch.Configuration]

	// servers is used by the servers' feed alone.
	servers serverlist.List

	mu sync.Mutex
	// tracker holds the proofs of the era provenEra.
	tracker      proof.Tracker
	provenEra    uint64
	outOfService outofservice.Set
	// shortCall is set when the last call was made without a wait to compare
	// the clocks.
	shortCall bool
	// lastAnswer is when the servers' feed had its last answer, outageEnd when
	// it had the first one after an outage in which entries may have expired.
	lastAnswer, outageEnd time.Time
	// listed is set once the list of servers was read.
	listed atomic.Bool
	// serversFailed is set while the newest call of the servers' feed has failed.
	serversFailed atomic.Bool
}

// New returns a view without a configuration.
func New(o Options) *View {
	return &View{Options: o}
}

// Configuration returns the newest configuration, or nil before the first one
// was read.
func (v *View) Configuration() *galenalatch.Configuration {
	return v.configuration.Load()
}

// ServersLoaded reports whether the list of backend servers was read at least
// once.
func (v *View) ServersLoaded() bool {
	return v.listed.Load()
}

// ServersStale reports whether the store does not tell of changes of the servers: its
// newest answer was an error, or there was none.
func (v *View) ServersStale() bool {
	return v.serversFailed.Load()
}

// Age returns the age of the newest proof that the configuration is the newest
// of the store. It reports false when there is no proof yet.
func (v *View) Age() (time.Duration, bool) {
	now := v.Clock()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Age(now)
}

// Run follows the store until ctx ends.
func (v *View) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	operators := &feed.Feed{Name: "operators", Wait: v.OperatorWait, Read: v.readOperators, Events: v.Events, MinInterval: minCallInterval, Listens: v.Listens}
	servers := &feed.Feed{Name: "servers", Wait: serverWait, Read: v.readServers, Events: v.Events, MinInterval: minCallInterval, Listens: v.Listens}
	g.Go(func() error { return operators.Run(ctx) })
	g.Go(func() error { return servers.Run(ctx) })
	return g.Wait()
}

func (v *View) readOperators(ctx context.Context, after, seen galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
	sent := v.Clock()
	if v.nextCallShort() {
		wait = 0
	}
	u, err := v.Store.Operators(ctx, after, wait)
	received := v.Clock()
	if err := feed.CheckAnswer(u.Stamp, after, seen, err); err != nil {
		return u.Stamp, err
	}
	for _, e := range u.Invalid {
		v.Events.Invalid("operators", e)
	}
	if c := u.Configuration; c != nil {
		v.applyConfiguration(c, u.Position)
	}
	v.applyOutOfService(u)
	v.Rollouts.Operators(time.Now(), u)
	if len(u.Invalid) > 0 && v.Configuration() == nil {
		return u.Stamp, errors.Join(u.Invalid...)
	}
	v.prove(sent, received, u.Stamp)
	return u.Stamp, nil
}

// prove records an answer of the operators' feed to a call between the times sent and
// received. The clock of an earlier era tells nothing of that of a later one.
func (v *View) prove(sent, received time.Duration, s galenalatch.Stamp) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Era != v.provenEra {
		v.tracker.Restart()
		v.provenEra = s.Era
	}
	if s.Relayed {
		v.tracker.Relayed(received, s.Clock)
		return
	}
	v.tracker.Observe(sent, received, s.Clock)
}

// nextCallShort reports whether the next call should be made without a wait,
// because the uncertainty of the proofs' age is too high. At most every other
// call is short.
func (v *View) nextCallShort() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.shortCall = !v.shortCall && v.tracker.Uncertainty() > maxUncertainty
	return v.shortCall
}

// applyConfiguration replaces the configuration by a newer one.
func (v *View) applyConfiguration(c *galenalatch.Configuration, p galenalatch.Position) {
	old := v.configuration.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	v.Table.SetServices(c.Services)
	v.configuration.Store(c)
	v.Events.ConfigurationApplied(c, p)
}

// applyOutOfService applies the operators' list of data centres.
func (v *View) applyOutOfService(u galenalatch.OperatorUpdate) {
	now := time.Now()
	v.mu.Lock()
	out, back := v.outOfService.Apply(now, u)
	v.mu.Unlock()
	for _, d := range out {
		v.Table.SetOutOfService(now, d, true)
		v.Events.OutOfService(d, true, u.Position)
	}
	for _, d := range back {
		v.Table.SetOutOfService(now, d, false)
		v.Events.OutOfService(d, false, u.Position)
	}
}

func (v *View) readServers(ctx context.Context, after, seen galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
	u, err := v.Store.Servers(ctx, after, wait)
	err = feed.CheckAnswer(u.Stamp, after, seen, err)
	v.serversFailed.Store(err != nil)
	if err != nil {
		return u.Stamp, err
	}
	for _, e := range u.Invalid {
		v.Events.Invalid("servers", e)
	}
	now := time.Now()
	v.Rollouts.Servers(now, u)
	change := v.servers.Apply(now, u)
	for _, r := range change.Listed {
		v.Table.Put(now, r)
		v.Events.Server(r, u.Position)
	}
	at := v.removalTime(now, u.EraAge, change.Restored)
	for _, id := range change.Removed {
		v.Table.Remove(id, at)
		v.Events.ServerRemoved(id, u.Position)
	}
	v.listed.Store(true)
	return u.Stamp, nil
}

// removalTime returns when a server whose entry is missing in an answer is to
// be removed. Entries expire while the store cannot be reached, a copy from which the
// store was restored may lack them, and live servers register again soon after.
func (v *View) removalTime(now time.Time, eraAge time.Duration, restored bool) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case restored:
		v.outageEnd = now.Add(-eraAge)
	case !v.lastAnswer.IsZero() && now.Sub(v.lastAnswer) > minExpiryOutage:
		v.outageEnd = now
	}
	v.lastAnswer = now
	if now.Sub(v.outageEnd) >= reregistrationTime {
		return now
	}
	at, latest := now.Add(serverlist.ReturnTime), v.outageEnd.Add(reappearTime)
	if latest.Before(at) {
		return latest
	}
	return at
}
