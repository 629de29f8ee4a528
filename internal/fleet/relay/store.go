// Package relay lets one router poll the store's feeds on behalf of the fleet.
//
// Each call of the store has a price, and all routers share the store's rate
// limits, so the number of calls must not grow with the number of routers. The
// relaying router forwards each answer of a feed to the routers of its data
// centre and to the relays of the others, which forward it there. Answers without
// changes are forwarded too, since they prove that nothing has changed. A relay
// that receives no answer for a short time polls the store for its data centre. A
// router that receives none for slightly longer, or that misses a part, calls the
// store itself.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/fleet/feed"
)

// Names of the feeds of Operators and Servers. A feed of Rows has the name of
// its table.
const (
	operatorFeed = "operators"
	serverFeed   = "servers"
)

const (
	// relayWait is how long the store holds a relaying router's call of an
	// urgent feed. It is short, so that the other routers receive an answer
	// often.
	relayWait = 800 * time.Millisecond
	// relayTimeout is how long a router waits for a relayed answer of an urgent
	// feed before it calls the store itself. It is shorter than the time within
	// which a leaving server must get no new requests.
	relayTimeout = 1300 * time.Millisecond
	// standbyTimeout replaces relayTimeout for the relays, so that they poll the
	// store before the routers that listen to them do.
	standbyTimeout = 1100 * time.Millisecond
	// maxUrgentWait is the longest wait of a feed that counts as urgent.
	// slowWait, slowRelayTimeout and slowStandbyTimeout replace relayWait,
	// relayTimeout and standbyTimeout for other feeds.
	maxUrgentWait      = 5 * time.Second
	slowWait           = 3 * time.Second
	slowRelayTimeout   = 4500 * time.Millisecond
	slowStandbyTimeout = 4 * time.Second
	// maxQueued bounds the received answers of a feed that were not read yet.
	maxQueued = 64
)

// Mode selects whether a router polls the feeds or receives them.
type Mode int

// The modes of a router.
const (
	// Direct routers poll the feeds for themselves only.
	Direct Mode = iota
	// Relaying routers poll the feeds and forward the answers.
	Relaying
	// Standby routers wait for the answers that the relaying router forwards, and
	// forward them to their data centre. Without such answers they poll the feeds
	// and forward what they read.
	Standby
	// Listening routers wait for the answers that others forward.
	Listening
)

// Options configure a Store.
type Options struct {
	// Store is the platform's store.
	Store galenalatch.Store
	// Send forwards an answer to other routers. It is called only in the modes
	// Relaying and Standby.
	Send func(m galenalatch.StoreAnswer)
}

// Store implements galenalatch.Store. It is safe for concurrent use.
type Store struct {
	Options
	mu      sync.Mutex
	mode    Mode
	queues  map[string][]galenalatch.StoreAnswer
	arrived map[string]chan struct{}
	// unheard is the number of times that a feed was read from the store since the
	// last relayed answer, because none came in time.
	unheard map[string]int
	// eras is the latest era of each feed.
	eras map[string]knownEra
}

// knownEra is an era with the time at which the router first heard of it.
type knownEra struct {
	era   uint64
	heard time.Time
}

// New returns a store in mode Direct.
func New(o Options) *Store {
	return &Store{
		Options: o, queues: make(map[string][]galenalatch.StoreAnswer),
		arrived: make(map[string]chan struct{}), unheard: make(map[string]int),
		eras: make(map[string]knownEra),
	}
}

// SetMode sets the mode for the following calls.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

func (s *Store) currentMode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// Listens reports whether the router waits for the answers that others forward and
// forwards none itself.
func (s *Store) Listens() bool {
	return s.currentMode() == Listening
}

// Deliver queues an answer that another router has forwarded; remote is set when
// that router is in another data centre. The oldest answers are dropped when too
// many are queued.
func (s *Store) Deliver(m galenalatch.StoreAnswer, remote bool) {
	if remote && s.currentMode() == Standby {
		s.Send(m)
	}
	s.hearEra(m.Feed, m.Era)
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := append(s.queues[m.Feed], m)
	if len(queue) > maxQueued {
		queue = queue[len(queue)-maxQueued:]
	}
	s.queues[m.Feed] = queue
	if c := s.arrived[m.Feed]; c != nil {
		close(c)
		s.arrived[m.Feed] = nil
	}
}

// dequeue returns a queued answer that covers the changes after a position, or one
// of a later era. It reports a gap when changes after that position are missing from
// the queue. Otherwise it returns a channel that is closed when another answer arrives.
func (s *Store) dequeue(feed string, after galenalatch.Position) (m galenalatch.StoreAnswer, ok, gap bool, arrived <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queues[feed]
	for len(queue) > 0 {
		m = queue[0]
		queue = queue[1:]
		s.queues[feed] = queue
		switch {
		case m.Stamp().Before(after):
			// The answer is older than the position that was read.
		case m.Era == after.Era && after.Before(m.Start()):
			return m, false, true, nil
		default:
			s.unheard[feed] = 0
			return m, true, false, nil
		}
	}
	if s.arrived[feed] == nil {
		s.arrived[feed] = make(chan struct{})
	}
	return m, false, false, s.arrived[feed]
}

// awaitRelayed returns the next relayed answer. It reports false when the
// router should call the store itself, such as for the whole table or for a
// call without a wait.
func (s *Store) awaitRelayed(ctx context.Context, feed string, after galenalatch.Position, wait time.Duration) (galenalatch.StoreAnswer, bool) {
	mode := s.currentMode()
	if mode != Listening && mode != Standby || after == galenalatch.ReadAll || wait == 0 {
		return galenalatch.StoreAnswer{}, false
	}
	timeout := time.NewTimer(s.maxRelayWait(feed, wait))
	defer timeout.Stop()
	for {
		m, ok, gap, arrived := s.dequeue(feed, after)
		if ok || gap {
			return m, ok
		}
		select {
		case <-ctx.Done():
			return galenalatch.StoreAnswer{}, false
		case <-timeout.C:
			s.recordUnheard(feed)
			return galenalatch.StoreAnswer{}, false
		case <-arrived:
		}
	}
}

func (s *Store) recordUnheard(feed string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unheard[feed]++
}

// storeWait returns how long the store may hold a call of this router. A router that
// received no answer in time asks for the changes without a wait; a relay then polls.
func (s *Store) storeWait(feed string, after galenalatch.Position, wait time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case after == galenalatch.ReadAll || s.mode == Direct:
		return wait
	case s.mode == Listening, s.mode == Standby && s.unheard[feed] <= 1:
		return 0
	case wait <= maxUrgentWait:
		return min(wait, relayWait)
	}
	return min(wait, slowWait)
}

// withCallTimeout bounds a call that the store may hold for the time wait, so
// that a lost answer does not delay the next call for longer.
func withCallTimeout(ctx context.Context, after galenalatch.Position, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, feed.CallTimeout(after, wait))
}

// maxRelayWait returns how long a router waits for a relayed answer. A relay that polls
// the store, because it heard of none, does not wait.
func (s *Store) maxRelayWait(feed string, wait time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	urgent := wait <= maxUrgentWait
	switch {
	case s.mode == Standby && s.unheard[feed] > 0:
		return 0
	case s.mode == Standby && urgent:
		return standbyTimeout
	case s.mode == Standby:
		return slowStandbyTimeout
	case urgent:
		return relayTimeout
	}
	return slowRelayTimeout
}

// forward sends an answer of the store to a read after a position to the other routers
// in the modes Relaying and Standby. Answers with the whole table are not sent, but for
// the first one of a new era their era is: it tells those who listen to read the whole
// table too.
func (s *Store) forward(after galenalatch.Position, m galenalatch.StoreAnswer) {
	newEra := s.hearEra(m.Feed, m.Era)
	mode := s.currentMode()
	if mode != Relaying && mode != Standby {
		return
	}
	switch {
	case after != galenalatch.ReadAll:
		m.After = after.Version
		s.Send(m)
	case newEra:
		s.Send(galenalatch.StoreAnswer{Feed: m.Feed, Era: m.Era})
	}
}

// hearEra records the era of an answer. It reports whether the feed was in an earlier era
// before.
func (s *Store) hearEra(feed string, era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.eras[feed]
	if known && era <= before.era {
		return false
	}
	s.eras[feed] = knownEra{era: era, heard: time.Now()}
	return known
}

// eraAge returns the time for which the router has known of an era of a feed.
func (s *Store) eraAge(feed string, era uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.eras[feed]; ok && k.era == era {
		return time.Since(k.heard)
	}
	return 0
}

// Operators implements galenalatch.Store.
func (s *Store) Operators(ctx context.Context, after galenalatch.Position, wait time.Duration) (galenalatch.OperatorUpdate, error) {
	if m, ok := s.awaitRelayed(ctx, operatorFeed, after, wait); ok {
		return galenalatch.OperatorUpdate{
			Stamp: m.Stamp(), Configuration: m.Configuration, OutOfService: m.OutOfService, BackInService: m.BackInService,
			Rollouts: m.Rollouts,
		}, nil
	}
	wait = s.storeWait(operatorFeed, after, wait)
	ctx, cancel := withCallTimeout(ctx, after, wait)
	defer cancel()
	u, err := s.Store.Operators(ctx, after, wait)
	if err == nil {
		s.forward(after, galenalatch.StoreAnswer{
			Feed: operatorFeed, Era: u.Era, Version: u.Version, Clock: u.Clock,
			Configuration: u.Configuration, OutOfService: u.OutOfService, BackInService: u.BackInService,
			Rollouts: u.Rollouts,
		})
	}
	return u, err
}

// Servers implements galenalatch.Store.
func (s *Store) Servers(ctx context.Context, after galenalatch.Position, wait time.Duration) (galenalatch.ServerUpdate, error) {
	if m, ok := s.awaitRelayed(ctx, serverFeed, after, wait); ok {
		return galenalatch.ServerUpdate{Stamp: m.Stamp(), Registered: m.Registered, Removed: m.Removed}, nil
	}
	wait = s.storeWait(serverFeed, after, wait)
	ctx, cancel := withCallTimeout(ctx, after, wait)
	defer cancel()
	u, err := s.Store.Servers(ctx, after, wait)
	if err == nil {
		s.forward(after, galenalatch.StoreAnswer{
			Feed: serverFeed, Era: u.Era, Version: u.Version, Clock: u.Clock, Registered: u.Registered, Removed: u.Removed,
		})
		u.EraAge = s.eraAge(serverFeed, u.Era)
	}
	return u, err
}

// Rows implements galenalatch.Store.
func (s *Store) Rows(ctx context.Context, table string, after galenalatch.Position, wait time.Duration) (galenalatch.RowUpdate, error) {
	if m, ok := s.awaitRelayed(ctx, table, after, wait); ok {
		return galenalatch.RowUpdate{Stamp: m.Stamp(), Rows: m.Rows}, nil
	}
	wait = s.storeWait(table, after, wait)
	ctx, cancel := withCallTimeout(ctx, after, wait)
	defer cancel()
	u, err := s.Store.Rows(ctx, table, after, wait)
	if err == nil {
		s.forward(after, galenalatch.StoreAnswer{Feed: table, Era: u.Era, Version: u.Version, Clock: u.Clock, Rows: u.Rows})
	}
	return u, err
}

// Write implements galenalatch.Store.
func (s *Store) Write(ctx context.Context, table string, r galenalatch.StoreRow) error {
	return s.Store.Write(ctx, table, r)
}
