// Package gossip exchanges catalogue versions, the times of their last
// confirmation and cell holders with other routers, fetches catalogue changes
// that the router lacks, and reads the head row of the table.
//
// Package freshness decides what follows from the exchanged values.
package gossip

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/freshness"
)

const (
	// defaultInterval is the default time between rounds.
	defaultInterval = 250 * time.Millisecond
	// readTimeout bounds one read of the head row. A slower platform counts as
	// down.
	readTimeout = time.Second
	// loadTimeout bounds one call of Options.Load, which may read several
	// changes or a snapshot.
	loadTimeout = 5 * time.Second
	// minFetchInterval is the shortest time between two requests for changes
	// while no change has been applied.
	minFetchInterval = 200 * time.Millisecond
	// maxChangesBytes bounds the size of the changes in one message. It is
	// below the size limit of the codec, which leaves room for their encoding.
	maxChangesBytes = 250 << 10
	// minRoundInterval is the shortest time between rounds that start early
	// because a newer version was applied. It bounds the number of rounds
	// while many versions are applied.
	minRoundInterval = 50 * time.Millisecond
)

// Changes gives access to the catalogue changes that the router has applied.
// Its methods may be called concurrently.
type Changes interface {
	// ChangesAfter returns the encoded changes after version v in order of
	// their versions. It returns none if the first of them is no longer kept.
	ChangesAfter(v galenalatch.Version) [][]byte
	// ApplyEncoded applies encoded changes received from a peer. It may call
	// Exchange.SetHeld.
	ApplyEncoded(changes [][]byte) error
}

// Options configure an Exchange. The first group is required, the others are
// optional.
type Options struct {
	Self galenalatch.RouterID
	// Send queues a message without blocking. It reports whether the message
	// was queued.
	Send func(to galenalatch.RouterID, m galenalatch.Message) bool
	// Changes gives access to the applied catalogue changes.
	Changes Changes
	// Head reads the version of the head row from the table.
	Head func(ctx context.Context) (galenalatch.Version, error)

	// Load reads and applies the changes of the table. It is called when a
	// read of the head row showed a newer version than the held one.
	Load func(ctx context.Context) error
	// FreshChanged is called at the start and whenever the catalogue has
	// become fresh or stale. It may be late; Exchange.Fresh returns the
	// current state.
	FreshChanged func(fresh bool, reason freshness.Reason)
	// HolderChanged is called for each new holder of a cell.
	HolderChanged func(h galenalatch.Holder)
	// Failed is called with the errors of reads and of changes that cannot be
	// applied.
	Failed func(err error)
	// Interval is the time between rounds. Default: 250 ms.
	Interval time.Duration
	// Window and Settle are passed to package freshness. Zero selects its
	// defaults.
	Window time.Duration
	Settle time.Duration
}

// Exchange runs the gossip of one router. Its methods may be called
// concurrently.
type Exchange struct {
	Options
	wake chan struct{}

	mu        sync.Mutex
	view      *freshness.View
	rand      *rand.Rand
	lastFetch time.Time
	// lastRound is the start time of the last round, lastRoundVersion the
	// version that it announced.
	lastRound        time.Time
	lastRoundVersion galenalatch.Version
}

// New returns an exchange for a process that starts now. It returns an error
// if a required option is missing.
func New(o Options) (*Exchange, error) {
	if o.Self == "" || o.Send == nil || o.Changes == nil || o.Head == nil {
		return nil, errors.New("gossip: self, send, changes and head are required")
	}
	if o.FreshChanged == nil {
		o.FreshChanged = func(bool, freshness.Reason) {}
	}
	if o.HolderChanged == nil {
		o.HolderChanged = func(galenalatch.Holder) {}
	}
	if o.Failed == nil {
		o.Failed = func(error) {}
	}
	if o.Load == nil {
		o.Load = func(context.Context) error { return nil }
	}
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	return &Exchange{
		Options: o,
		wake:    make(chan struct{}, 1),
		rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		view: freshness.New(freshness.Options{
			Self: o.Self, Started: time.Now(), LastStamp: int64(rand.Uint32()), Window: o.Window, Settle: o.Settle,
		}),
	}, nil
}

// Run gossips and reads the head row until ctx ends, and returns the error of
// ctx.
func (e *Exchange) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.loop(ctx) })
	g.Go(func() error { return e.readLoop(ctx) })
	return g.Wait()
}

// loop runs the rounds and calls HolderChanged and FreshChanged.
func (e *Exchange) loop(ctx context.Context) error {
	round := time.NewTicker(e.Interval)
	defer round.Stop()
	earlyRound := time.NewTimer(minRoundInterval)
	defer earlyRound.Stop()
	var reported struct {
		fresh  bool
		reason freshness.Reason
	}
	for {
		e.mu.Lock()
		holders := e.view.ChangedHolders()
		fresh, reason := e.view.Fresh(time.Now())
		e.mu.Unlock()
		for _, h := range holders {
			e.HolderChanged(h)
		}
		if fresh != reported.fresh || reported.reason == "" {
			e.FreshChanged(fresh, reason)
		}
		reported.fresh, reported.reason = fresh, reason

		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.wake:
			e.sendRequestsIfNewer(earlyRound)
		case <-earlyRound.C:
			e.sendRequestsIfNewer(earlyRound)
		case <-round.C:
			e.sendRequests()
		}
	}
}

// sendRequestsIfNewer starts a round early when the router holds another
// version than in the last round, so that a change does not wait for the next
// regular round at each hop. If the last round was less than minRoundInterval
// ago, it sets the timer instead.
func (e *Exchange) sendRequestsIfNewer(earlyRound *time.Timer) {
	e.mu.Lock()
	newer := e.view.Held() != e.lastRoundVersion
	wait := minRoundInterval - time.Since(e.lastRound)
	e.mu.Unlock()
	switch {
	case newer && wait > 0:
		earlyRound.Reset(wait)
	case newer:
		e.sendRequests()
	}
}

// sendRequests runs one round: it sends a GossipRequest to each peer that the
// view selects.
func (e *Exchange) sendRequests() {
	e.mu.Lock()
	now := time.Now()
	e.lastRound, e.lastRoundVersion = now, e.view.Held()
	var out []galenalatch.Outgoing
	for _, r := range e.view.GossipPeers(now, e.rand) {
		out = append(out, galenalatch.Outgoing{To: r, Message: e.view.Request(now, r)})
	}
	e.mu.Unlock()
	for _, o := range out {
		e.Send(o.To, o.Message)
	}
}

// readLoop reads the head row at the interval that the view returns, with
// random jitter of up to 25 % either way.
func (e *Exchange) readLoop(ctx context.Context) error {
	// Read at once: a router that has just started serves no requests before
	// its first read.
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		sent := time.Now()
		if err := e.readHead(ctx, sent); err != nil && ctx.Err() == nil {
			e.Failed(err)
		}
		e.mu.Lock()
		d := e.view.ReadInterval(time.Now())
		d = d*3/4 + time.Duration(e.rand.Int64N(int64(d)/2+1))
		e.mu.Unlock()
		t.Reset(max(0, d-time.Since(sent)))
	}
}

func (e *Exchange) readHead(ctx context.Context, sent time.Time) error {
	headCtx, cancel := context.WithTimeout(ctx, readTimeout)
	v, err := e.Head(headCtx)
	cancel()
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.view.RecordRead(sent, v)
	behind := e.view.Held() < v
	e.mu.Unlock()
	signal(e.wake)
	if !behind {
		return nil
	}
	ctx, cancel = context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return e.Load(ctx)
}

// Handle processes a message from another router. It reports false, and does
// nothing, if the message does not belong to the gossip.
func (e *Exchange) Handle(from galenalatch.RouterID, m galenalatch.Message) bool {
	switch m := m.(type) {
	case galenalatch.GossipRequest:
		e.mu.Lock()
		reply := e.view.Reply(time.Now(), m)
		e.mu.Unlock()
		e.Send(from, reply)
		e.fetch(from, m.Gossip.Version)
	case galenalatch.Gossip:
		e.mu.Lock()
		e.view.Merge(time.Now(), from, m)
		e.mu.Unlock()
		e.fetch(from, m.Version)
	case galenalatch.ChangesRequest:
		if c := fitMessage(e.Changes.ChangesAfter(m.After)); len(c) > 0 {
			e.Send(from, galenalatch.Changes{Changes: c})
		}
	case galenalatch.Changes:
		if err := e.Changes.ApplyEncoded(m.Changes); err != nil {
			e.Failed(err)
		}
	default:
		return false
	}
	signal(e.wake)
	return true
}

// fetch requests changes from a router that holds a newer version, unless an
// earlier request was sent less than minFetchInterval ago.
func (e *Exchange) fetch(from galenalatch.RouterID, version galenalatch.Version) {
	e.mu.Lock()
	now := time.Now()
	held := e.view.Held()
	due := version > held && now.Sub(e.lastFetch) >= minFetchInterval
	if due {
		e.lastFetch = now
	}
	e.mu.Unlock()
	if due {
		e.Send(from, galenalatch.ChangesRequest{After: held})
	}
}

// fitMessage returns the leading changes that fit into one message.
func fitMessage(changes [][]byte) [][]byte {
	size := 0
	for i, c := range changes {
		if size += len(c) + 8; size > maxChangesBytes {
			return changes[:i]
		}
	}
	return changes
}

// SetHeld records that the router has applied a catalogue version and the
// router lists in it. With empty lists, the routers of the instance list count.
// A version older than the held one is ignored.
func (e *Exchange) SetHeld(v galenalatch.Version, l freshness.Lists) {
	e.mu.Lock()
	e.view.SetHeld(v, l)
	e.lastFetch = time.Time{}
	e.mu.Unlock()
	signal(e.wake)
}

// SetInstances replaces the routers of the instance list.
func (e *Exchange) SetInstances(routers []galenalatch.RouterID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.SetInstances(routers)
}

// SetHolder announces the holder of a cell to other routers.
func (e *Exchange) SetHolder(h galenalatch.Holder) {
	e.mu.Lock()
	e.view.SetHolder(time.Now(), h)
	e.mu.Unlock()
	signal(e.wake)
}

// Holder returns the known holder of a cell with the highest epoch. It reports
// false if none is known.
func (e *Exchange) Holder(c galenalatch.CellID) (galenalatch.Holder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Holder(c)
}

// Fresh reports whether the catalogue of the router is fresh now, so that new
// requests may be sent, and the reason.
func (e *Exchange) Fresh() (bool, freshness.Reason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Fresh(time.Now())
}

// Behind reports whether a newer version than the held one is known.
func (e *Exchange) Behind() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Behind()
}

// Accepted returns how many of the listed routers are known to hold the
// version, and how many are listed. The version is accepted when more than half
// hold it.
func (e *Exchange) Accepted(v galenalatch.Version) (held, total int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Accepted(time.Now(), v)
}

// Versions returns the newest version that each router is known to hold.
func (e *Exchange) Versions() map[galenalatch.RouterID]galenalatch.Version {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Versions()
}

// RouterListChange returns the routers that this router should add to and
// remove from the catalogue's list of routers, or none. The change must be
// based on exactly the held version. Callers poll it about once a second.
func (e *Exchange) RouterListChange() (put, remove []galenalatch.RouterID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.RouterListChange(time.Now())
}

// AwaitAcceptance makes the next rounds ask the routers that are not known to
// hold version v.
func (e *Exchange) AwaitAcceptance(v galenalatch.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.AwaitAcceptance(time.Now(), v)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
