package demo

import (
	"context"
	"time"
)

// countRuns counts the runs in the data centre that was taken out of service, at
// the time from which it must get no new ones.
func (s *scenario) countRuns(ctx context.Context) {
	defer s.background.Done()
	select {
	case <-ctx.Done():
		return
	case <-s.takenOut:
	}
	if s.takenOutAt.IsZero() {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(s.takenOutAt.Add(maxDispatchTime))):
		n := s.dataCentreRuns()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runsAtCount, s.runsCounted = n, true
	}
}

// lateRuns returns the number of runs that began after that count, and whether it
// was made.
func (s *scenario) lateRuns() (n int, counted bool) {
	total := s.dataCentreRuns()
	s.mu.Lock()
	defer s.mu.Unlock()
	return total - s.runsAtCount, s.runsCounted
}

// awaitDrain stops a router, waits until it has drained, and removes it from the
// instance list.
func (s *scenario) awaitDrain(began time.Time, r *fleetRouter) {
	defer s.background.Done()
	r.cancel()
	if err := r.wait(); err != nil {
		s.reportFault("router %s cut off requests: %v", r.id, err)
		return
	}
	s.fleet.platform.RemoveInstance(string(r.id))
	s.logEvent("%s has ended after %v; no request was cut off", r.id, time.Since(began).Round(100*time.Millisecond))
}
