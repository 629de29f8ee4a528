package demo

import (
	"context"
	"time"
)

// countOut counts the runs in the data centre out of service at the time
// from which there must be no new ones.
func (s *story) countOut(ctx context.Context) {
	defer s.ending.Done()
	select {
	case <-ctx.Done():
		return
	case <-s.taken:
	}
	if s.outAt.IsZero() {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(s.outAt.Add(serviceEnds))):
		n := s.runsOut()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs, s.counted = n, true
	}
}

// lateRuns returns the runs that began since the count.
func (s *story) lateRuns() (n int, counted bool) {
	now := s.runsOut()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.runs, s.counted
}

// awaitStop waits until a router has drained, and takes it off the instance
// list.
func (s *story) awaitStop(began time.Time, r *member) {
	defer s.ending.Done()
	r.cancel()
	if err := r.wait(); err != nil {
		s.fault("router %s cut off requests: %v", r.id, err)
		return
	}
	s.site.platform.RemoveInstance(string(r.id))
	s.say("%s has ended after %v; no request was cut off", r.id, time.Since(began).Round(100*time.Millisecond))
}
