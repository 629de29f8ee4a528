package rollout

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// Reports returns what this router knows of running orders, for the other routers.
func (c *Controller) Reports(now time.Time) []galenalatch.RolloutReport {
	if c == nil {
		return nil
	}
	active := c.active.Load()
	if active == nil {
		return nil
	}
	var reports []galenalatch.RolloutReport
	for _, s := range *active {
		s.mu.Lock()
		if o := s.order; o != nil && !o.status.State.Final() {
			reports = append(reports, o.report(now, s))
		}
		s.mu.Unlock()
	}
	return reports
}

// SetRemote replaces the reports of another router, or of all routers of other data
// centres.
func (c *Controller) SetRemote(at time.Time, from galenalatch.RouterID, reports []galenalatch.RolloutReport) {
	if c == nil {
		return
	}
	active := c.active.Load()
	if active == nil {
		return
	}
	for _, s := range *active {
		s.setRemote(at, from, reports)
	}
}

func (s *service) setRemote(at time.Time, from galenalatch.RouterID, reports []galenalatch.RolloutReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.order == nil {
		return
	}
	delete(s.order.reports, from)
	for _, r := range reports {
		if r.Order == s.order.key {
			s.order.reports[from] = append(s.order.reports[from], timedReport{at, r})
		}
	}
}
