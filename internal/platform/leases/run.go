package leases

import (
	"context"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenalatch/galenalatch"
)

// Run takes over, renews and releases leases until ctx ends. It then returns
// the error of ctx without releasing any lease.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(stepInterval)
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

// step writes and reads what is due. It writes first, so that a read that hangs
// does not delay a renewal.
func (s *Store) step(ctx context.Context) {
	if s.writeBatch(ctx) {
		s.notifyChanges()
	}
	if s.readRows(ctx) {
		s.notifyChanges()
		// The read may have made a takeover possible.
		s.writeBatch(ctx)
	}
	s.notifyChanges()
}

// writeBatch sends all due writes in one batch. It reports whether there were
// any. Renewals that are due soon are sent with them.
func (s *Store) writeBatch(ctx context.Context) bool {
	s.mu.Lock()
	var cells []*cell
	var writes []galenalatch.Write
	due := map[*cell]bool{}
	now := time.Now()
	for _, c := range s.cells {
		if c.removed {
			// A takeover can take effect after the cell was removed.
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
		if w := c.lease.NextEarly(now).Write; w != nil {
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
		err = galenalatch.KindWriteUnknown.Errorf("batch of %d writes has %d results", len(writes), len(results))
	case err != nil && galenalatch.KindOf(err) != galenalatch.KindPlatformDown:
		err = galenalatch.KindWriteUnknown.Errorf("%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now = time.Now()
	for i, c := range cells {
		if err != nil {
			c.lease.WriteDone(now, galenalatch.Row{}, err)
			continue
		}
		c.lease.WriteDone(now, results[i].Row, results[i].Err)
	}
	return true
}

// readRows reads the rows that are due: with one list call when one is due or
// more than maxSingleReads rows must be read often, and otherwise one by one.
// It reports whether anything was read.
func (s *Store) readRows(ctx context.Context) bool {
	s.mu.Lock()
	now := time.Now()
	list := !now.Before(s.nextList)
	due := map[galenalatch.CellID]*cell{}
	frequent, held := 0, 0
	allCells := maps.Clone(s.cells)
	for _, c := range s.cells {
		if c.lease.Epoch() != 0 {
			held++
		}
	}
	for id, c := range s.cells {
		if !c.lease.ReadDue(now) {
			continue
		}
		often := s.readsOften(c, held)
		if often {
			frequent++
		}
		// ReadDue is checked before Next is called, because Next could return a
		// write, which would be lost here.
		if (often || list) && c.lease.Next(now).Read {
			due[id] = c
		}
	}
	if list = len(due) > 0 && (list || frequent > maxSingleReads); list {
		s.nextList = now.Add(s.listInterval)
	}
	s.mu.Unlock()
	switch {
	case len(due) == 0:
		return false
	case list:
		s.readList(ctx, due, allCells)
	default:
		s.readSingly(ctx, due)
	}
	return true
}

// readsOften reports whether the row of a cell must be read often: the result
// of a write of this router is unknown, the router is among the first
// candidates, or the holder may have failed. held is the number of cells that
// the router holds. Each raises the rank of the router in other cells by one,
// which is not counted here.
func (s *Store) readsOften(c *cell, held int) bool {
	if !c.lease.Idle() || c.rank >= 0 && c.rank < frequentReadRanks+held || c.overdue {
		return true
	}
	row, ok := c.lease.Row()
	return ok && row.Holder != "" && !s.reachable(row.Holder)
}

// readList reads all rows with one list call. The result also goes to cells
// whose read was not due, so that the next reads of all cells are due at the
// same time.
func (s *Store) readList(ctx context.Context, due, cells map[galenalatch.CellID]*cell) {
	list, err := s.table.List(ctx, keyPrefix)
	rows := make(map[string]galenalatch.Row, len(list))
	for _, r := range list {
		rows[r.Key] = r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, c := range cells {
		row, ok := rows[rowKey(id)]
		switch {
		case err != nil && due[id] != nil:
			c.observe(now, galenalatch.Row{}, err, s.config.Renew)
		case err == nil && ok:
			c.observe(now, row, nil, s.config.Renew)
		case err == nil:
			c.observe(now, galenalatch.Row{}, galenalatch.KindNotFound.Errorf("no lease row of %s", id), s.config.Renew)
		}
	}
}

// readSingly reads the rows concurrently, so that calls that hang delay the
// next renewal by one timeout at most.
func (s *Store) readSingly(ctx context.Context, due map[galenalatch.CellID]*cell) {
	var g errgroup.Group
	for id, c := range due {
		g.Go(func() error {
			row, err := s.table.Get(ctx, rowKey(id))
			s.mu.Lock()
			defer s.mu.Unlock()
			c.observe(time.Now(), row, err, s.config.Renew)
			return nil
		})
	}
	_ = g.Wait()
}

// observe records the result of a read. A row that has not changed for more
// than two renewal periods is overdue: its holder may have failed.
func (c *cell) observe(now time.Time, row galenalatch.Row, err error, renew time.Duration) {
	if err == nil {
		switch {
		case row.Tag != c.tag:
			c.tag, c.tagSince, c.overdue = row.Tag, now, false
		case now.Sub(c.tagSince) > 2*renew:
			c.overdue = true
		}
	}
	c.lease.ReadDone(now, row, err)
}

// notifyChanges reports changed states and deletes removed cells whose lease is
// idle.
func (s *Store) notifyChanges() {
	type change struct {
		id    galenalatch.CellID
		state State
	}
	var changes []change
	s.mu.Lock()
	now := time.Now()
	for id, c := range s.cells {
		st := c.state(now)
		if !st.equalIgnoringExpiry(c.notified) {
			c.notified = st
			changes = append(changes, change{id, st})
			close(c.changed)
			c.changed = make(chan struct{})
		}
		if c.removed && c.lease.Idle() {
			delete(s.cells, id)
		}
	}
	s.mu.Unlock()
	for _, ch := range changes {
		s.notify(ch.id, ch.state)
	}
}
