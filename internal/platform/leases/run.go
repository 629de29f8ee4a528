package leases

import (
	"context"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

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

// read reads the rows that are wanted: those of the near cells one by one
// while they are few, or else all rows in one list.
func (s *Store) read(ctx context.Context) bool {
	s.mu.Lock()
	now := time.Now()
	list := !now.Before(s.nextList)
	want := map[galenalatch.CellID]*cell{}
	near, held := 0, 0
	known := maps.Clone(s.cells)
	for _, c := range s.cells {
		if c.lease.Epoch() != 0 {
			held++
		}
	}
	for id, c := range s.cells {
		if !c.lease.ReadDue(now) {
			continue
		}
		isNear := s.near(c, held)
		if isNear {
			near++
		}
		// Next could return a write, which must not be dropped.
		if (isNear || list) && c.lease.Next(now).Read {
			want[id] = c
		}
	}
	if list = len(want) > 0 && (list || near > maxSingle); list {
		s.nextList = now.Add(s.listEvery)
	}
	s.mu.Unlock()
	switch {
	case len(want) == 0:
		return false
	case list:
		s.readList(ctx, want, known)
	default:
		s.readSingle(ctx, want)
	}
	return true
}

// near reports whether the row of a cell must be read often: the result of an
// own write is not known, this router would take the cell over soon, or its
// holder may be gone. Held cells have raised the rank, but not the place
// among the candidates.
func (s *Store) near(c *cell, held int) bool {
	if !c.lease.Idle() || c.rank >= 0 && c.rank < nearRanks+held || c.unchanged {
		return true
	}
	row, ok := c.lease.Row()
	return ok && row.Holder != "" && !s.reachable(row.Holder)
}

// readList reads all rows. They are observed in all cells that were known
// before, so that the next list is wanted by all of them at the same time.
func (s *Store) readList(ctx context.Context, want, known map[galenalatch.CellID]*cell) {
	list, err := s.table.List(ctx, prefix)
	rows := make(map[string]galenalatch.Row, len(list))
	for _, r := range list {
		rows[r.Key] = r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, c := range known {
		row, ok := rows[key(id)]
		switch {
		case err != nil && want[id] != nil:
			c.observe(now, galenalatch.Row{}, err, s.config.Renew)
		case err == nil && ok:
			c.observe(now, row, nil, s.config.Renew)
		case err == nil:
			c.observe(now, galenalatch.Row{}, galenalatch.KindNotFound.Errorf("no lease row of %s", id), s.config.Renew)
		}
	}
}

// readSingle reads the rows at the same time, so that rows that hang delay
// the next renewal no longer than one call.
func (s *Store) readSingle(ctx context.Context, want map[galenalatch.CellID]*cell) {
	var g errgroup.Group
	for id, c := range want {
		g.Go(func() error {
			row, err := s.table.Get(ctx, key(id))
			s.mu.Lock()
			defer s.mu.Unlock()
			c.observe(time.Now(), row, err, s.config.Renew)
			return nil
		})
	}
	_ = g.Wait()
}

// observe takes in a row that was read. A row that is the same after more
// than two renewals is that of a holder that may be gone.
func (c *cell) observe(now time.Time, row galenalatch.Row, err error, renew time.Duration) {
	if err == nil {
		switch {
		case row.Tag != c.tag:
			c.tag, c.since, c.unchanged = row.Tag, now, false
		case now.Sub(c.since) > 2*renew:
			c.unchanged = true
		}
	}
	c.lease.Observe(now, row, err)
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
