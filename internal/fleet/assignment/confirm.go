package assignment

import (
	"context"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// confirmPause is the time in which attempts to resume streams share a read of the
	// plans, and confirmTimeout bounds the read.
	confirmPause   = 20 * time.Millisecond
	confirmTimeout = 300 * time.Millisecond
)

// confirmation is a read of the plans that several attempts wait for.
type confirmation struct {
	c    *Controller
	done chan struct{}
	err  error
}

// confirm reads the plans from the store, so that none that this router has not heard of can
// have begun a stream before. While the store has not answered for maxReportAge, what other
// routers have told since counts: none has a newer plan.
func (c *Controller) confirm(ctx context.Context, name string) error {
	c.mu.Lock()
	next := c.confirming
	if next == nil {
		next = &confirmation{c: c, done: make(chan struct{})}
		c.confirming = next
		go next.run()
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return galenalatch.KindWaitTimeout.Errorf("%w", context.Cause(ctx))
	case <-next.done:
	}
	if next.err == nil || c.heardPlan(time.Now(), name) {
		return nil
	}
	return galenalatch.KindCatalogueStale.Errorf("the versions of service %s could not be read: %w", name, next.err)
}

// run reads the plans after confirmPause.
func (n *confirmation) run() {
	defer close(n.done)
	time.Sleep(confirmPause)
	n.c.mu.Lock()
	n.c.confirming = nil
	n.c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	n.err = n.c.readPlans(ctx, time.Now())
}

// readPlans reads the plans that have changed.
func (c *Controller) readPlans(ctx context.Context, now time.Time) error {
	rows, err := c.Read(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if c.failingSince.IsZero() {
			c.failingSince = now
		}
		return err
	}
	c.failingSince = time.Time{}
	for key, r := range rows {
		name, ok := strings.CutPrefix(key, KeyPrefix)
		if s := c.services[name]; ok && s != nil && r.Version > s.row.Version {
			s.setRow(r)
		}
	}
	return nil
}

// heardPlan reports whether the reads of the plans have failed for maxReportAge, another router
// has been heard within that time, or there is none, and none has a newer plan of the service.
func (c *Controller) heardPlan(now time.Time, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok || now.Sub(c.failingSince) < maxReportAge {
		return false
	}
	for _, r := range s.reports {
		if r.report.Newest > s.plan.Edition {
			return false
		}
	}
	return len(c.listed) <= 1 || now.Sub(c.heardAt) < maxReportAge
}
