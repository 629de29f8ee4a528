package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/fleet/feed"
)

// feedName is the name of the status table in logs.
const feedName = "rollouts"

// run follows the status table while a running order needs it, until ctx ends.
func (c *Controller) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			c.follow(ctx)
		}
	}
}

// follow follows the status table until no order needs it any more.
func (c *Controller) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := func(ctx context.Context, after, seen galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
		stamp, err := c.readStatus(ctx, after, seen, wait)
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.following {
			cancel()
		}
		return stamp, err
	}
	statusWait := time.Duration(statusWaitPart * proofPart * float64(c.Within))
	f := &feed.Feed{Name: feedName, Wait: statusWait, Read: read, Events: c.Events, MinInterval: interval}
	// The only error is the end of ctx.
	_ = f.Run(ctx)
}

// readStatus reads the status table or its changes.
func (c *Controller) readStatus(ctx context.Context, after, seen galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
	sent := time.Now()
	u, err := c.Store.Rows(ctx, c.Rows.Table(), after, wait)
	if err := feed.CheckAnswer(u.Stamp, after, seen, err); err != nil {
		return u.Stamp, err
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := make(map[string]galenalatch.RolloutStatus)
	for _, r := range u.Rows {
		s, ok, err := c.Rows.Decode(r)
		if err != nil {
			c.Events.Invalid(feedName, err)
		}
		if ok {
			statuses[s.Service] = s
		}
	}
	for name, s := range c.services {
		status, changed := statuses[name]
		if u.Complete || changed {
			s.applyStatus(now, status, c.storeStart)
		}
		s.proveStatus(sent, u.Position)
	}
	c.look(now)
	return u.Stamp, nil
}

// proveStatus records that the status table as of a position of the store was read by a
// call made at a time.
func (s *service) proveStatus(sent time.Time, at galenalatch.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.order
	if o == nil {
		return
	}
	if !o.current(sent) {
		o.currentSince = sent
	}
	o.statusRead = o.statusRead || !at.Before(o.position)
	o.statusProof = sent
}

// applyStatus takes over the status row of the service, which may be of another order or
// undecodable.
func (s *service) applyStatus(now time.Time, status galenalatch.RolloutStatus, storeStart time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.row = status.Version
	o := s.order
	if o == nil {
		return
	}
	o.writing = false
	if o.status.State.Final() {
		return
	}
	if o.outdated = status.Order > o.Version; o.outdated {
		// This router has not read the newer order yet.
		return
	}
	if status.Order != o.Version || status.Target != o.Target {
		// The row is of an older order or another writer, or gone: write it again.
		o.status.State = ""
		return
	}
	before := o.status
	o.applyStatus(now, status, storeStart)
	s.finish(now)
	if before.State != status.State || before.Step != status.Step {
		s.c.Events.RolloutChanged(status, o.progress)
	}
}

// finish avoids the versions that an order that is done has replaced. An order that was
// done when this router read it first has replaced them long ago.
func (s *service) finish(now time.Time) {
	o := s.order
	if o.status.State != galenalatch.RolloutDone || !o.statusRead {
		return
	}
	for v, u := range s.uses {
		if v != o.Target && len(u.Servers) > 0 {
			s.avoid[v] = now.Add(oldVersionTime)
		}
	}
}

// statusWrite is one write of a status.
type statusWrite struct {
	s      *service
	status galenalatch.RolloutStatus
}

// due returns the write that is due at this router now, or nil. Routers write one after
// the other, so that most writes need one call of the whole fleet. A router that does not
// reach the store does not write, and waits for its turn again afterwards.
func (s *service) due(now time.Time) *statusWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.order
	if o == nil || o.outdated || o.due.State == "" || !o.dueAt.Equal(o.lookedAt) || o.status.State.Final() || !o.current(now) || now.Sub(o.lastWrite) < retryDelay && o.writing {
		return nil
	}
	since := o.dueSince
	if o.currentSince.After(since) {
		since = o.currentSince
	}
	if s.rank < 0 || now.Sub(since) < time.Duration(s.rank)*rankDelay {
		return nil
	}
	o.writing, o.lastWrite = true, now
	status := o.due
	status.Version = s.row
	return &statusWrite{s: s, status: status}
}

// run performs the write. What the store then holds comes by the status table, also if
// the answer is lost.
func (w *statusWrite) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c := w.s.c
	row, err := c.Rows.Encode(w.status)
	if err == nil {
		err = c.Store.Write(ctx, c.Rows.Table(), row)
	}
	if errors.Is(err, galenalatch.ErrWriteConflict) {
		// Another router was first.
		return
	}
	c.Events.RolloutWritten(w.status, err)
}
