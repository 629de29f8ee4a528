// Package store is an in-memory stand-in for the platform's store. It holds the
// configuration that operators publish, the registrations of backend servers
// and the tables that routers write. Tests inject faults with SetFault.
package store

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
	// NoFault is the absence of a fault.
	NoFault Fault = ""
	// RefuseCalls makes all calls return an error at once.
	RefuseCalls Fault = "refusing"
	// Hang blocks reads until their context ends. Writes return an error
	// at once.
	Hang Fault = "silent"
	// HistoryLost makes the next read of changes after a version return
	// galenalatch.ErrHistoryGone. Then the fault is cleared.
	HistoryLost Fault = "forgetful"
	// LoseResponse applies writes and returns an error for them.
	LoseResponse Fault = "losing"
)

var errStoreDown = errors.New("the store is down")

// change is one entry of the history. Exactly one of configuration, dataCentre,
// registration, unregistered, row and rollout is set.
type change struct {
	version       uint64
	feed          string
	configuration *galenalatch.Configuration
	dataCentre    galenalatch.DataCentre
	outOfService  bool
	registration  *galenalatch.Registration
	unregistered  galenalatch.ServerID
	row           galenalatch.StoreRow
	rollout       *galenalatch.RolloutOrder
}

// key identifies the item that the change replaces.
func (c change) key() string {
	switch {
	case c.configuration != nil:
		return "configuration"
	case c.rollout != nil:
		return "rollout " + c.rollout.Service
	case c.dataCentre != "":
		return "out " + string(c.dataCentre)
	case c.registration != nil:
		return "server " + string(c.registration.ID)
	case c.unregistered != "":
		return "server " + string(c.unregistered)
	}
	return "row " + c.row.Key
}

// content is what a store holds.
type content struct {
	version uint64
	history []change
}

// Copy is what a store held at a time.
type Copy struct{ content }

// Store implements galenalatch.Store in memory.
type Store struct {
	mu    sync.Mutex
	start time.Time
	// era is the number of times that the store has come back from a copy.
	era uint64
	content
	changed chan struct{}
	fault   Fault
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{start: time.Now(), changed: make(chan struct{})}
}

// SetFault replaces the injected fault; NoFault clears it. A read that is
// already waiting for a change is affected at the end of its wait.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of reads and writes so far, including failed ones.
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

// append adds a change with the next version and wakes the waiting reads. The
// caller must hold s.mu.
func (s *Store) append(c change) {
	s.version++
	c.version = s.version
	s.history = append(s.history, c)
	s.notify()
}

// notify wakes the waiting reads. The caller must hold s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Backup returns a copy of what the store holds.
func (s *Store) Backup() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{content{version: s.version, history: slices.Clone(s.history)}}
}

// Restore makes the store come back from a copy, in its next era. What it has received
// since the copy is lost. Waiting reads return an error.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.content = content{version: c.version, history: slices.Clone(c.history)}
	s.notify()
}

// Configure publishes a configuration in place of an operator.
func (s *Store) Configure(c *galenalatch.Configuration) {
	s.add(change{feed: "operators", configuration: c})
}

// SetOutOfService takes a data centre out of service, or returns it to service
// if outOfService is false.
func (s *Store) SetOutOfService(d galenalatch.DataCentre, outOfService bool) {
	s.add(change{feed: "operators", dataCentre: d, outOfService: outOfService})
}

// Order publishes the order of a roll-out, or removes that of its service if it is marked as
// removed.
func (s *Store) Order(o galenalatch.RolloutOrder) {
	s.add(change{feed: "operators", rollout: &o})
}

// Register publishes the registration of a backend server and replaces an
// earlier one with the same ID.
func (s *Store) Register(r galenalatch.Registration) {
	s.add(change{feed: "servers", registration: &r})
}

// Unregister removes the registration of a backend server.
func (s *Store) Unregister(id galenalatch.ServerID) {
	s.add(change{feed: "servers", unregistered: id})
}

// read returns the latest change of each key after a version, ordered by version.
// If there is none, it waits for one, at most for the duration wait. A read of
// everything does not wait.
func (s *Store) read(ctx context.Context, feed string, after galenalatch.Position, wait time.Duration) ([]change, galenalatch.Stamp, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	s.mu.Lock()
	s.calls++
	era := s.era
	s.mu.Unlock()
	for {
		if s.isHanging() {
			<-ctx.Done()
			return nil, galenalatch.Stamp{}, ctx.Err()
		}
		changes, p, changed, err := s.latestChanges(feed, after)
		if p.Era != era {
			return nil, p, errStoreDown
		}
		if err != nil || after == galenalatch.ReadAll || len(changes) > 0 {
			return changes, p, err
		}
		select {
		case <-ctx.Done():
			return nil, p, ctx.Err()
		case <-timeout.C:
			if s.isHanging() {
				<-ctx.Done()
				return nil, p, ctx.Err()
			}
			changes, p, _, err = s.latestChanges(feed, after)
			return changes, p, err
		case <-changed:
		}
	}
}

func (s *Store) isHanging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == Hang
}

// latestChanges returns the latest change of each key after a version, ordered
// by version, without waiting. A read of everything leaves out removed items.
// The channel is closed at the next change.
func (s *Store) latestChanges(feed string, after galenalatch.Position) ([]change, galenalatch.Stamp, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := galenalatch.Stamp{Position: galenalatch.Position{Era: s.era, Version: s.version}, Clock: time.Since(s.start)}
	switch s.fault {
	case RefuseCalls:
		return nil, p, nil, errStoreDown
	case HistoryLost:
		if after != galenalatch.ReadAll {
			s.fault = NoFault
			return nil, p, nil, galenalatch.ErrHistoryGone
		}
	}
	if after != galenalatch.ReadAll && after.Version > s.version {
		return nil, p, nil, galenalatch.ErrHistoryGone
	}
	latest := make(map[string]change)
	for _, c := range s.history {
		if c.feed == feed && (after == galenalatch.ReadAll || c.version > after.Version) {
			latest[c.key()] = c
		}
	}
	var changes []change
	for _, c := range latest {
		removed := c.row.Deleted || c.rollout != nil && c.rollout.Removed || c.unregistered != "" || c.dataCentre != "" && !c.outOfService
		if after != galenalatch.ReadAll || !removed {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	return changes, p, s.changed, nil
}

// Operators implements galenalatch.Store.
func (s *Store) Operators(ctx context.Context, after galenalatch.Position, wait time.Duration) (galenalatch.OperatorUpdate, error) {
	changes, p, err := s.read(ctx, "operators", after, wait)
	u := galenalatch.OperatorUpdate{Stamp: p, Complete: after == galenalatch.ReadAll}
	for _, c := range changes {
		switch {
		case c.configuration != nil:
			u.Configuration = c.configuration
		case c.rollout != nil:
			o := *c.rollout
			o.Version = c.version
			u.Rollouts = append(u.Rollouts, o)
		case c.outOfService:
			u.OutOfService = append(u.OutOfService, c.dataCentre)
		default:
			u.BackInService = append(u.BackInService, c.dataCentre)
		}
	}
	return u, err
}

// Servers implements galenalatch.Store.
func (s *Store) Servers(ctx context.Context, after galenalatch.Position, wait time.Duration) (galenalatch.ServerUpdate, error) {
	changes, p, err := s.read(ctx, "servers", after, wait)
	u := galenalatch.ServerUpdate{Stamp: p, Complete: after == galenalatch.ReadAll}
	for _, c := range changes {
		if c.registration != nil {
			u.Registered = append(u.Registered, *c.registration)
		} else {
			u.Removed = append(u.Removed, c.unregistered)
		}
	}
	return u, err
}

// Rows implements galenalatch.Store.
func (s *Store) Rows(ctx context.Context, table string, after galenalatch.Position, wait time.Duration) (galenalatch.RowUpdate, error) {
	changes, p, err := s.read(ctx, "table "+table, after, wait)
	u := galenalatch.RowUpdate{Stamp: p, Complete: after == galenalatch.ReadAll}
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
	if s.fault == RefuseCalls || s.fault == Hang {
		return errStoreDown
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
	if s.fault == LoseResponse {
		return errStoreDown
	}
	return nil
}
