// Package leases keeps the leases of all cells of one router in the platform's
// table. One list call reads all rows, and one batch renews all leases.
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
	// keyPrefix is the prefix of the keys of all lease rows.
	keyPrefix = "leases/"
	// stepInterval is the time between two steps of Run, unless it is woken
	// earlier.
	stepInterval = 100 * time.Millisecond
	// frequentReadRanks is the number of first candidates of a cell that read
	// its row often. The others see the row only when all rows are listed.
	frequentReadRanks = 3
	// maxSingleReads is the largest number of rows that are read one by one
	// instead of with a list call.
	maxSingleReads = 4
	// fleetListsPerSecond is the rate of list calls of all routers together. A
	// list call every 500 ms took 88 KB/s per router at 250 rows.
	fleetListsPerSecond = 40
)

// State is the state of a cell's lease as this router has read or written it.
type State struct {
	// Epoch is the epoch of this router's own lease, or 0 when it has none. It
	// stays after the lease has expired, until a newer holder is known.
	Epoch galenalatch.Epoch
	// Held is set while the lease is valid. Lapsed is set after it has expired
	// and could not be renewed because the platform failed.
	Held, Lapsed bool
	// ExpiresAt is when the lease ends unless it is renewed. It is zero when
	// Epoch is 0.
	ExpiresAt time.Time
	// Unconfirmed is set while an earlier holder may still grant requests under
	// its lapsed lease.
	Unconfirmed bool
	// Holder, HolderEpoch and Released are from the newest row that was read or
	// written. They are zero when there is none.
	Holder      galenalatch.RouterID
	HolderEpoch galenalatch.Epoch
	Released    bool
	// Predecessors are the earlier holders that the row lists as not yet known
	// to have stopped.
	Predecessors []lease.Predecessor
}

// Store keeps the leases of one process. Its methods may be called
// concurrently.
type Store struct {
	table  galenalatch.Table
	config lease.Config
	notify func(galenalatch.CellID, State)
	wake   chan struct{}

	reachable func(galenalatch.RouterID) bool

	mu           sync.Mutex
	cells        map[galenalatch.CellID]*cell
	listInterval time.Duration
	nextList     time.Time
}

// cell is the lease of one cell.
type cell struct {
	lease *lease.Lease
	rank  int
	// tag is that of the newest row, and tagSince is when it was first seen.
	// overdue is set when the row has not changed since then although its
	// holder should have renewed it.
	tag      string
	tagSince time.Time
	overdue  bool
	// notified is the state of the last notification.
	notified State
	// removed is set when the cell is to be deleted as soon as its lease is
	// idle.
	removed bool
	// changed is closed and replaced at each notification.
	changed chan struct{}
}

// Option configures a Store.
type Option func(*Store)

// WithNotify sets a function that Run calls when the state of a cell has
// changed in more than Expires. While the platform hangs, the call is late by
// up to two timeouts of the platform client; State is always current.
func WithNotify(f func(galenalatch.CellID, State)) Option {
	return func(s *Store) { s.notify = f }
}

// WithConfig sets the durations. Zero durations take their defaults; Router,
// Start and NewID of c are ignored.
func WithConfig(c lease.Config) Option {
	return func(s *Store) {
		c.Router, c.Start, c.NewID = s.config.Router, s.config.Start, s.config.NewID
		s.config = c.WithDefaults()
	}
}

// WithReachable sets a function that reports whether a router can be reached.
// The rows of unreachable holders are read often. By default all are reachable.
func WithReachable(f func(galenalatch.RouterID) bool) Option {
	return func(s *Store) { s.reachable = f }
}

// SetRouterCount sets the number of routers. The time between two list calls
// grows with it: the load on the platform stays the same, and changes of
// holders are also learned from other routers.
func (s *Store) SetRouterCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listInterval = time.Duration(n) * time.Second / fleetListsPerSecond
}

// New returns a store without cells for one process of the router. start is a
// random id of the process.
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
// starting from 0. With a negative rank the router does not take the cell over,
// but renews a lease that it holds. Leases of cells that are not in the map are
// released.
func (s *Store) SetCells(ranks map[galenalatch.CellID]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, c := range s.cells {
		if _, ok := ranks[id]; !ok {
			c.removed = true
			c.rank = -1
			c.lease.SetRank(-1)
			c.lease.Release(now, "")
		}
	}
	for id, rank := range ranks {
		c := s.cells[id]
		if c == nil {
			config := s.config
			config.Key = rowKey(id)
			c = &cell{lease: lease.New(config), changed: make(chan struct{})}
			s.cells[id] = c
		}
		c.removed = false
		c.rank = rank
		c.lease.SetRank(rank)
	}
	s.wakeRun()
}

// rowKey returns the key of the lease row of a cell.
func rowKey(id galenalatch.CellID) string {
	return keyPrefix + url.PathEscape(string(id.Pool)) + "/" + url.PathEscape(string(id.DataCentre)) + "/" + strconv.Itoa(id.Index)
}

// State returns the current state of a cell. It is zero for an unknown cell.
func (s *Store) State(id galenalatch.CellID) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cells[id]
	if c == nil {
		return State{}
	}
	return c.state(time.Now())
}

// States returns the current states of all cells.
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

// OwnStates returns the current states of the cells whose Epoch is not 0.
func (s *Store) OwnStates() map[galenalatch.CellID]State {
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
		ExpiresAt:   l.Expires(),
		Unconfirmed: l.Unconfirmed(now),
	}
	if row, ok := l.Row(); ok {
		st.Holder, st.HolderEpoch, st.Released = row.Holder, row.Epoch, row.Released
		st.Predecessors = row.Unconfirmed
	}
	return st
}

// equalIgnoringExpiry reports whether two states are the same except for
// Expires and the remaining times of the predecessors.
func (s State) equalIgnoringExpiry(o State) bool {
	return s.Epoch == o.Epoch && s.Held == o.Held && s.Lapsed == o.Lapsed && s.Unconfirmed == o.Unconfirmed &&
		s.Holder == o.Holder && s.HolderEpoch == o.HolderEpoch && s.Released == o.Released &&
		slices.EqualFunc(s.Predecessors, o.Predecessors, func(a, b lease.Predecessor) bool { return a.Epoch == b.Epoch })
}

// ObserveEpoch records that another router holds, or has held, the cell with
// epoch e. It reports whether that ended this router's own lease.
func (s *Store) ObserveEpoch(id galenalatch.CellID, e galenalatch.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cells[id]
	return c != nil && c.lease.ObserveEpoch(e)
}

// ConfirmStopped records that the holder of the cell with the earlier epoch e
// has stopped.
func (s *Store) ConfirmStopped(id galenalatch.CellID, e galenalatch.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.cells[id]; c != nil {
		c.lease.ConfirmStopped(e)
	}
}

// Release gives up the lease of a cell and waits until the row shows this.
// successor may take over at once; it may be empty. State reports the lease as
// not held from the start of the call. When ctx ends first, Release returns an
// error of KindPlatformDown, and Run continues to write the release.
func (s *Store) Release(ctx context.Context, id galenalatch.CellID, successor galenalatch.RouterID) error {
	s.mu.Lock()
	c := s.cells[id]
	if c == nil {
		s.mu.Unlock()
		return nil
	}
	c.lease.Release(time.Now(), successor)
	s.mu.Unlock()
	s.wakeRun()
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

// wakeRun makes Run take its next step now.
func (s *Store) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
