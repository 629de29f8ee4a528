package assignment

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Reports returns what this router tells the others of the plans of which not all versions
// are known to all routers.
func (c *Controller) Reports(now time.Time) []galenalatch.StreamReport {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []galenalatch.StreamReport
	for name, s := range c.services {
		if s.plan.Unsettled() != 0 {
			reports = append(reports, galenalatch.StreamReport{
				Service: serviceKey(name), Routers: 1, Oldest: s.plan.Edition, Newest: s.plan.Edition, Left: uint64(s.left(now)),
			})
		}
	}
	slices.SortFunc(reports, func(a, b galenalatch.StreamReport) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}

// SetRemote replaces the reports of another router, or those of all other data centres.
func (c *Controller) SetRemote(now time.Time, from galenalatch.RouterID, reports []galenalatch.StreamReport) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if from != galenalatch.RemoteDataCentres && now.After(c.heardAt) {
		c.heardAt = now
	}
	for name, s := range c.services {
		delete(s.reports, from)
		key := serviceKey(name)
		for _, r := range reports {
			if r.Service == key {
				s.reports[from] = timedReport{now, r}
			}
		}
	}
}
