// Package load sends the load of this router, which is its running requests and
// the tokens of workspaces, to the other routers and receives theirs. It uses one
// WebSocket for each pair of routers that the topology connects. In a large fleet
// relays exchange the sums of their data centres.
package load

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
	// minInterval is the shortest time between two messages to a router.
	// intervalPerRouter is added for each router that receives them, up to
	// maxInterval, which limits the messages per second that a router sends
	// and receives.
	minInterval       = 100 * time.Millisecond
	intervalPerRouter = 6 * time.Millisecond
	maxInterval       = 600 * time.Millisecond
	// maxAge is the age above which the message of another router is left out
	// of sums. It allows for one lost message.
	maxAge = 2 * maxInterval
	// tokenUnit is the number of tokens in one unit of a message.
	tokenUnit = 1000
	// ageUnit is the unit of the age of the fleet in messages.
	ageUnit = 100 * time.Millisecond
)

// Options configure a Syncer. All functions are required; they must not block.
type Options struct {
	Self       galenalatch.RouterID
	Start      string
	DataCentre galenalatch.DataCentre
	Table      *placement.Table
	Ledger     *share.Ledger
	// StoreAnswered is called with each answer of the store that another
	// router forwards.
	StoreAnswered func(galenalatch.StoreAnswer)
	// Connected is called when a connection with another router is usable, Lost
	// when one has ended or could not be established.
	Connected func(r galenalatch.RouterID)
	Lost      func(r galenalatch.RouterID, err error)
}

// Syncer exchanges load with the other routers. It implements http.Handler for
// their connections and is safe for concurrent use.
type Syncer struct {
	Options
	mu       sync.Mutex
	mesh     *link.Mesh
	topology topology.Topology
	// lastHeard is the time of the last sign of life of each router to which
	// the topology has a connection, lastHeardDataCentre that of the relays of each
	// other data centre.
	lastHeard           map[galenalatch.RouterID]time.Time
	lastHeardDataCentre map[galenalatch.DataCentre]time.Time
	ready               chan struct{}

	received received
	// The filters hold the last messages sent: the load of this router, the sum
	// of its data centre, and the sum of all other data centres. Only loop uses
	// them.
	ownFilter    changeFilter
	sumFilter    changeFilter
	remoteFilter changeFilter
}

// New returns a syncer without peers.
func New(o Options) *Syncer {
	return &Syncer{
		Options: o, lastHeard: make(map[galenalatch.RouterID]time.Time), lastHeardDataCentre: make(map[galenalatch.DataCentre]time.Time),
		ready: make(chan struct{}), received: newReceived(),
	}
}

// SetPeers replaces the list of routers and the topology, and closes connections
// to routers that it does not connect. A call with an empty token does nothing;
// the first token that is not empty remains in use. An error comes from the first
// use of the token.
func (s *Syncer) SetPeers(list []galenalatch.Instance, t topology.Topology, token string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token == "" {
		return nil
	}
	if s.mesh == nil {
		m, err := link.New(link.Options{
			Self: s.Self, Start: s.Start, DataCentre: s.DataCentre, Token: token,
			Handle:          s.receive,
			Connected:       func(r galenalatch.RouterID, _ string) { s.markHeard(r); s.Connected(r) },
			ConnectionError: s.Lost,
		})
		if err != nil {
			return err
		}
		s.mesh = m
		close(s.ready)
	}
	s.topology = t
	connect := append(slices.Clone(t.Peers), t.RemoteRelays()...)
	s.mesh.SetPeers(slices.DeleteFunc(slices.Clone(list), func(i galenalatch.Instance) bool {
		return !slices.Contains(connect, galenalatch.RouterID(i.ID))
	}))
	now := time.Now()
	heard := make(map[galenalatch.RouterID]time.Time, len(connect))
	remote := make(map[galenalatch.DataCentre]time.Time)
	for _, r := range connect {
		heard[r] = now
		if at, ok := s.lastHeard[r]; ok {
			heard[r] = at
		}
		if d, ok := t.RemoteDataCentre(r); ok {
			remote[d] = now
			if at, ok := s.lastHeardDataCentre[d]; ok {
				remote[d] = at
			}
		}
	}
	s.lastHeard, s.lastHeardDataCentre = heard, remote
	return nil
}

// ServeHTTP accepts the connections of other routers. Before the first token was
// set, it responds with 503.
func (s *Syncer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	m := s.mesh
	s.mu.Unlock()
	if m == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.Handler().ServeHTTP(w, r)
}

// Run exchanges messages until ctx ends. It returns the cause of the end of ctx,
// joined with an error of the connections.
func (s *Syncer) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-s.ready:
	}
	done := make(chan error, 1)
	go s.run(ctx, done)
	s.loop(ctx)
	return errors.Join(<-done, context.Cause(ctx))
}

// run keeps the connections open.
func (s *Syncer) run(ctx context.Context, done chan<- error) {
	err := s.mesh.Run(ctx)
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	done <- err
}

// loop sends the load at intervals.
func (s *Syncer) loop(ctx context.Context) {
	for {
		s.mu.Lock()
		pause := min(minInterval+time.Duration(len(s.topology.Peers))*intervalPerRouter, maxInterval)
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
			s.send(time.Now())
		}
	}
}

// ownLoad returns the load of this router.
func (s *Syncer) ownLoad(now time.Time) galenalatch.RouterLoad {
	t := newLoadSum()
	for k, l := range s.Table.LocalLoad(now) {
		t.servers[k] = l
	}
	for k, u := range s.Ledger.LocalUsage(now) {
		t.workspaces[k] = u
	}
	t.age = s.Ledger.Age(now)
	return t.message()
}

func (s *Syncer) send(now time.Time) {
	own := s.ownLoad(now)
	s.mu.Lock()
	mesh, t := s.mesh, s.topology
	relaying := t.Relaying()
	var sum, remote galenalatch.RouterLoad
	if relaying {
		sum = s.received.sumOfDataCentre(now, own)
		remote = s.received.sumOfOthers(now, t)
	}
	s.mu.Unlock()
	if s.ownFilter.shouldSend(now, own) {
		mesh.Broadcast(t.Peers, own)
	}
	if !relaying {
		return
	}
	if s.sumFilter.shouldSend(now, sum) {
		mesh.Broadcast(t.RemoteRelays(), galenalatch.DataCentreLoad{Load: sum})
	}
	if s.remoteFilter.shouldSend(now, remote) {
		mesh.Broadcast(t.Peers, galenalatch.RemoteLoad{Load: remote})
	}
	s.applyRemote(now, galenalatch.RemoteDataCentres, remote)
}

// ForwardStoreAnswer sends an answer of the store to the other routers of the
// data centre, or to all others in a small fleet.
func (s *Syncer) ForwardStoreAnswer(a galenalatch.StoreAnswer) {
	s.mu.Lock()
	peers, mesh := s.topology.Peers, s.mesh
	s.mu.Unlock()
	if mesh != nil {
		mesh.Broadcast(peers, a)
	}
}

func (s *Syncer) markHeard(r galenalatch.RouterID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markHeardLocked(r, time.Now())
}

// markHeardLocked records a sign of life of a router. The caller holds s.mu.
func (s *Syncer) markHeardLocked(r galenalatch.RouterID, now time.Time) {
	if _, ok := s.lastHeard[r]; ok {
		s.lastHeard[r] = now
	}
	if d, ok := s.topology.RemoteDataCentre(r); ok {
		if _, ok := s.lastHeardDataCentre[d]; ok {
			s.lastHeardDataCentre[d] = now
		}
	}
}

// receive handles the message of another router.
func (s *Syncer) receive(from galenalatch.RouterID, m galenalatch.Message) {
	s.markHeard(from)
	now := time.Now()
	switch m := m.(type) {
	case galenalatch.StoreAnswer:
		s.StoreAnswered(m)
	case galenalatch.RouterLoad:
		s.mu.Lock()
		// A router that does not have the whole list yet may send its load to
		// other data centres. It is counted in the sum of its own one.
		_, remote := s.topology.RemoteDataCentre(from)
		if !remote {
			s.received.routers[from] = timedLoad{now, m}
		}
		s.mu.Unlock()
		if !remote {
			s.applyRemote(now, from, m)
		}
	case galenalatch.DataCentreLoad:
		s.mu.Lock()
		s.received.dataCentres[from] = timedLoad{now, m.Load}
		s.mu.Unlock()
	case galenalatch.RemoteLoad:
		s.mu.Lock()
		s.received.remote[from] = timedLoad{now, m.Load}
		use, ok := s.received.firstUnexpired(now, s.received.remote, s.topology.Relays[s.DataCentre])
		ok = ok && !s.topology.Relaying()
		s.mu.Unlock()
		if ok {
			s.applyRemote(now, galenalatch.RemoteDataCentres, use)
		}
	}
}

// applyRemote records the load of another router, or that of all other data
// centres.
func (s *Syncer) applyRemote(now time.Time, r galenalatch.RouterID, m galenalatch.RouterLoad) {
	t := newLoadSum()
	t.add(m)
	s.Table.SetRemote(now, r, t.servers)
	s.Ledger.SetRemote(now, r, t.workspaces, t.aggregate, t.age)
}

// Silent returns the routers without a sign of life for the timeout, and reports
// whether any other router gave one within it. The routers of another data
// centre are silent when none of its relays gave one for twice the timeout: within
// it, its own routers remove a failed relay from the list, and another router
// becomes a relay.
func (s *Syncer) Silent(now time.Time, timeout time.Duration) (silent []galenalatch.RouterID, connected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mesh == nil {
		return nil, false
	}
	for r, t := range s.mesh.Stats() {
		if t.Connected {
			s.markHeardLocked(r, now)
		}
	}
	for r, at := range s.lastHeard {
		_, remote := s.topology.RemoteDataCentre(r)
		switch {
		case now.Sub(at) < timeout:
			connected = true
		case !remote:
			silent = append(silent, r)
		}
	}
	for d, at := range s.lastHeardDataCentre {
		if now.Sub(at) >= 2*timeout {
			silent = append(silent, s.topology.In(d)...)
		}
	}
	return silent, connected
}
