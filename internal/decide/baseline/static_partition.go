package baseline

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// StaticPartition divides the slots of a pool into fixed equal parts, one for
// each workspace. Slots that their workspace does not use stay idle. While a
// workspace uses all its slots, its waiting requests are blocked.
type StaticPartition struct {
	slotsPerWorkspace int
	ready             *FIFO
	blocked           map[galenalatch.WorkspaceName]*FIFO
	running           map[galenalatch.WorkspaceName]int
	workspaceOf       map[galenalatch.RequestID]galenalatch.WorkspaceName
}

var _ galenalatch.Policy = (*StaticPartition)(nil)

// NewStaticPartition returns an empty queue that divides slots among the given
// number of workspaces. Each workspace receives at least one slot.
func NewStaticPartition(slots, workspaces int) *StaticPartition {
	return &StaticPartition{
		slotsPerWorkspace: max(1, slots/max(1, workspaces)),
		ready:             NewFIFO(),
		blocked:           make(map[galenalatch.WorkspaceName]*FIFO),
		running:           make(map[galenalatch.WorkspaceName]int),
		workspaceOf:       make(map[galenalatch.RequestID]galenalatch.WorkspaceName),
	}
}

// SetLimits implements galenalatch.Policy.
func (*StaticPartition) SetLimits(galenalatch.WorkspaceName, galenalatch.Limits) {}

// Add implements galenalatch.Policy.
func (s *StaticPartition) Add(now time.Time, w galenalatch.Waiting) error {
	return s.ready.Add(now, w)
}

// Remove implements galenalatch.Policy.
func (s *StaticPartition) Remove(r galenalatch.RequestID) bool {
	if s.ready.Remove(r) {
		return true
	}
	for _, p := range s.blocked {
		if p.Remove(r) {
			return true
		}
	}
	return false
}

// Next implements galenalatch.Policy.
func (s *StaticPartition) Next(now time.Time) (galenalatch.Waiting, bool) {
	for {
		w, ok := s.ready.Next(now)
		if !ok {
			return w, false
		}
		if s.running[w.Workspace] < s.slotsPerWorkspace {
			s.running[w.Workspace]++
			s.workspaceOf[w.Request] = w.Workspace
			return w, true
		}
		p := s.blocked[w.Workspace]
		if p == nil {
			p = NewFIFO()
			s.blocked[w.Workspace] = p
		}
		_ = p.Add(now, w)
	}
}

// Charge implements galenalatch.Policy.
func (*StaticPartition) Charge(galenalatch.RequestID, int64) {}

// Settle implements galenalatch.Policy.
func (s *StaticPartition) Settle(r galenalatch.RequestID, _ int64) {
	w, ok := s.workspaceOf[r]
	if !ok {
		return
	}
	delete(s.workspaceOf, r)
	s.running[w]--
	if p := s.blocked[w]; p != nil {
		if next, ok := p.Next(time.Time{}); ok {
			_ = s.ready.Add(time.Time{}, next)
		}
	}
}

// Len implements galenalatch.Policy.
func (s *StaticPartition) Len() int {
	n := s.ready.Len()
	for _, p := range s.blocked {
		n += p.Len()
	}
	return n
}
