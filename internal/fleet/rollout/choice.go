package rollout

import (
	"errors"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/rollout"
)

// Choice restricts the servers of one attempt of a request. The zero value restricts
// nothing.
type Choice struct {
	// Versions restricts the servers.
	Versions placement.Versions
	service  *service
	order    *order
	route    uint32
	exposed  bool
	sent     bool
	// held is set while Versions leaves out versions that are held.
	held bool
}

// Compared reports whether the answer to the attempt is compared with others.
func (c *Choice) Compared() bool { return c.order != nil }

// Choose returns the choice for an attempt. Number is a hash of the request's id.
func (c *Controller) Choose(now time.Time, name, route string, number uint64) Choice {
	if c == nil {
		return Choice{}
	}
	active := c.active.Load()
	if active == nil {
		return Choice{}
	}
	s, ok := (*active)[name]
	if !ok {
		return Choice{}
	}
	return s.choose(now, routeKey(route), number)
}

func (s *service) choose(now time.Time, route uint32, number uint64) Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := Choice{Versions: placement.Versions{Avoid: s.avoided}, service: s, order: s.order, route: route, held: len(s.held) > 0}
	o := s.order
	if o == nil || o.status.State.Final() || s.avoided == nil || !o.statusRead || o.outdated {
		return choice
	}
	if o.stopped != "" || len(s.uses[o.Target].Servers) == 0 || !s.sendToTarget(now, route, number) {
		return choice
	}
	choice.exposed = true
	o.exposure.Take(route)
	choice.Versions = placement.Versions{Target: o.Target, Empty: o.step < rollout.Full || now.Sub(o.since) < fillTime}
	if o.step == rollout.Canary {
		choice.Versions.Servers = s.canaries
	}
	return choice
}

// sendToTarget reports whether an attempt goes to the target of the order. The caller
// holds s.mu.
func (s *service) sendToTarget(now time.Time, route uint32, number uint64) bool {
	const parts = 1000
	o := s.order
	if o.step >= rollout.Partial && o.current(now) {
		return float64(number%parts) < o.step.Share()*parts
	}
	need, known := o.needs[route]
	if !known {
		need = rollout.Lacking
	}
	return o.exposure.Wanted(s.c.Bounds, route, need) && o.exposure.Allow(s.c.Bounds, s.rank)
}

// FallBack gives up the new version because none of its servers can take the request, and
// then the hold of versions because no server of another one can. It reports whether the
// versions of the choice have changed.
func (c *Choice) FallBack() bool {
	if !c.exposed && !c.held {
		return false
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if o := c.order; c.exposed && o == c.service.order && o.left {
		return false
	}
	if !c.exposed {
		c.held = false
		c.Versions = placement.Versions{Avoid: c.service.unproved}
		return true
	}
	c.unreserve()
	c.Versions = placement.Versions{Avoid: c.service.avoided}
	return true
}

var errStopped = errors.New("the router sends nothing to this version of the service any more")

// Send counts the attempt right before it is sent. It returns an error if it must not be
// sent, because the order has come to an end since the choice.
func (c *Choice) Send(version string) error {
	if c.order == nil {
		return nil
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	o := c.order
	ended := o != c.service.order || o.stopped != "" || o.status.State == galenalatch.RolloutRolledBack
	if version == o.Target && ended && c.service.avoided != nil {
		return errStopped
	}
	if version != o.Target && o == c.service.order && o.left && o.status.State == galenalatch.RolloutRunning {
		return errStopped
	}
	o.exposure.Count(version == o.Target)
	c.sent = true
	c.unreserve()
	return nil
}

// unreserve ends the reservation of a request to the target. The caller holds the lock of
// the service.
func (c *Choice) unreserve() {
	if c.exposed {
		c.order.exposure.Return(c.route, c.sent)
		c.exposed = false
	}
}

// Answer is the end of an attempt.
type Answer struct {
	Version string
	// Bad is set for a failure of the server. Void is set when the attempt tells nothing.
	Bad, Void bool
	// First is the time to the first byte and Expected the predicted one. Pace is the
	// time between two events of a stream; 0 when there is none. Warm is unset when the
	// server is too new to compare times.
	First, Expected, Pace time.Duration
	Warm                  bool
}

// paceUnit is the time between events with which those of streams are compared.
const paceUnit = 20 * time.Millisecond

// End records the end of an attempt.
func (c *Choice) End(a Answer) {
	if c.order == nil {
		return
	}
	c.service.mu.Lock()
	c.unreserve()
	if c.sent && !a.Void {
		c.order.record(c.route, a)
	}
	c.service.mu.Unlock()
	if c.sent && !a.Void {
		c.service.c.Events.RolloutAnswered(c.service.name, a.Version, a.Bad)
	}
}

// record adds an answer to the evidence of the step.
func (o *order) record(route uint32, a Answer) {
	if o.status.State.Final() {
		return
	}
	var answers rollout.Answers
	if a.Bad {
		answers.Bad = 1
	} else {
		answers.Good = 1
	}
	if a.Warm && a.First > 0 && a.Expected > 0 {
		answers.First.Add(float64(a.First) / float64(a.Expected))
	}
	if a.Warm && a.Pace > 0 {
		answers.Pace.Add(float64(a.Pace) / float64(paceUnit))
	}
	pair := rollout.Pair{Old: answers}
	if a.Version == o.Target {
		pair = rollout.Pair{New: answers}
	}
	o.evidence.Add(rollout.Evidence{route: pair})
}

// IsWarm reports whether the times of a server listed at a time can be compared.
func IsWarm(now, listed time.Time, cold bool) bool {
	return !cold && now.Sub(listed) >= warmTime
}
