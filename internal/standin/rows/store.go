// Package rows is a stand-in for the platform's store: it keeps what
// operators and backend servers publish, and the system's own tables, in
// memory. Tests switch faults on and off.
package rows

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Fault is a way in which the store misbehaves.
type Fault string

// The faults of the store.
const (
	// Sound stores answer.
	Sound Fault = ""
	// Refusing stores answer with an error at once.
	Refusing Fault = "refusing"
	// Silent stores do not answer.
	Silent Fault = "silent"
	// Forgetful stores have dropped their history once.
	Forgetful Fault = "forgetful"
	// Losing stores write and do not answer.
	Losing Fault = "losing"
)

var errDown = errors.New("the store is down")

// change is one entry of the history.
type change struct {
	version       uint64
	feed          string
	configuration *galenalatch.Configuration
	dataCentre    galenalatch.DataCentre
	out           bool
	registration  *galenalatch.Registration
	gone          galenalatch.ServerID
	row           galenalatch.StoreRow
}

// key names what the change replaces.
func (c change) key() string {
	switch {
	case c.configuration != nil:
		return "configuration"
	case c.dataCentre != "":
		return "out " + string(c.dataCentre)
	case c.registration != nil:
		return "server " + string(c.registration.ID)
	case c.gone != "":
		return "server " + string(c.gone)
	}
	return "row " + c.row.Key
}

// Store implements galenalatch.Store.
type Store struct {
	mu      sync.Mutex
	start   time.Time
	version uint64
	history []change
	changed chan struct{}
	fault   Fault
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{start: time.Now(), changed: make(chan struct{})}
}

// SetFault switches a fault on or off.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) add(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(c)
}

// append adds a change. s.mu is held.
func (s *Store) append(c change) {
	s.version++
	c.version = s.version
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Configure publishes a configuration, as operators do.
func (s *Store) Configure(c *galenalatch.Configuration) {
	s.add(change{feed: "operators", configuration: c})
}

// SetOut takes a data centre out of service or returns it.
func (s *Store) SetOut(d galenalatch.DataCentre, out bool) {
	s.add(change{feed: "operators", dataCentre: d, out: out})
}

// Register publishes a backend server.
func (s *Store) Register(r galenalatch.Registration) {
	s.add(change{feed: "servers", registration: &r})
}

// Unregister removes a backend server.
func (s *Store) Unregister(id galenalatch.ServerID) {
	s.add(change{feed: "servers", gone: id})
}

// read returns the newest change of each key after a version, in order.
func (s *Store) read(ctx context.Context, feed string, after uint64, wait time.Duration) ([]change, galenalatch.Position, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		if s.silent() {
			<-ctx.Done()
			return nil, galenalatch.Position{}, ctx.Err()
		}
		changes, p, changed, err := s.look(feed, after)
		if err != nil || after == galenalatch.Everything || len(changes) > 0 {
			return changes, p, err
		}
		select {
		case <-ctx.Done():
			return nil, p, ctx.Err()
		case <-limit.C:
			if s.silent() {
				<-ctx.Done()
				return nil, p, ctx.Err()
			}
			changes, p, _, err = s.look(feed, after)
			return changes, p, err
		case <-changed:
		}
	}
}

// silent reports whether the store does not answer.
func (s *Store) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == Silent
}

func (s *Store) look(feed string, after uint64) ([]change, galenalatch.Position, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := galenalatch.Position{Version: s.version, Clock: time.Since(s.start)}
	switch s.fault {
	case Refusing:
		return nil, p, nil, errDown
	case Forgetful:
		if after != galenalatch.Everything {
			s.fault = Sound
			return nil, p, nil, galenalatch.ErrHistoryGone
		}
	}
	newest := make(map[string]change)
	for _, c := range s.history {
		if c.feed == feed && (after == galenalatch.Everything || c.version > after) {
			newest[c.key()] = c
		}
	}
	var changes []change
	for _, c := range newest {
		dropped := c.row.Deleted || c.gone != "" || c.dataCentre != "" && !c.out
		if after != galenalatch.Everything || !dropped {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	return changes, p, s.changed, nil
}

// Operators implements galenalatch.Store.
func (s *Store) Operators(ctx context.Context, after uint64, wait time.Duration) (galenalatch.OperatorUpdate, error) {
	changes, p, err := s.read(ctx, "operators", after, wait)
	u := galenalatch.OperatorUpdate{Position: p, Complete: after == galenalatch.Everything}
	for _, c := range changes {
		switch {
		case c.configuration != nil:
			u.Configuration = c.configuration
		case c.out:
			u.Out = append(u.Out, c.dataCentre)
		default:
			u.In = append(u.In, c.dataCentre)
		}
	}
	return u, err
}

// Servers implements galenalatch.Store.
func (s *Store) Servers(ctx context.Context, after uint64, wait time.Duration) (galenalatch.ServerUpdate, error) {
	changes, p, err := s.read(ctx, "servers", after, wait)
	u := galenalatch.ServerUpdate{Position: p, Complete: after == galenalatch.Everything}
	for _, c := range changes {
		if c.registration != nil {
			u.Present = append(u.Present, *c.registration)
		} else {
			u.Gone = append(u.Gone, c.gone)
		}
	}
	return u, err
}

// Rows implements galenalatch.Store.
func (s *Store) Rows(ctx context.Context, table string, after uint64, wait time.Duration) (galenalatch.RowUpdate, error) {
	changes, p, err := s.read(ctx, "table "+table, after, wait)
	u := galenalatch.RowUpdate{Position: p, Complete: after == galenalatch.Everything}
	for _, c := range changes {
		r := c.row
		r.Version = c.version
		u.Rows = append(u.Rows, r)
	}
	return u, err
}

// Write implements galenalatch.Store.
func (s *Store) Write(_ context.Context, table string, r galenalatch.StoreRow) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.fault == Refusing || s.fault == Silent {
		return errDown
	}
	feed, current := "table "+table, uint64(0)
	for _, c := range s.history {
		if c.feed == feed && c.row.Key == r.Key {
			current = c.version
			if c.row.Deleted {
				current = 0
			}
		}
	}
	if current != r.Version {
		return galenalatch.ErrWriteConflict
	}
	s.append(change{feed: feed, row: r})
	if s.fault == Losing {
		return errDown
	}
	return nil
}
