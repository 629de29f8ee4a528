package rollout

import (
	"fmt"
	"time"
)

// Step is a step of an order.
type Step int

// The steps. In Canary each router keeps to its own share; from Partial on the routers
// send the step's share.
const (
	Canary Step = iota
	Partial
	Full
)

// String returns the name of the step in logs.
func (s Step) String() string {
	return [...]string{"canary", "partial", "full"}[s]
}

// Share returns the share of requests that go to the new version in a step from Partial
// on.
func (s Step) Share() float64 {
	if s >= Full {
		return 1
	}
	return partialShare
}

const (
	partialShare = 0.2
	// stepTime is the shortest time of the steps after Canary, in which evidence
	// reaches all routers, and reactionTime the time from a bad answer to the last
	// request that a router sends to a version.
	// proofTime is the time of a step after which a version that is not sound gets no
	// more than the bound leaves.
	stepTime     = 700 * time.Millisecond
	proofTime    = 900 * time.Millisecond
	reactionTime = 800 * time.Millisecond
	// turnTime is the time in which another router takes the next step if the first one
	// does not.
	turnTime = 500 * time.Millisecond
	// roomTime is the time of all requests that is left between the canary and the
	// bound.
	roomTime = 250 * time.Millisecond
	// endPart of the duration, and at least minEnd, are left for the steps after
	// Canary and for the running requests of the old version. minCanaryPart of the
	// duration is left for Canary.
	endPart       = 0.4
	minEnd        = 5600 * time.Millisecond
	minCanaryPart = 0.3
	// decisionTime before the deadline, an order that is not proved ends.
	decisionTime = time.Second
	// remainingPart is the part of the requests expected until the deadline that is
	// relied on.
	remainingPart = 0.9
	// slackReserve is the part of the fixed number that is left for routers whose
	// lists differ.
	slackReserve = 0.1
	// silenceTime is how long routers without a report hold up the end of an order
	// that all others have applied.
	silenceTime = 3 * time.Second
	// alonePause is for how long no server of an old version must have been listed
	// before an order counts as done.
	alonePause = time.Second
)

// Situation is what a router knows of an order.
type Situation struct {
	Now time.Time
	// Ordered is the time of the order. Since is the beginning of the step.
	Ordered  time.Time
	Deadline time.Time
	Step     Step
	Since    time.Time
	Verdict  Verdict
	Why      string
	// Requests to the service and Exposed of them to the new version are sums over
	// the fleet; Rate is the number of requests per second.
	Requests float64
	Exposed  float64
	Rate     float64
	// Routers is the number of listed routers, Known that of those with a report in
	// this step, and Settled that of those that have left the old version.
	Routers, Known, Settled int
	// Behind is the number of routers with a report of another step. They may still send
	// to the old version.
	Behind int
	// NewServers is the number of listed servers of the new version. OldGone is the
	// time for which none of another version has been listed.
	NewServers int
	OldGone    time.Duration
}

// Action is what is due.
type Action int

// The actions.
const (
	Stay Action = iota
	Advance
	Finish
	RollBack
)

// Next returns what is due and why. Bounds limit the exposure of a version that turns
// bad after the step.
func Next(b Bounds, s Situation) (Action, string) {
	switch {
	case s.Verdict == Bad:
		return RollBack, s.Why
	case s.NewServers > 0 && s.OldGone >= alonePause:
		return Finish, "no server of another version is listed"
	case s.Step < Full && !s.Now.Before(s.Deadline.Add(-decisionTime)):
		return RollBack, "not proved in time: " + s.Why
	case s.Step > Canary && s.Verdict != Sound && s.Now.Sub(s.Since) >= proofTime && !b.allowsReaction(s):
		return RollBack, "the bound is reached without a proof: " + s.Why
	case s.Step >= Full:
		return s.nextAtFull()
	case s.Verdict != Sound:
		return Stay, s.Why
	case s.Step == Canary && s.Now.Before(s.canaryEnd()):
		return Stay, "later faults can still show"
	case s.Step != Canary && s.Now.Sub(s.Since) < stepTime:
		return Stay, "evidence of this step is under way"
	case !b.allowsRest(s):
		return Stay, "the requests that a fault would reach exceed the bound"
	}
	return Advance, s.Why
}

// nextAtFull is Next when all requests go to the new version.
func (s Situation) nextAtFull() (Action, string) {
	silent := s.Known < s.Routers
	switch {
	case s.Verdict != Sound && !s.Now.Before(s.Deadline.Add(-decisionTime)):
		return RollBack, "not proved in time: " + s.Why
	case s.Verdict != Sound:
		return Stay, s.Why
	case s.Now.Sub(s.Since) < stepTime:
		return Stay, "evidence of this step is under way"
	case s.Settled < s.Known || s.Known == 0:
		return Stay, "requests of the old version still run"
	case s.Behind > 0:
		return Stay, fmt.Sprintf("%d routers are behind", s.Behind)
	case silent && s.Now.Sub(s.Since) < silenceTime:
		return Stay, fmt.Sprintf("%d routers have not reported", s.Routers-s.Known)
	}
	return Finish, s.Why
}

// canaryEnd returns when the steps after Canary may begin.
func (s Situation) canaryEnd() time.Time {
	d := s.Deadline.Sub(s.Ordered)
	end := max(time.Duration(endPart*float64(d)), minEnd)
	earliest := time.Duration(minCanaryPart * float64(d))
	return s.Ordered.Add(max(d-end, earliest))
}

// allowsRest reports whether a version that turns bad at the last step stays within the
// bounds: what it has got, the steps up to the last one, and the time until the last
// router stops.
func (b Bounds) allowsRest(s Situation) bool {
	return b.left(s) >= s.ahead()*s.Rate
}

// HasRoom reports whether the version may get more requests before the steps to come. It
// leaves a part, so that these fit when the rate changes.
func (b Bounds) HasRoom(s Situation) bool {
	return b.left(s) >= (s.ahead()+roomTime.Seconds())*s.Rate
}

// ahead returns the requests that a version gets from this step to the evidence on the
// last one, in seconds of all requests.
func (s Situation) ahead() float64 {
	ahead := reactionTime.Seconds() + minAnswers/max(s.Rate, 1)
	if s.Step == Canary {
		ahead += partialShare * (stepTime + turnTime).Seconds()
	}
	return ahead
}

// allowsReaction reports whether a version stays within the bounds if the routers stop
// sending to it now.
func (b Bounds) allowsReaction(s Situation) bool {
	return b.left(s) >= s.Step.Share()*reactionTime.Seconds()*s.Rate
}

// left returns how many more requests a bad version may get until the deadline.
func (b Bounds) left(s Situation) float64 {
	left := max(s.Deadline.Sub(s.Now), 0).Seconds()
	return b.Share*(s.Requests+remainingPart*s.Rate*left) + (1-slackReserve)*b.Slack - s.Exposed
}
