// Package leases keeps the leases of all cells of one router in the
// platform's table: one list read per interval shows all rows, and one batch
// renews all leases.
package leases

import (
	"context"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/lease"
)

const (
	prefix = "leases/"
	// interval is the time between two steps of the state machines.
	interval = 100 * time.Millisecond
	// nearRanks is the number of first candidates of a cell that watch its
	// row closely. The others look at it with the list of all rows.
	nearRanks = 3
	// maxSingle is the number of rows up to which they are read one by one.
	maxSingle = 4
	// listsPerSecond is how often all routers together list the rows. At 250
	// rows, a list every 500 ms was 88 KB/s for each router.
	listsPerSecond = 40
)

// State is what a router knows about the lease of a cell.
type State struct {
	// Epoch is not 0 while this router is the holder as far as it knows,
	// also after the end of its lease.
	Epoch galenalatch.Epoch
	// Held says that the lease has not ended, Lapsed that it has ended and
	// could not be renewed because the platform failed.
	Held, Lapsed bool
	// Expires is when the lease ends unless it is renewed.
	Expires time.Time
	// Unconfirmed says that an earlier holder may still act as a lapsed one.
	Unconfirmed bool
	// Holder, HolderEpoch and Released are from the newest known row.
	Holder      galenalatch.RouterID
	HolderEpoch galenalatch.Epoch
	Released    bool
	// Predecessors are the earlier holders that may still act, as the row
	// names them.
	Predecessors []lease.Predecessor
}

// Store holds the leases of one process. Its methods may be called
// concurrently.
type Store struct {
	table  galenalatch.Table
	config lease.Config
	notify func(galenalatch.CellID, State)
	wake   chan struct{}

	reachable func(galenalatch.RouterID) bool

	mu        sync.Mutex
	cells     map[galenalatch.CellID]*cell
	listEvery time.Duration
	nextList  time.Time
}

// cell is the lease of one cell.
type cell struct {
	lease *lease.Lease
	rank  int
	// tag is that of the newest row, since when it was first seen. unchanged
	// says that the row should have been renewed since then.
	tag       string
	since     time.Time
	unchanged bool
	// told is the state of the last notification.
	told State
	// dropped says that the cell is removed once its lease is idle.
	dropped bool
	// changed is closed and replaced at each notification.
	changed chan struct{}
}

// Option changes a Store.
type Option func(*Store)

// WithNotify sets a function that Run calls when the state of a cell has
// changed in more than its end. While the platform hangs, it is called up to
// two timeouts late; State is exact at any time.
func WithNotify(f func(galenalatch.CellID, State)) Option {
	return func(s *Store) { s.notify = f }
}

// WithConfig replaces the durations.
func WithConfig(c lease.Config) Option {
	return func(s *Store) {
		c.Router, c.Start, c.NewID = s.config.Router, s.config.Start, s.config.NewID
		s.config = c.WithDefaults()
	}
}

// WithReachable sets a function that reports whether a router can be reached.
// The rows of those that cannot are read often.
func WithReachable(f func(galenalatch.RouterID) bool) Option {
	return func(s *Store) { s.reachable = f }
}

// SetRouters sets the number of routers. The time between two lists of all
// rows grows with it, since peers pass on new holders.
func (s *Store) SetRouters(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listEvery = time.Duration(n) * time.Second / listsPerSecond
}

// New returns a store for the process of the router that started with the
// random id start. It has no cells.
func New(t galenalatch.Table, router galenalatch.RouterID, start string, opts ...Option) *Store {
	s := &Store{
		table:  t,
		config: lease.Config{Router: router, Start: start, NewID: uuid.NewString}.WithDefaults(),
		notify: func(galenalatch.CellID, State) {},
		wake:   make(chan struct{}, 1),
		cells:  map[galenalatch.CellID]*cell{},

		reachable: func(galenalatch.RouterID) bool { return true },
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetCells sets the cells and this router's rank among the candidates of each,
// from 0. A negative rank makes it no candidate, but a lease that it holds is
// renewed. The leases of cells that are not in the map are released.
func (s *Store) SetCells(ranks map[galenalatch.CellID]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, c := range s.cells {
		if _, ok := ranks[id]; !ok {
			c.dropped = true
			c.rank = -1
			c.lease.SetRank(-1)
			c.lease.Release(now, "")
		}
	}
	for id, rank := range ranks {
		c := s.cells[id]
		if c == nil {
			config := s.config
			config.Key = key(id)
			c = &cell{lease: lease.New(config), changed: make(chan struct{})}
			s.cells[id] = c
		}
		c.dropped = false
		c.rank = rank
		c.lease.SetRank(rank)
	}
	s.poke()
}

// key returns the key of a cell's row.
func key(id galenalatch.CellID) string {
	return prefix + url.PathEscape(string(id.Pool)) + "/" + url.PathEscape(string(id.DataCentre)) + "/" + strconv.Itoa(id.Index)
}

// State returns the state of a cell at this moment.
func (s *Store) State(id galenalatch.CellID) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cells[id]
	if c == nil {
		return State{}
	}
	return c.state(time.Now())
}

// States returns the states of all cells.
func (s *Store) States() map[galenalatch.CellID]State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	states := make(map[galenalatch.CellID]State, len(s.cells))
	for id, c := range s.cells {
		states[id] = c.state(now)
	}
	return states
}

// Own returns the states of the cells that this router holds as far as it
// knows.
func (s *Store) Own() map[galenalatch.CellID]State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	states := make(map[galenalatch.CellID]State)
	for id, c := range s.cells {
		if c.lease.Epoch() != 0 {
			states[id] = c.state(now)
		}
	}
	return states
}

func (c *cell) state(now time.Time) State {
	l := c.lease
	st := State{
		Epoch:       l.Epoch(),
		Held:        l.Held(now),
		Lapsed:      l.Lapsed(now),
		Expires:     l.Expires(),
		Unconfirmed: l.Unconfirmed(now),
	}
	if row, ok := l.Row(); ok {
		st.Holder, st.HolderEpoch, st.Released = row.Holder, row.Epoch, row.Released
		st.Predecessors = row.Unconfirmed
	}
	return st
}

// same reports whether two states differ in nothing but their end.
func (s State) same(o State) bool {
	return s.Epoch == o.Epoch && s.Held == o.Held && s.Lapsed == o.Lapsed && s.Unconfirmed == o.Unconfirmed &&
		s.Holder == o.Holder && s.HolderEpoch == o.HolderEpoch && s.Released == o.Released &&
		slices.EqualFunc(s.Predecessors, o.Predecessors, func(a, b lease.Predecessor) bool { return a.Epoch == b.Epoch })
}

// Heard notes that a holder of the cell with epoch e was heard of. It reports
// whether that ended this router's own lease.
func (s *Store) Heard(id galenalatch.CellID, e galenalatch.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cells[id]
	return c != nil && c.lease.StopBecauseOf(e)
}

// Confirm notes that the cell's holder of the earlier epoch e has stopped.
func (s *Store) Confirm(id galenalatch.CellID, e galenalatch.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.cells[id]; c != nil {
		c.lease.Confirm(e)
	}
}

// Release gives up the lease of a cell in favour of the successor, which may
// be empty, and waits until the row says so. From the call on State reports
// that the lease is not held. Run goes on trying when ctx ends first.
func (s *Store) Release(ctx context.Context, id galenalatch.CellID, successor galenalatch.RouterID) error {
	s.mu.Lock()
	c := s.cells[id]
	if c == nil {
		s.mu.Unlock()
		return nil
	}
	c.lease.Release(time.Now(), successor)
	s.mu.Unlock()
	s.poke()
	for {
		s.mu.Lock()
		idle, changed := c.lease.Epoch() == 0, c.changed
		s.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return galenalatch.KindPlatformDown.Errorf("release of %s: %w", id, ctx.Err())
		case <-changed:
		}
	}
}

func (s *Store) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
