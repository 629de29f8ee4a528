package assignment

import (
	"bytes"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/assignment"
)

// service is the state of one service. The lock of its controller guards it.
type service struct {
	c    *Controller
	name string
	// life is how long after its first event a stream may be resumed.
	life time.Duration
	plan assignment.Plan
	// row is the stored row, stored the edition that it holds.
	row    galenalatch.StoreRow
	stored uint64
	// steady are the slots that have not moved since the first plan that this router has
	// read, and were settled in it. In the others streams of an earlier process may be left.
	steady  assignment.Slots
	streams map[galenalatch.RequestID]*record
	reports map[galenalatch.RouterID]timedReport
	// settled is Knowledge.Settled.
	settled assignment.Slots
	// dueSince is when a write became due; zero while none is. written is the row that the
	// last write was to replace.
	dueSince  time.Time
	lastWrite time.Time
	written   uint64
}

// record is what is known of a stream that this router has begun or resumed.
type record struct {
	version string
	slot    assignment.Slots
	// open is the number of attempts that are being served, until the time until which
	// the stream may be resumed after those that have ended. Its caller waits until the
	// time resumable at the latest.
	open      int
	until     time.Time
	resumable time.Time
}

// timedReport is a report with the time at which it was received.
type timedReport struct {
	at     time.Time
	report galenalatch.StreamReport
}

func newService(c *Controller, name string) *service {
	return &service{c: c, name: name, streams: make(map[galenalatch.RequestID]*record), reports: make(map[galenalatch.RouterID]timedReport)}
}

// setRow applies the stored row, whose version is 0 if there is none. What this router has
// acted on stays in force when the store has lost it.
func (s *service) setRow(r galenalatch.StoreRow) {
	if r.Version == s.row.Version && bytes.Equal(r.Value, s.row.Value) {
		return
	}
	s.row, s.stored = r, 0
	if r.Version == 0 {
		return
	}
	p, err := assignment.Decode(r.Value)
	if err != nil {
		s.c.Events.PlanInvalid(s.name, err)
		return
	}
	s.stored = p.Edition
	if p.Edition <= s.plan.Edition {
		return
	}
	if s.plan.Edition == 0 {
		s.steady = ^assignment.Slots(0)
	}
	s.steady &^= p.Unsettled()
	s.settled &= p.SameAs(s.plan)
	s.plan = p
	s.dueSince = time.Time{}
	s.c.Events.PlanApplied(s.name, p)
}

// expire forgets the streams that cannot be resumed any more.
func (s *service) expire(now time.Time) {
	for id, r := range s.streams {
		if r.open == 0 && now.After(r.until) {
			delete(s.streams, id)
		}
	}
	for id, r := range s.reports {
		if now.Sub(r.at) >= maxReportAge {
			delete(s.reports, id)
		}
	}
	s.updateSettled(now)
}

// left returns the slots in which streams may be left at this router at another version than
// that of the plan.
func (s *service) left(now time.Time) assignment.Slots {
	var left assignment.Slots
	if (s.c.restarted || !s.c.FirstStart) && now.Sub(s.c.started) < s.life {
		left = ^s.steady
	}
	for id, r := range s.streams {
		if r.version != s.plan.Version(id) {
			left |= r.slot
		}
	}
	return left
}

// updateSettled computes of which slots all routers have told, with the same plan, that no
// stream is left at another version. It changes nothing while one does not tell, or soon after
// one has left the list.
func (s *service) updateSettled(now time.Time) {
	known, left := 0, s.left(now)
	if _, listed := slices.BinarySearch(s.c.listed, string(s.c.Self)); listed {
		known = 1
	}
	for _, r := range s.reports {
		if r.report.Oldest == s.plan.Edition {
			known += int(r.report.Routers)
		}
		left |= assignment.Slots(r.report.Left)
	}
	lost := !s.c.lostAt.IsZero() && now.Sub(s.c.lostAt) < s.life
	if known >= len(s.c.listed) && !lost {
		s.settled |= ^left
	}
}

// knowledge returns what this router knows of the streams that are left.
func (s *service) knowledge(now time.Time) assignment.Knowledge {
	return assignment.Knowledge{Settled: s.settled, Clock: s.c.storeClock(now), Life: s.life}
}

// storeClock returns a time that the store's clock has passed. The caller holds c.mu.
func (c *Controller) storeClock(now time.Time) time.Duration { return now.Sub(c.storeStart) }

// due returns the write that is due at this router now, or nil. Routers write one after the
// other, so that most plans need one call of the whole fleet.
func (s *service) due(now time.Time) *planWrite {
	next, delay, ok := s.next(now)
	if !ok {
		s.dueSince = time.Time{}
		return nil
	}
	if s.dueSince.IsZero() {
		s.dueSince = now
	}
	if s.written == s.row.Version && now.Sub(s.lastWrite) < writeInterval {
		return nil
	}
	rank := s.c.rank(s.name)
	if rank < 0 || now.Sub(s.dueSince) < delay+time.Duration(rank)*rankDelay {
		return nil
	}
	s.lastWrite, s.written = now, s.row.Version
	return &planWrite{c: s.c, service: s.name, plan: next, version: s.row.Version}
}

// next returns the plan that should follow the stored one, if any, and for how long it must
// have been due.
func (s *service) next(now time.Time) (next assignment.Plan, delay time.Duration, ok bool) {
	clock, weights := s.c.storeClock(now), s.weights(now)
	if s.plan.Edition == 0 {
		next, ok = assignment.First(clock, weights, s.c.FirstStart)
		return next, 0, ok
	}
	if s.stored < s.plan.Edition {
		return s.plan.WithEditionAfter(s.stored), 0, true
	}
	imbalance := s.plan.Imbalance(weights)
	if imbalance == assignment.Large || imbalance == assignment.Stranded {
		return s.plan.WithWeights(clock, weights), 0, true
	}
	if settled := s.settled & s.plan.Unsettled(); settled != 0 {
		return s.plan.WithSettled(settled), 0, true
	}
	if imbalance == assignment.Slight {
		return s.plan.WithWeights(clock, weights), slightDelay, true
	}
	return next, 0, false
}

// weights returns the parts of new streams that the versions should get: by their servers
// that are not cold, or by all of them if all are.
func (s *service) weights(now time.Time) assignment.Weights {
	uses := s.c.Table.VersionUses(now, s.name)
	warm, all := make(assignment.Weights), make(assignment.Weights)
	for v, u := range uses {
		if len(u.Servers) > 0 {
			all[v] = float64(len(u.Servers))
		}
		if u.Warm > 0 {
			warm[v] = float64(u.Warm)
		}
	}
	w := warm
	if len(warm) == 0 {
		w = all
	}
	return s.c.Rollouts.Weigh(s.name, w)
}
