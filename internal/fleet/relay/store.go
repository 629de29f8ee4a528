// Package relay lets a few routers of each data centre follow the store's
// feeds for all others there.
//
// Each call of the store has a price and the store's rates are shared by the
// whole fleet, so the calls must not grow with the number of routers. A
// relaying router passes each answer of a feed on to the routers of its data
// centre, also one without changes: it proves that nothing has changed. A
// router that hears nothing for a short time, or misses a part, calls the
// store itself.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/fleet/feed"
)

// Tables of the relayed feeds.
const (
	operators = "operators"
	servers   = "servers"
)

const (
	// relayWait is how long the store holds a relaying router's call of an
	// urgent feed, so that the others hear of it often.
	relayWait = 800 * time.Millisecond
	// silence is how long a router waits for a relayed answer of an urgent
	// feed before it calls the store itself. It is shorter than the time
	// within which a leaving server must get no new requests.
	silence = 1300 * time.Millisecond
	// urgent is the longest wait of an urgent feed. slowWait and slowSilence
	// are the times of the others.
	urgent      = 5 * time.Second
	slowWait    = 3 * time.Second
	slowSilence = 4500 * time.Millisecond
	// maxKept bounds the answers that wait to be read.
	maxKept = 64
)

// Mode says who follows the feeds for a router.
type Mode int

// The modes of a router.
const (
	// Alone routers follow the feeds for themselves.
	Alone Mode = iota
	// Relaying routers follow them for their data centre too.
	Relaying
	// Listening routers leave it to others.
	Listening
)

// Options configure a Store.
type Options struct {
	// Store is the platform's store.
	Store galenalatch.Store
	// Send passes an answer on to the routers of the data centre.
	Send func(m galenalatch.StoreAnswer)
}

// Store implements galenalatch.Store.
type Store struct {
	Options
	mu      sync.Mutex
	mode    Mode
	kept    map[string][]galenalatch.StoreAnswer
	arrived map[string]chan struct{}
}

// New returns a store of a router that follows the feeds alone.
func New(o Options) *Store {
	return &Store{Options: o, kept: make(map[string][]galenalatch.StoreAnswer), arrived: make(map[string]chan struct{})}
}

// SetMode tells who follows the feeds.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

func (s *Store) is(m Mode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == m
}

// Deliver takes an answer that another router has passed on.
func (s *Store) Deliver(m galenalatch.StoreAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := append(s.kept[m.Feed], m)
	if len(kept) > maxKept {
		kept = kept[len(kept)-maxKept:]
	}
	s.kept[m.Feed] = kept
	if c := s.arrived[m.Feed]; c != nil {
		close(c)
		s.arrived[m.Feed] = nil
	}
}

// next returns a kept answer that covers the changes after a version. It
// reports a gap when changes after it were missed.
func (s *Store) next(feed string, after uint64) (m galenalatch.StoreAnswer, ok, gap bool, arrived <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.kept[feed]
	for len(kept) > 0 {
		m = kept[0]
		kept = kept[1:]
		s.kept[feed] = kept
		switch {
		case m.Version < after:
			// Everything in it is known already, and newer is known to exist.
		case m.After > after:
			return m, false, true, nil
		default:
			return m, true, false, nil
		}
	}
	if s.arrived[feed] == nil {
		s.arrived[feed] = make(chan struct{})
	}
	return m, false, false, s.arrived[feed]
}

// await returns the next relayed answer. It reports false when the router
// should call the store itself, as for a call that is not to wait.
func (s *Store) await(ctx context.Context, feed string, after uint64, wait time.Duration) (galenalatch.StoreAnswer, bool) {
	if !s.is(Listening) || after == galenalatch.Everything || wait == 0 {
		return galenalatch.StoreAnswer{}, false
	}
	limit := time.NewTimer(quiet(wait))
	defer limit.Stop()
	for {
		m, ok, gap, arrived := s.next(feed, after)
		if ok || gap {
			return m, ok
		}
		select {
		case <-ctx.Done():
			return galenalatch.StoreAnswer{}, false
		case <-limit.C:
			return galenalatch.StoreAnswer{}, false
		case <-arrived:
		}
	}
}

// own returns how long the store may hold a call of this router. A router
// that was waiting for others asks for the changes at once.
func (s *Store) own(after uint64, wait time.Duration) time.Duration {
	switch {
	case after == galenalatch.Everything || s.is(Alone):
		return wait
	case s.is(Listening):
		return 0
	case wait <= urgent:
		return min(wait, relayWait)
	}
	return min(wait, slowWait)
}

// limit bounds a call that the store may hold for a time. A call whose answer
// is lost must not keep a router from the next one for longer.
func limit(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+feed.AnswerTime)
}

// quiet returns how long a router waits for a relayed answer.
func quiet(wait time.Duration) time.Duration {
	if wait <= urgent {
		return silence
	}
	return slowSilence
}

// pass sends an answer of the store to the other routers.
func (s *Store) pass(m galenalatch.StoreAnswer) {
	if s.is(Relaying) && m.After != galenalatch.Everything {
		s.Send(m)
	}
}

// Operators implements galenalatch.Store.
func (s *Store) Operators(ctx context.Context, after uint64, wait time.Duration) (galenalatch.OperatorUpdate, error) {
	if m, ok := s.await(ctx, operators, after, wait); ok {
		return galenalatch.OperatorUpdate{
			Position: m.Position(), Configuration: m.Configuration, Out: m.Out, In: m.In,
		}, nil
	}
	wait = s.own(after, wait)
	ctx, cancel := limit(ctx, wait)
	defer cancel()
	u, err := s.Store.Operators(ctx, after, wait)
	if err == nil {
		s.pass(galenalatch.StoreAnswer{
			Feed: operators, After: after, Version: u.Version, Clock: u.Clock,
			Configuration: u.Configuration, Out: u.Out, In: u.In,
		})
	}
	return u, err
}

// Servers implements galenalatch.Store.
func (s *Store) Servers(ctx context.Context, after uint64, wait time.Duration) (galenalatch.ServerUpdate, error) {
	if m, ok := s.await(ctx, servers, after, wait); ok {
		return galenalatch.ServerUpdate{Position: m.Position(), Present: m.Present, Gone: m.Gone}, nil
	}
	wait = s.own(after, wait)
	ctx, cancel := limit(ctx, wait)
	defer cancel()
	u, err := s.Store.Servers(ctx, after, wait)
	if err == nil {
		s.pass(galenalatch.StoreAnswer{
			Feed: servers, After: after, Version: u.Version, Clock: u.Clock, Present: u.Present, Gone: u.Gone,
		})
	}
	return u, err
}

// Rows implements galenalatch.Store.
func (s *Store) Rows(ctx context.Context, table string, after uint64, wait time.Duration) (galenalatch.RowUpdate, error) {
	if m, ok := s.await(ctx, table, after, wait); ok {
		return galenalatch.RowUpdate{Position: m.Position(), Rows: m.Rows}, nil
	}
	wait = s.own(after, wait)
	ctx, cancel := limit(ctx, wait)
	defer cancel()
	u, err := s.Store.Rows(ctx, table, after, wait)
	if err == nil {
		s.pass(galenalatch.StoreAnswer{Feed: table, After: after, Version: u.Version, Clock: u.Clock, Rows: u.Rows})
	}
	return u, err
}

// Write implements galenalatch.Store.
func (s *Store) Write(ctx context.Context, table string, r galenalatch.StoreRow) error {
	return s.Store.Write(ctx, table, r)
}
