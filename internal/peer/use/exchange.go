// Package use tells the other routers what this one has under way, and
// receives the same from them, over one WebSocket per pair of routers that
// the topology connects. In a large fleet the relays of data centres pass sums
// on between them.
package use

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/topology"
	"github.com/galenalatch/galenalatch/internal/peer/link"
)

const (
	// interval is the time between two messages to each router in a small
	// fleet. perRouter is added for each router that is told, up to
	// longestInterval, so that the messages that a router sends and receives
	// in a second stay bounded.
	interval        = 100 * time.Millisecond
	perRouter       = 6 * time.Millisecond
	longestInterval = 600 * time.Millisecond
	// maxAge is the age after which the message of another router does not
	// count in a sum. It covers a message that is lost.
	maxAge = 2 * longestInterval
	// tokenUnit is the unit of tokens in messages.
	tokenUnit = 1000
	// ageUnit is the unit of the fleet's age in messages.
	ageUnit = 100 * time.Millisecond
)

// Options configure an Exchange.
type Options struct {
	Self       galenalatch.RouterID
	Start      string
	DataCentre galenalatch.DataCentre
	Table      *placement.Table
	Ledger     *share.Ledger
	// Answered takes the answers of the store that other routers pass on.
	Answered func(galenalatch.StoreAnswer)
	// Connected and Lost are told of connections with other routers.
	Connected func(r galenalatch.RouterID)
	Lost      func(r galenalatch.RouterID, err error)
}

// Exchange keeps the connections with the other routers.
type Exchange struct {
	Options
	mu       sync.Mutex
	mesh     *link.Mesh
	topology topology.Topology
	// heard is when each connected router was heard, far when a relay of
	// each other data centre was.
	heard map[galenalatch.RouterID]time.Time
	far   map[galenalatch.DataCentre]time.Time
	ready chan struct{}

	received received
	// The outboxes are used by the loop only: for the own use, the sum of
	// the data centre, and that of all others.
	sentOwn       outbox
	sentSum       outbox
	sentElsewhere outbox
}

// New returns an exchange without peers.
func New(o Options) *Exchange {
	return &Exchange{
		Options: o, heard: make(map[galenalatch.RouterID]time.Time), far: make(map[galenalatch.DataCentre]time.Time),
		ready: make(chan struct{}), received: newReceived(),
	}
}

// SetPeers replaces the list of routers and this router's place among them.
// The token of the first call stays.
func (e *Exchange) SetPeers(list []galenalatch.Instance, t topology.Topology, token string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token == "" {
		return nil
	}
	if e.mesh == nil {
		m, err := link.New(link.Options{
			Self: e.Self, Start: e.Start, DataCentre: e.DataCentre, Token: token,
			Handle: e.receive,
			Up:     func(r galenalatch.RouterID, _ string) { e.hear(r); e.Connected(r) },
			Failed: e.Lost,
		})
		if err != nil {
			return err
		}
		e.mesh = m
		close(e.ready)
	}
	e.topology = t
	connect := append(slices.Clone(t.Near), t.Far()...)
	e.mesh.SetPeers(slices.DeleteFunc(slices.Clone(list), func(i galenalatch.Instance) bool {
		return !slices.Contains(connect, galenalatch.RouterID(i.ID))
	}))
	now := time.Now()
	heard := make(map[galenalatch.RouterID]time.Time, len(connect))
	far := make(map[galenalatch.DataCentre]time.Time)
	for _, r := range connect {
		heard[r] = now
		if at, ok := e.heard[r]; ok {
			heard[r] = at
		}
		if d, ok := t.Foreign(r); ok {
			far[d] = now
			if at, ok := e.far[d]; ok {
				far[d] = at
			}
		}
	}
	e.heard, e.far = heard, far
	return nil
}

// ServeHTTP accepts the connections of other routers.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	m := e.mesh
	e.mu.Unlock()
	if m == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.Handler().ServeHTTP(w, r)
}

// Run exchanges messages until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-e.ready:
	}
	done := make(chan error, 1)
	go e.run(ctx, done)
	e.loop(ctx)
	return errors.Join(<-done, context.Cause(ctx))
}

// run keeps the connections.
func (e *Exchange) run(ctx context.Context, done chan<- error) {
	err := e.mesh.Run(ctx)
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	done <- err
}

// loop sends what is under way at intervals.
func (e *Exchange) loop(ctx context.Context) {
	for {
		e.mu.Lock()
		pause := min(interval+time.Duration(len(e.topology.Near))*perRouter, longestInterval)
		e.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
			e.send(time.Now())
		}
	}
}

// under returns what this router has under way.
func (e *Exchange) under(now time.Time) galenalatch.RouterUse {
	t := newTotal()
	for k, l := range e.Table.Own(now) {
		t.servers[k] = l
	}
	for k, u := range e.Ledger.Own(now) {
		t.workspaces[k] = u
	}
	t.age = e.Ledger.Age(now)
	return t.message()
}

func (e *Exchange) send(now time.Time) {
	own := e.under(now)
	e.mu.Lock()
	mesh, t := e.mesh, e.topology
	relaying := t.Relaying()
	var sum, elsewhere galenalatch.RouterUse
	if relaying {
		sum = e.received.dataCentre(now, own)
		elsewhere = e.received.others(now, t)
	}
	e.mu.Unlock()
	if e.sentOwn.due(now, own) {
		mesh.Broadcast(t.Near, own)
	}
	if !relaying {
		return
	}
	if e.sentSum.due(now, sum) {
		mesh.Broadcast(t.Far(), galenalatch.DataCentreUse{Use: sum})
	}
	if e.sentElsewhere.due(now, elsewhere) {
		mesh.Broadcast(t.Near, galenalatch.ElsewhereUse{Use: elsewhere})
	}
	e.set(now, galenalatch.Elsewhere, elsewhere)
}

// Pass passes an answer of the store on to the routers of the data centre.
func (e *Exchange) Pass(a galenalatch.StoreAnswer) {
	e.mu.Lock()
	near, mesh := e.topology.Near, e.mesh
	e.mu.Unlock()
	if mesh != nil {
		mesh.Broadcast(near, a)
	}
}

func (e *Exchange) hear(r galenalatch.RouterID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heardAt(r, time.Now())
}

// heardAt notes that a router was heard. e.mu is held.
func (e *Exchange) heardAt(r galenalatch.RouterID, now time.Time) {
	if _, ok := e.heard[r]; ok {
		e.heard[r] = now
	}
	if d, ok := e.topology.Foreign(r); ok {
		if _, ok := e.far[d]; ok {
			e.far[d] = now
		}
	}
}

// receive takes the message of another router.
func (e *Exchange) receive(from galenalatch.RouterID, m galenalatch.Message) {
	e.hear(from)
	now := time.Now()
	switch m := m.(type) {
	case galenalatch.StoreAnswer:
		e.Answered(m)
	case galenalatch.RouterUse:
		e.mu.Lock()
		// A router that does not know the fleet's size yet tells all. It
		// counts in the sum of its data centre.
		_, foreign := e.topology.Foreign(from)
		if !foreign {
			e.received.near[from] = stamped{now, m}
		}
		e.mu.Unlock()
		if !foreign {
			e.set(now, from, m)
		}
	case galenalatch.DataCentreUse:
		e.mu.Lock()
		e.received.far[from] = stamped{now, m.Use}
		e.mu.Unlock()
	case galenalatch.ElsewhereUse:
		e.mu.Lock()
		e.received.elsewhere[from] = stamped{now, m.Use}
		use, ok := e.received.preferred(now, e.received.elsewhere, e.topology.Relays[e.DataCentre])
		ok = ok && !e.topology.Relaying()
		e.mu.Unlock()
		if ok {
			e.set(now, galenalatch.Elsewhere, use)
		}
	}
}

// set records what a router, or all of other data centres, have under way.
func (e *Exchange) set(now time.Time, r galenalatch.RouterID, m galenalatch.RouterUse) {
	t := newTotal()
	t.add(m)
	e.Table.SetRemote(now, r, t.servers)
	e.Ledger.SetRemote(now, r, t.workspaces, t.others, t.age)
}

// Silent returns the routers that were not heard for the limit, and whether
// any other router was heard within it. The routers of another data centre
// are silent when its relays, which change when one is removed from the list,
// were not heard for twice the limit.
func (e *Exchange) Silent(now time.Time, limit time.Duration) (silent []galenalatch.RouterID, connected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mesh == nil {
		return nil, false
	}
	for r, t := range e.mesh.Stats() {
		if t.Connected {
			e.heardAt(r, now)
		}
	}
	for r, at := range e.heard {
		_, foreign := e.topology.Foreign(r)
		switch {
		case now.Sub(at) < limit:
			connected = true
		case !foreign:
			silent = append(silent, r)
		}
	}
	for d, at := range e.far {
		if now.Sub(at) >= 2*limit {
			silent = append(silent, e.topology.In(d)...)
		}
	}
	return silent, connected
}
