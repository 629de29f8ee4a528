// Package fairqueue implements weighted fair queueing with one counter per
// workspace.
//
// Each workspace has a counter of charged service units divided by its
// weight. The next request comes from the eligible workspace with the lowest
// counter. A workspace is eligible while it has a waiting request and is
// under its limits of running requests. Inside a workspace the classes share
// by the same kind of counters, and requests of a class are served in order
// of arrival.
package fairqueue

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// counterScale is the fixed-point scale of counters. It keeps the rounding of a
// division by a weight below a thousandth of a unit.
const counterScale = 1000

// maxRequestAge bounds the age of a request that an entry router reports.
const maxRequestAge = 24 * time.Hour

// Queue holds the waiting requests of a cell and the counters of their
// workspaces. It implements galenalatch.Policy and is not safe for concurrent
// use.
type Queue struct {
	maxCost    int64
	workspaces map[galenalatch.WorkspaceName]*workspace
	requests   map[galenalatch.RequestID]*request
	eligible   eligibleHeap
	waiting    int
	ready      int
	// virtualTime is the lowest counter of an eligible workspace, or its last
	// value while there is none.
	virtualTime int64
}

var _ galenalatch.Policy = (*Queue)(nil)

// New returns an empty queue. Estimates are bounded by maxCost.
func New(maxCost int64) *Queue {
	return &Queue{
		maxCost:    max(1, maxCost),
		workspaces: make(map[galenalatch.WorkspaceName]*workspace),
		requests:   make(map[galenalatch.RequestID]*request),
	}
}

// SetMaxCost replaces the bound of estimates. Requests that are already running
// keep their charges.
func (q *Queue) SetMaxCost(maxCost int64) {
	q.maxCost = max(1, maxCost)
}

// SetLimits implements galenalatch.Policy. A weight or a MaxRunning below one
// counts as one.
func (q *Queue) SetLimits(w galenalatch.WorkspaceName, l galenalatch.Limits) {
	l.Weight = max(1, l.Weight)
	l.MaxRunning = max(1, l.MaxRunning)
	s := q.workspace(w)
	s.limits = l
	q.update(s)
}

// SetClassRunning bounds the running requests of one class of a workspace.
// Zero removes the bound.
func (q *Queue) SetClassRunning(w galenalatch.WorkspaceName, c galenalatch.Class, n int) {
	s := q.workspace(w)
	s.classes[classIndex(c)].maxRunning = n
	q.update(s)
}

// HasWorkspace reports whether the queue has a record of the workspace. Any
// call that names a workspace creates one, except for HasWorkspace and Counter.
func (q *Queue) HasWorkspace(w galenalatch.WorkspaceName) bool {
	return q.workspaces[w] != nil
}

// WorkspaceNames returns the workspaces of which the queue has a record, sorted
// by name.
func (q *Queue) WorkspaceNames() []galenalatch.WorkspaceName {
	return slices.Sorted(maps.Keys(q.workspaces))
}

// DropIdle drops the records of idle workspaces whose counters are not above
// the virtual time if there are more than keep records. Such a workspace starts
// at the virtual time with or without a record; only its limits, the counters
// of its classes and the averages of its costs are lost.
func (q *Queue) DropIdle(keep int) {
	if len(q.workspaces) <= keep {
		return
	}
	maps.DeleteFunc(q.workspaces, func(_ galenalatch.WorkspaceName, s *workspace) bool {
		return s.running == 0 && s.waiting() == 0 && s.counter <= q.virtualTime
	})
}

// IsWaiting reports whether the request waits in the queue.
func (q *Queue) IsWaiting(id galenalatch.RequestID) bool {
	r := q.requests[id]
	return r != nil && r.element != nil
}

// Add implements galenalatch.Policy.
func (q *Queue) Add(now time.Time, w galenalatch.Waiting) error {
	if q.requests[w.Request] != nil {
		return nil
	}
	w.Bytes, w.AgeMillis = max(0, w.Bytes), min(max(0, w.AgeMillis), maxRequestAge.Milliseconds())
	s := q.workspace(w.Workspace)
	c := &s.classes[classIndex(w.Class)]
	if n := s.limits.MaxWaiting; n > 0 && c.queue.Len() >= n {
		return galenalatch.KindQueueFull.Errorf("workspace %s has %d waiting requests of class %s", w.Workspace, n, w.Class)
	}
	if b := s.limits.MaxWaitingBytes; b > 0 && c.bytes+w.Bytes > b {
		return galenalatch.KindQueueFull.Errorf("workspace %s has %d waiting bytes of class %s", w.Workspace, c.bytes, w.Class)
	}
	r := &request{waiting: w, workspace: s, class: c, arrived: now.Add(-time.Duration(w.AgeMillis) * time.Millisecond)}
	q.requests[w.Request] = r
	q.insert(r)
	return nil
}

// Remove implements galenalatch.Policy.
func (q *Queue) Remove(id galenalatch.RequestID) bool {
	r := q.requests[id]
	if r == nil || r.element == nil {
		return false
	}
	q.take(r)
	delete(q.requests, id)
	q.update(r.workspace)
	return true
}

// Next implements galenalatch.Policy.
func (q *Queue) Next(now time.Time) (galenalatch.Waiting, bool) {
	if len(q.eligible) == 0 {
		return galenalatch.Waiting{}, false
	}
	s := q.eligible[0]
	c := s.nextClass()
	r := c.queue.Front().Value.(*request)
	q.take(r)
	s.classVirtualTime = c.counter
	q.startRunning(r, q.estimate(r))
	q.update(s)
	w := r.waiting
	w.AgeMillis = now.Sub(r.arrived).Milliseconds()
	return w, true
}

// Peek returns the workspace whose request Next would return. It reports false
// when no request may start.
func (q *Queue) Peek() (galenalatch.WorkspaceName, bool) {
	if len(q.eligible) == 0 {
		return "", false
	}
	return q.eligible[0].name, true
}

// Charge implements galenalatch.Policy.
func (q *Queue) Charge(id galenalatch.RequestID, units int64) {
	r := q.requests[id]
	if r == nil || r.element != nil || units <= r.charged {
		return
	}
	r.charge(units)
	q.update(r.workspace)
}

// Settle implements galenalatch.Policy. Zero units mean that the request did
// not run: they are not added to the moving average.
func (q *Queue) Settle(id galenalatch.RequestID, units int64) {
	r := q.requests[id]
	if r == nil || r.element != nil {
		return
	}
	r.charge(units)
	if r.charged > 0 {
		r.class.recordCost(r.charged)
	}
	delete(q.requests, id)
	r.workspace.running--
	r.class.running--
	q.update(r.workspace)
}

// Requeue returns a running request to the queue and refunds its charge.
func (q *Queue) Requeue(now time.Time, id galenalatch.RequestID) {
	r := q.requests[id]
	if r == nil || r.element != nil {
		return
	}
	r.charge(0)
	r.workspace.running--
	r.class.running--
	q.insert(r)
}

// Restore adds a request that is already running. It charges its estimate or
// the given units, whichever is more.
func (q *Queue) Restore(w galenalatch.Waiting, units int64) {
	if q.requests[w.Request] != nil {
		return
	}
	s := q.workspace(w.Workspace)
	r := &request{waiting: w, workspace: s, class: &s.classes[classIndex(w.Class)]}
	q.requests[w.Request] = r
	q.raiseToVirtualTime(s)
	q.startRunning(r, max(units, q.estimate(r)))
	q.update(s)
}

// RaiseVirtualTime raises all counters and the virtual time to at least v, in
// units divided by weight.
func (q *Queue) RaiseVirtualTime(v int64) {
	v *= counterScale
	if v <= q.virtualTime {
		return
	}
	q.virtualTime = v
	for _, s := range q.workspaces {
		if s.counter < v {
			s.counter, s.minCounter = v, v
		}
	}
	heap.Init(&q.eligible)
}

// VirtualTime returns the lowest counter of an eligible workspace, in units
// divided by weight, or its last value while there is none.
func (q *Queue) VirtualTime() int64 {
	return q.virtualTime / counterScale
}

// Counter returns the charged units of a workspace divided by its weight. For a
// workspace without a record it returns the virtual time.
func (q *Queue) Counter(w galenalatch.WorkspaceName) int64 {
	if s := q.workspaces[w]; s != nil {
		return s.counter / counterScale
	}
	return q.virtualTime / counterScale
}

// Counters returns the counters that are above the virtual time. All others
// start at the virtual time when they become backlogged.
func (q *Queue) Counters() map[string]int64 {
	all := make(map[string]int64)
	for n, s := range q.workspaces {
		if s.counter > q.virtualTime {
			all[string(n)] = s.counter / counterScale
		}
	}
	return all
}

// RaiseCounter raises the counter of a workspace to at least v, in units
// divided by weight.
func (q *Queue) RaiseCounter(w galenalatch.WorkspaceName, v int64) {
	s := q.workspace(w)
	s.counter = max(s.counter, v*counterScale)
	q.update(s)
}

// Len implements galenalatch.Policy.
func (q *Queue) Len() int {
	return q.waiting
}

// Ready returns the number of waiting requests that the limits of running
// requests allow to start now.
func (q *Queue) Ready() int {
	return q.ready
}

// Usage is the state of one workspace for operators. Its counter is the number
// of charged units divided by the weight.
type Usage struct {
	Workspace galenalatch.WorkspaceName
	Waiting   int
	Running   int
	Counter   int64
}

// Usage returns the workspaces that have waiting or running requests, sorted
// by name.
func (q *Queue) Usage() []Usage {
	var all []Usage
	for n, s := range q.workspaces {
		if s.waiting() > 0 || s.running > 0 {
			all = append(all, Usage{Workspace: n, Waiting: s.waiting(), Running: s.running, Counter: s.counter / counterScale})
		}
	}
	slices.SortFunc(all, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return all
}
