package fairqueue

import (
	"container/heap"
	"container/list"
	"math"
	"time"

	"github.com/galenalatch/galenalatch"
)

// classShares are the shares of the classes inside a workspace.
var classShares = [...]int64{interactive: 4, batch: 1}

const (
	interactive = iota
	batch
)

func classIndex(c galenalatch.Class) int {
	if c == galenalatch.Batch {
		return batch
	}
	return interactive
}

type request struct {
	waiting   galenalatch.Waiting
	workspace *workspace
	class     *class
	arrived   time.Time
	// element is the request's place in the queue, or nil while it runs.
	element *list.Element
	charged int64
	// weight is the workspace's weight at the time of the grant. Later
	// charges use it too, so that a change of weight leaves no remainder.
	weight int64
}

// maxRequestUnits bounds the cost of one request, so that a wrong report cannot
// make a counter overflow.
const maxRequestUnits = 1 << 40

func (r *request) charge(units int64) {
	units = min(max(0, units), maxRequestUnits)
	d := (units - r.charged) * counterScale
	r.charged = units
	s := r.workspace
	// The counter does not fall below the value to which it was last raised:
	// otherwise a refund of an earlier charge would give credit for idle time.
	s.counter = max(s.minCounter, s.counter+d/r.weight)
	r.class.counter += d / r.class.share
}

type class struct {
	share      int64
	queue      list.List
	bytes      int64
	running    int
	maxRunning int
	counter    int64
	// averageCost is the moving average of the cost of a request.
	averageCost int64
}

func (c *class) recordCost(units int64) {
	if c.averageCost == 0 {
		c.averageCost = units
		return
	}
	c.averageCost += (units - c.averageCost) / 8
}

// ready returns the number of requests that may start now.
func (c *class) ready() int {
	if c.maxRunning == 0 {
		return c.queue.Len()
	}
	return max(0, min(c.queue.Len(), c.maxRunning-c.running))
}

type workspace struct {
	name    galenalatch.WorkspaceName
	limits  galenalatch.Limits
	classes [len(classShares)]class
	running int
	counter int64
	// minCounter is the value to which the counter was last raised.
	minCounter int64
	// classVirtualTime is the counter of the class of the last grant before
	// the charge of this grant. A class that becomes backlogged starts with
	// it, so that a long batch grant does not delay interactive requests.
	classVirtualTime int64
	ready            int
	// heapIndex is the position in the heap, or -1.
	heapIndex int
}

func (s *workspace) waiting() int {
	n := 0
	for i := range s.classes {
		n += s.classes[i].queue.Len()
	}
	return n
}

// nextClass returns the class with the lowest counter that may start a
// request, or nil. Of equal classes, it returns the interactive one.
func (s *workspace) nextClass() *class {
	var best *class
	for i := range s.classes {
		if c := &s.classes[i]; c.ready() > 0 && (best == nil || c.counter < best.counter) {
			best = c
		}
	}
	return best
}

func (q *Queue) workspace(w galenalatch.WorkspaceName) *workspace {
	if s := q.workspaces[w]; s != nil {
		return s
	}
	s := &workspace{
		name:       w,
		limits:     galenalatch.Limits{Weight: 1, MaxRunning: math.MaxInt},
		counter:    q.virtualTime,
		minCounter: q.virtualTime,
		heapIndex:  -1,
	}
	for i := range s.classes {
		s.classes[i].share = classShares[i]
	}
	q.workspaces[w] = s
	return s
}

// estimate returns the charge of a grant: the average cost in the workspace
// and class, bounded by the request's own estimate and by maxCost. While there
// is no average, only the request's estimate is used: it is an upper bound in
// the requests of most callers.
func (q *Queue) estimate(r *request) int64 {
	units := r.class.averageCost
	if declared := r.waiting.Estimate; declared > 0 && (units == 0 || declared < units) {
		units = declared
	}
	return min(max(1, units), q.maxCost)
}

func (q *Queue) insert(r *request) {
	c := r.class
	if c.queue.Len() == 0 {
		c.counter = max(c.counter, r.workspace.classVirtualTime)
	}
	at := c.queue.Back()
	if front := c.queue.Front(); front != nil && r.arrived.Before(front.Value.(*request).arrived) {
		at = nil
	}
	for at != nil && at.Value.(*request).arrived.After(r.arrived) {
		at = at.Prev()
	}
	if at == nil {
		r.element = c.queue.PushFront(r)
	} else {
		r.element = c.queue.InsertAfter(r, at)
	}
	c.bytes += r.waiting.Bytes
	q.waiting++
	q.update(r.workspace)
}

func (q *Queue) take(r *request) {
	r.class.queue.Remove(r.element)
	r.element = nil
	r.class.bytes -= r.waiting.Bytes
	q.waiting--
}

func (q *Queue) startRunning(r *request, units int64) {
	r.weight = r.workspace.limits.Weight
	r.workspace.running++
	r.class.running++
	r.charge(units)
}

// raiseToVirtualTime raises the counter of s to the virtual time. A workspace
// earns no credit while it is idle or at its limit of running requests.
func (q *Queue) raiseToVirtualTime(s *workspace) {
	if s.counter < q.virtualTime {
		s.counter, s.minCounter = q.virtualTime, q.virtualTime
	}
}

// update restores the invariants of the heap, of the ready count and of the
// virtual time after a change of s.
func (q *Queue) update(s *workspace) {
	ready := 0
	for i := range s.classes {
		ready += s.classes[i].ready()
	}
	ready = max(0, min(ready, s.limits.MaxRunning-s.running))
	q.ready += ready - s.ready
	s.ready = ready
	switch {
	case ready > 0 && s.heapIndex < 0:
		q.raiseToVirtualTime(s)
		heap.Push(&q.eligible, s)
	case ready > 0:
		heap.Fix(&q.eligible, s.heapIndex)
	case s.heapIndex >= 0:
		heap.Remove(&q.eligible, s.heapIndex)
	}
	if len(q.eligible) > 0 {
		q.virtualTime = q.eligible[0].counter
	}
}

type eligibleHeap []*workspace

func (h eligibleHeap) Len() int { return len(h) }

func (h eligibleHeap) Less(i, j int) bool {
	if h[i].counter != h[j].counter {
		return h[i].counter < h[j].counter
	}
	return h[i].name < h[j].name
}

func (h eligibleHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *eligibleHeap) Push(x any) {
	s := x.(*workspace)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

func (h *eligibleHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	s.heapIndex = -1
	return s
}
