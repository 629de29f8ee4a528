package rollout

import (
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/rollout"
)

const (
	// maxReportAge is the age from which on the report of another router is ignored.
	maxReportAge = 1500 * time.Millisecond
	// dueMemory is how long a status may not be due without losing its turn.
	dueMemory = time.Second
	// fillTime is how long after the beginning of the last step the caches of the target's
	// servers are taken for empty.
	fillTime = 3 * time.Second
	// warmTime is how long the times of a server do not count after it was listed.
	warmTime = 3 * time.Second
)

// order is what this router knows of an order. The lock of its service guards it.
type order struct {
	galenalatch.RolloutOrder
	// position is that of the order's row, in the era in which it was read.
	position galenalatch.Position
	key      uint32
	ordered  time.Time
	deadline time.Time
	// storeDeadline is the deadline by the store's clock.
	storeDeadline time.Duration
	// status is the newest status of this order, with an empty state before the first
	// one. statusRead is set once the status table was read as of the order or later; the
	// target gets no requests before. statusProof is when it was
	// last known to be current, and currentSince the beginning of the time for which
	// it has been.
	status     galenalatch.RolloutStatus
	statusRead bool
	// outdated is set while the status row is of a newer order.
	outdated     bool
	statusProof  time.Time
	proofLimit   time.Duration
	currentSince time.Time
	step         rollout.Step
	since        time.Time
	// left is set once this router sends nothing to the old version any more: in the last
	// step, when it had no request there.
	left bool
	// stopped is why this router sends nothing to the target any more.
	stopped string

	exposure *rollout.Exposure
	// evidence holds the answers to this router in the step, history those to the fleet
	// as of the last look.
	evidence rollout.Evidence
	history  rollout.History
	progress Progress
	// needs tells which routes lack answers of the target.
	needs   map[uint32]rollout.Need
	reports map[galenalatch.RouterID][]timedReport
	// due is the status that this router would write, with an empty state for none.
	// dueSince is when it became due, dueAt when it was last due, and lookedAt the time
	// of the last look.
	due       galenalatch.RolloutStatus
	dueSince  time.Time
	dueAt     time.Time
	lookedAt  time.Time
	lastWrite time.Time
	writing   bool
}

// Progress is what a router knows of an order in the whole fleet.
type Progress struct {
	Step    rollout.Step
	Verdict rollout.Verdict
	Why     string
	// Requests to the service since the order, and Exposed of them to the target.
	Requests, Exposed float64
	// Routers are listed, Known of them have a report in this step, and Settled have
	// left the old version.
	Routers, Known, Settled int
	// Behind are the routers with a report of another step.
	Behind int
}

// timedReport is a report with the time at which it was received.
type timedReport struct {
	at     time.Time
	report galenalatch.RolloutReport
}

func newOrder(now time.Time, o galenalatch.RolloutOrder, stamp galenalatch.Stamp, within time.Duration) *order {
	return &order{
		RolloutOrder: o, position: galenalatch.Position{Era: stamp.Era, Version: o.Version}, key: orderKey(o),
		ordered: now, deadline: now.Add(o.Duration), storeDeadline: stamp.Clock + o.Duration, since: now,
		exposure: rollout.NewExposure(), evidence: make(rollout.Evidence),
		proofLimit: time.Duration(proofPart * float64(within)), reports: make(map[galenalatch.RouterID][]timedReport),
	}
}

// current reports whether the status is known to be the newest one, so that the share of
// the step applies.
func (o *order) current(now time.Time) bool {
	return now.Sub(o.statusProof) < o.proofLimit
}

// applyStatus takes over a status of this order.
func (o *order) applyStatus(now time.Time, s galenalatch.RolloutStatus, storeStart time.Time) {
	o.status = s
	o.writing = false
	if s.Deadline > 0 {
		o.storeDeadline = s.Deadline
		o.deadline = storeStart.Add(s.Deadline)
		o.ordered = o.deadline.Add(-o.Duration)
	}
	step := min(max(rollout.Step(s.Step), rollout.Canary), rollout.Full)
	if step <= o.step {
		return
	}
	o.history, o.evidence = o.history.Advanced(), make(rollout.Evidence)
	o.step, o.since = step, now
}

// judge updates what is known of the fleet, and what is due. The caller holds the lock of
// s.
func (o *order) judge(now time.Time, s *service) {
	if o.status.State.Final() {
		return
	}
	verdict, why, p := o.summarize(now, s)
	if verdict == rollout.Bad && o.stopped == "" {
		o.stopped = why
		s.c.Events.RolloutStopped(o.RolloutOrder, why)
	}
	if o.stopped != "" {
		p.Verdict, p.Why = rollout.Bad, o.stopped
	}
	o.progress = p
	elapsed := max(now.Sub(o.ordered), time.Second)
	situation := rollout.Situation{
		Now: now, Ordered: o.ordered, Deadline: o.deadline, Step: o.step, Since: o.since,
		Verdict: p.Verdict, Why: p.Why, Requests: p.Requests, Exposed: p.Exposed, Rate: p.Requests / elapsed.Seconds(),
		Routers: p.Routers, Known: p.Known, Settled: p.Settled, Behind: p.Behind,
		NewServers: len(s.uses[o.Target].Servers), OldGone: s.othersGone(now),
	}
	// A request sent before this assignment is counted by oldRunning in the next update,
	// so that the report waits until it ends.
	o.left = o.stays(now) && (o.left || s.oldRunning() == 0)
	o.needs = o.history.Needs(s.c.Bounds.HasRoom(situation))
	action, why := rollout.Next(s.c.Bounds, situation)
	o.setDue(now, action, why)
}

// setDue determines the status that this router would write.
func (o *order) setDue(now time.Time, a rollout.Action, why string) {
	o.lookedAt = now
	next := galenalatch.RolloutStatus{
		Service: o.Service, State: galenalatch.RolloutRunning, Target: o.Target, Order: o.Version, Step: int(o.step), Deadline: o.storeDeadline, Why: why,
	}
	switch {
	case a == rollout.RollBack:
		next.State = galenalatch.RolloutRolledBack
	case a == rollout.Finish:
		next.State = galenalatch.RolloutDone
	case a == rollout.Advance:
		next.Step++
	case o.status.State != "":
		next = galenalatch.RolloutStatus{}
	default:
		next.Why = "ordered"
	}
	if next.State == "" {
		return
	}
	if next.State != o.due.State || next.Step != o.due.Step || now.Sub(o.dueAt) > dueMemory {
		o.dueSince = now
	}
	o.due, o.dueAt = next, now
}

// summarize sums up the reports of the fleet and compares the versions.
func (o *order) summarize(now time.Time, s *service) (rollout.Verdict, string, Progress) {
	p := Progress{Step: o.step, Routers: len(s.c.Routers())}
	fleet := make(rollout.Evidence)
	own := o.report(now, s)
	o.addReport(&p, fleet, own)
	for from, reports := range o.reports {
		for _, r := range reports {
			if now.Sub(r.at) >= maxReportAge {
				delete(o.reports, from)
				break
			}
			o.addReport(&p, fleet, r.report)
		}
	}
	o.history = o.history.WithCurrent(now, fleet)
	verdict, why := rollout.Judge(o.history)
	p.Verdict, p.Why = verdict, why
	return verdict, why, p
}

// addReport adds a report. Answers of other steps are left out.
func (o *order) addReport(p *Progress, e rollout.Evidence, r galenalatch.RolloutReport) {
	p.Requests += float64(r.Requests)
	p.Exposed += float64(r.Exposed)
	if r.Step != uint8(o.step) {
		p.Behind += int(r.Routers)
		return
	}
	p.Known += int(r.Routers)
	p.Settled += int(r.Settled)
	for _, a := range r.Answers {
		answers := rollout.Answers{Good: a.Good, Bad: a.Bad, First: rollout.Untrimmed(a.First), Pace: rollout.Untrimmed(a.Pace)}
		pair := rollout.Pair{Old: answers}
		if a.New {
			pair = rollout.Pair{New: answers}
		}
		e.Add(rollout.Evidence{a.Route: pair})
	}
}

// stays reports whether all requests of this router go to the target.
func (o *order) stays(now time.Time) bool {
	return o.step >= rollout.Full && o.stopped == "" && o.current(now)
}

// report returns the report of this router.
func (o *order) report(now time.Time, s *service) galenalatch.RolloutReport {
	r := galenalatch.RolloutReport{
		Order: o.key, Step: uint8(o.step), Routers: 1, Requests: o.exposure.Requests, Exposed: o.exposure.Exposed,
	}
	if o.left && o.stays(now) && s.oldRunning() == 0 {
		r.Settled = 1
	}
	for route, p := range o.evidence {
		for _, a := range []struct {
			new     bool
			answers rollout.Answers
		}{{false, p.Old}, {true, p.New}} {
			if a.answers == (rollout.Answers{}) {
				continue
			}
			r.Answers = append(r.Answers, galenalatch.RouteAnswers{
				Route: route, New: a.new, Good: a.answers.Good, Bad: a.answers.Bad,
				First: a.answers.First.Trimmed(), Pace: a.answers.Pace.Trimmed(),
			})
		}
	}
	return r
}
