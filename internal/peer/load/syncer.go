// Package load sends the load of this router, which is its running requests and
// the tokens of workspaces, and its evidence against prompt parts to the other
// routers and receives theirs. It uses one
// WebSocket for each pair of routers that the topology connects. In a large fleet
// relays exchange the sums of their data centres.
package load

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/quarantine"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/assignment"
	"github.com/galenalatch/galenalatch/internal/fleet/rollout"
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
	Quarantine *quarantine.List
	// Rollouts exchanges what routers know of orders; nil if there are none.
	Rollouts *rollout.Controller
	// Streams exchanges which streams are left; nil if no plan of versions is followed.
	Streams *assignment.Controller
	// StoreAnswered is called with each answer of the store that another
	// router forwards. remote is set when that router is in another data centre.
	StoreAnswered func(a galenalatch.StoreAnswer, remote bool)
	// Connected is called when a connection with another router is usable,
	// Disconnected when one has ended or could not be established.
	Connected    func(r galenalatch.RouterID)
	Disconnected func(r galenalatch.RouterID, err error)
}

// Syncer exchanges load with the other routers. It implements http.Handler for
// their connections and is safe for concurrent use.
type Syncer struct {
	Options
	mu       sync.Mutex
	mesh     *link.Mesh
	topology topology.Topology
	// lastContact is the time of the last message or open connection of each
	// router to which the topology has a connection, lastContactDataCentre
	// that of the relays of each other data centre.
	lastContact           map[galenalatch.RouterID]time.Time
	lastContactDataCentre map[galenalatch.DataCentre]time.Time
	ready                 chan struct{}

	received received
	// The filters hold the last messages sent: the load of this router, the sum
	// of its data centre, and the sum of all other data centres. Only loop uses
	// them.
	localFilter  changeFilter
	sumFilter    changeFilter
	remoteFilter changeFilter
}

// New returns a syncer without peers.
func New(o Options) *Syncer {
	return &Syncer{
		Options: o, lastContact: make(map[galenalatch.RouterID]time.Time), lastContactDataCentre: make(map[galenalatch.DataCentre]time.Time),
		ready: make(chan struct{}), received: newReceived(),
	}
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

// localLoad returns the load of this router.
func (s *Syncer) localLoad(now time.Time) galenalatch.RouterLoad {
	t := newLoadSum()
	for k, l := range s.Table.LocalLoad(now) {
		t.servers[k] = l
	}
	for k, u := range s.Ledger.LocalUsage(now) {
		t.workspaces[k] = u
	}
	t.age, t.limits = s.Ledger.Age(now), s.Table.LocalLimits(now)
	t.cold, t.words = s.Table.LocalCold(now), s.Table.LocalWords(now)
	t.rollouts.add(s.Rollouts.Reports(now))
	t.streams.add(s.Streams.Reports(now))
	return t.message(now)
}

// sendSuspects sends new evidence against prompt parts. Relays pass it on between
// data centres.
func (s *Syncer) sendSuspects(now time.Time, mesh *link.Mesh, t topology.Topology) {
	m := s.Quarantine.Changes(now)
	if len(m.Parts) == 0 {
		return
	}
	mesh.Broadcast(t.Peers, m)
	mesh.Broadcast(t.RemoteRelays(), m)
}

func (s *Syncer) send(now time.Time) {
	local := s.localLoad(now)
	s.mu.Lock()
	mesh, t := s.mesh, s.topology
	relaying := t.Relaying()
	var sum, remote galenalatch.RouterLoad
	if relaying {
		sum = s.received.sumOfDataCentre(now, local)
		remote = s.received.sumOfOthers(now, t)
	}
	s.mu.Unlock()
	s.sendSuspects(now, mesh, t)
	if s.localFilter.shouldSend(now, local) {
		mesh.Broadcast(t.Peers, local)
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
	s.applyRemote(now, galenalatch.RemoteDataCentres, timedLoad{now, remote})
}

// ForwardStoreAnswer sends an answer of the store to the other routers of the
// data centre, or to all others in a small fleet. The router that polls for the whole
// fleet also sends it to the relays of the other data centres.
func (s *Syncer) ForwardStoreAnswer(a galenalatch.StoreAnswer) {
	s.mu.Lock()
	t, mesh := s.topology, s.mesh
	s.mu.Unlock()
	if mesh == nil {
		return
	}
	mesh.Broadcast(t.Peers, a)
	if t.Polling() {
		mesh.Broadcast(t.RemoteRelays(), a)
	}
}

// receive handles the message of another router.
func (s *Syncer) receive(from galenalatch.RouterID, m galenalatch.Message) {
	s.recordContact(from)
	now := time.Now()
	switch m := m.(type) {
	case galenalatch.StoreAnswer:
		s.mu.Lock()
		_, remote := s.topology.RemoteDataCentre(from)
		s.mu.Unlock()
		s.StoreAnswered(m, remote)
	case galenalatch.PromptSuspects:
		s.mu.Lock()
		relaying := s.topology.Relaying()
		s.mu.Unlock()
		s.Quarantine.Merge(now, m, relaying)
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
			s.applyRemote(now, from, timedLoad{now, m})
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
func (s *Syncer) applyRemote(now time.Time, r galenalatch.RouterID, m timedLoad) {
	t := newLoadSum()
	t.add(m.at, m.load)
	s.Table.SetRemoteLimits(now, t.limits)
	s.Table.SetRemoteCold(now, t.cold)
	s.Table.SetRemoteWords(t.words)
	s.Table.SetRemote(now, r, t.servers)
	s.Rollouts.SetRemote(m.at, r, m.load.Rollouts)
	s.Streams.SetRemote(m.at, r, m.load.Streams)
	s.Ledger.SetRemote(now, r, t.workspaces, t.aggregate, t.age)
}
