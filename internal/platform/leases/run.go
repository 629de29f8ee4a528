package leases

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Run renews, takes over and releases leases until ctx ends. It releases
// nothing by itself then.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		s.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-s.wake:
		}
	}
}

// step carries out one round of actions: writes before reads, so that a read
// that hangs does not delay a renewal.
func (s *Store) step(ctx context.Context) {
	if s.write(ctx) {
		s.tell()
	}
	if s.read(ctx) {
		s.tell()
		// A read can be all that a takeover has waited for.
		s.write(ctx)
	}
	s.tell()
}

// write sends all writes that are due in one batch.
func (s *Store) write(ctx context.Context) bool {
	s.mu.Lock()
	var cells []*cell
	var writes []galenalatch.Write
	due := map[*cell]bool{}
	now := time.Now()
	for _, c := range s.cells {
		if c.dropped {
			// A takeover can have taken effect after the cell was dropped.
			c.lease.Release(now, "")
		}
		if w := c.lease.Next(now).Write; w != nil {
			due[c] = true
			cells, writes = append(cells, c), append(writes, *w)
		}
	}
	for _, c := range s.cells {
		if len(writes) == 0 || due[c] {
			continue
		}
		if w := c.lease.Early(now).Write; w != nil {
			cells, writes = append(cells, c), append(writes, *w)
		}
	}
	s.mu.Unlock()
	if len(writes) == 0 {
		return false
	}
	results, err := s.table.Batch(ctx, writes)
	switch {
	case err == nil && len(results) != len(writes):
		err = galenalatch.KindUnclear.Errorf("batch of %d writes has %d results", len(writes), len(results))
	case err != nil && galenalatch.KindOf(err) != galenalatch.KindPlatformDown:
		err = galenalatch.KindUnclear.Errorf("%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now = time.Now()
	for i, c := range cells {
		if err != nil {
			c.lease.Result(now, galenalatch.Row{}, err)
			continue
		}
		c.lease.Result(now, results[i].Row, results[i].Err)
	}
	return true
}

// read reads all rows if one is wanted.
func (s *Store) read(ctx context.Context) bool {
	s.mu.Lock()
	now := time.Now()
	want := map[*cell]bool{}
	due := false
	for _, c := range s.cells {
		// Next could return a write, which must not be dropped.
		want[c] = c.lease.ReadDue(now) && c.lease.Next(now).Read
		due = due || want[c]
	}
	s.mu.Unlock()
	if !due {
		return false
	}
	list, err := s.table.List(ctx, prefix)
	rows := make(map[string]galenalatch.Row, len(list))
	for _, r := range list {
		rows[r.Key] = r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now = time.Now()
	for id, c := range s.cells {
		wanted, started := want[c]
		row, ok := rows[key(id)]
		switch {
		case !started:
			// The cell was added after the read was sent.
		case err != nil && wanted:
			c.lease.Observe(now, galenalatch.Row{}, err)
		case err == nil && ok:
			c.lease.Observe(now, row, nil)
		case err == nil:
			c.lease.Observe(now, galenalatch.Row{}, galenalatch.KindNotFound.Errorf("no lease row of %s", id))
		}
	}
	return true
}

// tell notifies of changed states and removes dropped cells.
func (s *Store) tell() {
	type change struct {
		id    galenalatch.CellID
		state State
	}
	var changes []change
	s.mu.Lock()
	now := time.Now()
	for id, c := range s.cells {
		st := c.state(now)
		if !st.same(c.told) {
			c.told = st
			changes = append(changes, change{id, st})
			close(c.changed)
			c.changed = make(chan struct{})
		}
		if c.dropped && c.lease.Idle() {
			delete(s.cells, id)
		}
	}
	s.mu.Unlock()
	for _, ch := range changes {
		s.notify(ch.id, ch.state)
	}
}
