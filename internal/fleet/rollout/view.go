package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

// View returns what this router knows of the roll-outs, sorted by service.
func (c *Controller) View(now time.Time) []status.Rollout {
	all := []status.Rollout{}
	if c == nil {
		return all
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		if v, ok := s.view(now); ok {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b status.Rollout) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// view returns what this router knows of the order, and false if there is none.
func (s *service) view(now time.Time) (status.Rollout, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.order
	if o == nil {
		return status.Rollout{}, false
	}
	v := status.Rollout{
		Router: s.c.Self, Service: s.name, Target: o.Target, State: cmp.Or(o.status.State, galenalatch.RolloutRunning), Step: o.step.String(),
		SecondsLeft: o.deadline.Sub(now).Seconds(), Verdict: o.progress.Verdict.String(), Why: o.progress.Why, Stopped: o.stopped,
		Requests: int(o.progress.Requests), Exposed: int(o.progress.Exposed),
		Routers: o.progress.Routers, Known: o.progress.Known, Settled: o.progress.Settled, StatusAge: -1,
	}
	if o.status.State.Final() {
		v.Why = o.status.Why
	}
	if o.statusRead {
		v.StatusAge = now.Sub(o.statusProof).Seconds()
	}
	return v, true
}
