// Package gossip exchanges versions, confirmations and cell holders with
// other routers, fetches the changes of the catalogue that the router lacks,
// and reads the head of the table.
//
// What follows from the exchanged facts is decided by package freshness.
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
	defaultInterval = 250 * time.Millisecond
	// readTimeout is the time after which a slow platform counts as down.
	readTimeout = time.Second
	// loadTimeout bounds the reads of several changes or of a snapshot.
	loadTimeout = 5 * time.Second
	// fetchInterval bounds the questions for changes while an answer is due.
	fetchInterval = 200 * time.Millisecond
	// maxChanges bounds the changes in one message, below the limit of the
	// codec with room for the heads of the changes.
	maxChanges = 250 << 10
	// newsInterval is the shortest time between rounds when the router
	// learned a version. It bounds the rounds while many are applied.
	newsInterval = 50 * time.Millisecond
)

// Changes holds the changes of the catalogue that the router has applied.
type Changes interface {
	// ChangesAfter returns the encoded changes after a version in order of
	// their versions, or none when it no longer has the first of them.
	ChangesAfter(v galenalatch.Version) [][]byte
	// Learn applies changes of a peer. It may call Hold.
	Learn(changes [][]byte) error
}

// Options configure an Exchange. The functions of the last group may be nil.
type Options struct {
	Self galenalatch.RouterID
	// Send queues a message without blocking.
	Send    func(to galenalatch.RouterID, m galenalatch.Message) bool
	Changes Changes
	// Head reads the version of the head row from the table.
	Head func(ctx context.Context) (galenalatch.Version, error)

	// Load applies the changes of the table when a read of the head showed
	// a newer version than the held one.
	Load func(ctx context.Context) error
	// FreshChanged is told whether the catalogue is fresh, at the start and
	// when it changes. Fresh is the answer that counts at the moment of use.
	FreshChanged func(fresh bool, reason freshness.Reason)
	// HolderChanged is told of each new holder of a cell.
	HolderChanged func(h galenalatch.Holder)
	// Failed is told of failed reads and changes that cannot be applied.
	Failed func(err error)
	// Interval is the time between rounds. Default: 250 ms.
	Interval time.Duration
	// Window and Settle are those of package freshness.
	Window time.Duration
	Settle time.Duration
}

// Exchange runs the gossip of one router.
type Exchange struct {
	Options
	wake chan struct{}

	mu      sync.Mutex
	view    *freshness.View
	rand    *rand.Rand
	fetched time.Time
	// asked is when the last round began, and told the version it carried.
	asked time.Time
	told  galenalatch.Version
}

// New returns an exchange for a process that starts now.
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
			Self: o.Self, Started: time.Now(), Stamp: int64(rand.Uint32()), Window: o.Window, Settle: o.Settle,
		}),
	}, nil
}

// Run gossips and reads the head until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.loop(ctx) })
	g.Go(func() error { return e.readLoop(ctx) })
	return g.Wait()
}

// loop asks partners in each round and calls the listeners.
func (e *Exchange) loop(ctx context.Context) error {
	round := time.NewTicker(e.Interval)
	defer round.Stop()
	news := time.NewTimer(newsInterval)
	defer news.Stop()
	var told struct {
		fresh  bool
		reason freshness.Reason
	}
	for {
		e.mu.Lock()
		holders := e.view.News()
		fresh, reason := e.view.Fresh(time.Now())
		e.mu.Unlock()
		for _, h := range holders {
			e.HolderChanged(h)
		}
		if fresh != told.fresh || told.reason == "" {
			e.FreshChanged(fresh, reason)
		}
		told.fresh, told.reason = fresh, reason

		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.wake:
			e.askNews(news)
		case <-news.C:
			e.askNews(news)
		case <-round.C:
			e.ask()
		}
	}
}

// askNews asks partners when the router holds a newer version than in the
// last round, so that a change does not wait for the next round at each hop.
// Soon after a round it sets the timer instead.
func (e *Exchange) askNews(later *time.Timer) {
	e.mu.Lock()
	news := e.view.Held() != e.told
	wait := newsInterval - time.Since(e.asked)
	e.mu.Unlock()
	switch {
	case news && wait > 0:
		later.Reset(wait)
	case news:
		e.ask()
	}
}

// ask asks the partners of a round.
func (e *Exchange) ask() {
	e.mu.Lock()
	now := time.Now()
	e.asked, e.told = now, e.view.Held()
	var out []galenalatch.Outgoing
	for _, r := range e.view.Partners(now, e.rand) {
		out = append(out, galenalatch.Outgoing{To: r, Message: e.view.Ask(now, r)})
	}
	e.mu.Unlock()
	for _, o := range out {
		e.Send(o.To, o.Message)
	}
}

// readLoop reads the head at the interval that the view asks for.
func (e *Exchange) readLoop(ctx context.Context) error {
	// A router that has just started serves nothing before its first read.
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		sent := time.Now()
		if err := e.read(ctx, sent); err != nil && ctx.Err() == nil {
			e.Failed(err)
		}
		e.mu.Lock()
		d := e.view.ReadInterval(time.Now())
		d = d*3/4 + time.Duration(e.rand.Int64N(int64(d)/2+1))
		e.mu.Unlock()
		t.Reset(max(0, d-time.Since(sent)))
	}
}

func (e *Exchange) read(ctx context.Context, sent time.Time) error {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	v, err := e.Head(bounded)
	cancel()
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.view.Read(sent, v)
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

// Handle processes the messages of the gossip. It reports false for other
// messages.
func (e *Exchange) Handle(from galenalatch.RouterID, m galenalatch.Message) bool {
	switch m := m.(type) {
	case galenalatch.GossipAsk:
		e.mu.Lock()
		a := e.view.Answer(time.Now(), m)
		e.mu.Unlock()
		e.Send(from, a)
		e.fetch(from, m.Gossip.Version)
	case galenalatch.Gossip:
		e.mu.Lock()
		e.view.Merge(time.Now(), from, m)
		e.mu.Unlock()
		e.fetch(from, m.Version)
	case galenalatch.ChangesAsk:
		if c := bounded(e.Changes.ChangesAfter(m.After)); len(c) > 0 {
			e.Send(from, galenalatch.Changes{Changes: c})
		}
	case galenalatch.Changes:
		if err := e.Changes.Learn(m.Changes); err != nil {
			e.Failed(err)
		}
	default:
		return false
	}
	signal(e.wake)
	return true
}

// fetch asks a router that holds a newer version for the changes.
func (e *Exchange) fetch(from galenalatch.RouterID, version galenalatch.Version) {
	e.mu.Lock()
	now := time.Now()
	held := e.view.Held()
	due := version > held && now.Sub(e.fetched) >= fetchInterval
	if due {
		e.fetched = now
	}
	e.mu.Unlock()
	if due {
		e.Send(from, galenalatch.ChangesAsk{After: held})
	}
}

// bounded returns the first changes that fit into one message.
func bounded(changes [][]byte) [][]byte {
	size := 0
	for i, c := range changes {
		if size += len(c) + 8; size > maxChanges {
			return changes[:i]
		}
	}
	return changes
}

// Hold records that the router applied a version with its lists. Empty
// lists mean that the instance list counts.
func (e *Exchange) Hold(v galenalatch.Version, l freshness.Lists) {
	e.mu.Lock()
	e.view.Hold(v, l)
	e.fetched = time.Time{}
	e.mu.Unlock()
	signal(e.wake)
}

// SetListed replaces the routers of the instance list.
func (e *Exchange) SetListed(routers []galenalatch.RouterID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.SetListed(routers)
}

// SetHolder publishes that a router holds a cell.
func (e *Exchange) SetHolder(h galenalatch.Holder) {
	e.mu.Lock()
	e.view.SetHolder(time.Now(), h)
	e.mu.Unlock()
	signal(e.wake)
}

// Holder returns the newest known holder of a cell.
func (e *Exchange) Holder(c galenalatch.CellID) (galenalatch.Holder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Holder(c)
}

// Fresh reports whether the router may send new work now, and why.
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

// Accepted returns how many of the listed routers hold the version. It is
// accepted when they are more than half.
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

// ListChange returns the routers that this router should put into and remove
// from the catalogue's list by a change that is applied to exactly the held
// version, or none. It is asked about once a second.
func (e *Exchange) ListChange() (put, remove []galenalatch.RouterID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.ListChange(time.Now())
}

// Watch makes the next rounds ask the routers that are not known to hold
// the version.
func (e *Exchange) Watch(v galenalatch.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.Watch(time.Now(), v)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
