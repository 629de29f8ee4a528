package baseline

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// Static divides the slots of a pool into fixed equal parts, one for each
// workspace. A part that its workspace does not use stays idle.
type Static struct {
	part    int
	first   *FirstCome
	parked  map[galenalatch.WorkspaceName]*FirstCome
	running map[galenalatch.WorkspaceName]int
	owner   map[galenalatch.RequestID]galenalatch.WorkspaceName
}

var _ galenalatch.Policy = (*Static)(nil)

// NewStatic divides slots among the given number of workspaces. Each
// workspace receives at least one slot.
func NewStatic(slots, workspaces int) *Static {
	return &Static{
		part:    max(1, slots/max(1, workspaces)),
		first:   NewFirstCome(),
		parked:  make(map[galenalatch.WorkspaceName]*FirstCome),
		running: make(map[galenalatch.WorkspaceName]int),
		owner:   make(map[galenalatch.RequestID]galenalatch.WorkspaceName),
	}
}

// SetLimits implements galenalatch.Policy.
func (*Static) SetLimits(galenalatch.WorkspaceName, galenalatch.Limits) {}

// Add implements galenalatch.Policy.
func (s *Static) Add(now time.Time, w galenalatch.Waiting) error {
	return s.first.Add(now, w)
}

// Remove implements galenalatch.Policy.
func (s *Static) Remove(r galenalatch.RequestID) bool {
	if s.first.Remove(r) {
		return true
	}
	for _, p := range s.parked {
		if p.Remove(r) {
			return true
		}
	}
	return false
}

// Next implements galenalatch.Policy.
func (s *Static) Next(now time.Time) (galenalatch.Waiting, bool) {
	for {
		w, ok := s.first.Next(now)
		if !ok {
			return w, false
		}
		if s.running[w.Workspace] < s.part {
			s.running[w.Workspace]++
			s.owner[w.Request] = w.Workspace
			return w, true
		}
		p := s.parked[w.Workspace]
		if p == nil {
			p = NewFirstCome()
			s.parked[w.Workspace] = p
		}
		_ = p.Add(now, w)
	}
}

// Charge implements galenalatch.Policy.
func (*Static) Charge(galenalatch.RequestID, int64) {}

// Settle implements galenalatch.Policy.
func (s *Static) Settle(r galenalatch.RequestID, _ int64) {
	w, ok := s.owner[r]
	if !ok {
		return
	}
	delete(s.owner, r)
	s.running[w]--
	if p := s.parked[w]; p != nil {
		if next, ok := p.Next(time.Time{}); ok {
			_ = s.first.Add(time.Time{}, next)
		}
	}
}

// Len implements galenalatch.Policy.
func (s *Static) Len() int {
	n := s.first.Len()
	for _, p := range s.parked {
		n += p.Len()
	}
	return n
}
