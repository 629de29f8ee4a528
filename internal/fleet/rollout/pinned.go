package rollout

import (
	"maps"
	"time"

	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/rollout"
)

// ChooseVersion returns the choice for an attempt of a stream that may go to servers of one
// version only. It reports false if an order keeps requests from that version.
func (c *Controller) ChooseVersion(now time.Time, name, route, version string) (Choice, bool) {
	pinned := Choice{Versions: placement.Versions{Pinned: true, Pin: version}}
	if c == nil {
		return pinned, true
	}
	active := c.active.Load()
	if active == nil {
		return pinned, true
	}
	s, ok := (*active)[name]
	if !ok {
		return pinned, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.order
	if o == nil {
		return pinned, true
	}
	pinned.service, pinned.order, pinned.route = s, o, routeKey(route)
	if version != o.Target || o.status.State.Final() || s.avoided == nil {
		return pinned, version != o.Target || !s.avoided[version]
	}
	if !s.mayExpose(now) {
		return Choice{}, false
	}
	pinned.exposed = true
	o.exposure.Take(pinned.route)
	return pinned, true
}

// mayExpose reports whether a stream that is pinned to the target of the order may go there.
// The caller holds s.mu.
func (s *service) mayExpose(now time.Time) bool {
	o := s.order
	if o.stopped != "" || !o.statusRead || o.outdated {
		return false
	}
	return o.step >= rollout.Partial && o.current(now) || o.exposure.Allow(s.c.Bounds, s.rank)
}

// Weigh returns the weights of the versions of a service for new streams, of which each goes
// to one version only: those of w, but none for a version that is avoided, and the share of
// the step for the target of a running order.
func (c *Controller) Weigh(name string, w map[string]float64) map[string]float64 {
	if c == nil {
		return w
	}
	active := c.active.Load()
	if active == nil {
		return w
	}
	s, ok := (*active)[name]
	if !ok {
		return w
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := maps.Clone(w)
	maps.DeleteFunc(allowed, func(v string, _ float64) bool { return s.avoided[v] })
	if len(allowed) == 0 {
		return w
	}
	if o := s.order; o != nil && s.avoided[o.Target] && w[o.Target] > 0 && !o.status.State.Final() && o.stopped == "" && o.statusRead && !o.outdated {
		s.weighTarget(allowed, w[o.Target])
	}
	return allowed
}

// weighTarget adds the weight of the target of the order. The caller holds s.mu.
func (s *service) weighTarget(w map[string]float64, all float64) {
	o := s.order
	share := s.c.Bounds.CanaryShare()
	if o.step >= rollout.Partial {
		share = o.step.Share()
	}
	if share >= 1 {
		clear(w)
		w[o.Target] = all
		return
	}
	others := 0.0
	for _, x := range w {
		others += x
	}
	w[o.Target] = others * share / (1 - share)
}
