package fairqueue

import (
	"container/heap"
	"container/list"
	"math"
	"time"

	"github.com/galenalatch/galenalatch"
)

// shares are the shares of the classes inside a workspace.
var shares = [...]int64{interactive: 4, batch: 1}

const (
	interactive = iota
	batch
)

func index(c galenalatch.Class) int {
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
	// element is set while the request waits.
	element *list.Element
	charged int64
	// weight is the workspace's weight at the time of the grant. Later
	// charges use it too, so that a change of weight leaves no remainder.
	weight int64
}

// maxUnits bounds the cost of one request, so that a wrong report cannot make a
// counter overflow.
const maxUnits = 1 << 40

func (r *request) charge(units int64) {
	units = min(max(0, units), maxUnits)
	d := (units - r.charged) * scale
	r.charged = units
	s := r.workspace
	// The counter does not fall below the value to which it was last raised:
	// a refund of a charge from before that would be credit for idle time.
	s.counter = max(s.floor, s.counter+d/r.weight)
	r.class.counter += d / r.class.share
}

type class struct {
	share      int64
	queue      list.List
	bytes      int64
	running    int
	maxRunning int
	counter    int64
	// average is the moving average of the cost of a request.
	average int64
}

func (c *class) observe(units int64) {
	if c.average == 0 {
		c.average = units
		return
	}
	c.average += (units - c.average) / 8
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
	classes [len(shares)]class
	running int
	counter int64
	// floor is the value to which the counter was last raised.
	floor int64
	// classTime is the counter of the class of the last grant before its
	// charge. A class that becomes backlogged starts there, so that
	// interactive work need not first pay for a long batch grant.
	classTime int64
	ready     int
	// index is the position in the heap, or -1.
	index int
}

func (s *workspace) waiting() int {
	n := 0
	for i := range s.classes {
		n += s.classes[i].queue.Len()
	}
	return n
}

// nextClass returns the class with the lowest counter that may start a
// request. Interactive work wins ties.
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
		name:    w,
		limits:  galenalatch.Limits{Weight: 1, MaxRunning: math.MaxInt},
		counter: q.floor,
		floor:   q.floor,
		index:   -1,
	}
	for i := range s.classes {
		s.classes[i].share = shares[i]
	}
	q.workspaces[w] = s
	return s
}

// estimate returns the charge of a grant: the average cost in the workspace
// and class, bounded by the hint and by maxCost. The hint alone counts while
// there is no average: it is an upper bound in most callers' requests.
func (q *Queue) estimate(r *request) int64 {
	units := r.class.average
	if hint := r.waiting.Estimate; hint > 0 && (units == 0 || hint < units) {
		units = hint
	}
	return min(max(1, units), q.maxCost)
}

func (q *Queue) push(r *request) {
	c := r.class
	if c.queue.Len() == 0 {
		c.counter = max(c.counter, r.workspace.classTime)
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

func (q *Queue) pop(r *request) {
	r.class.queue.Remove(r.element)
	r.element = nil
	r.class.bytes -= r.waiting.Bytes
	q.waiting--
}

func (q *Queue) run(r *request, units int64) {
	r.weight = r.workspace.limits.Weight
	r.workspace.running++
	r.class.running++
	r.charge(units)
}

// lift raises the counter to the virtual time. A workspace earns no credit
// while it is idle or held back by its own limit of running requests.
func (q *Queue) lift(s *workspace) {
	if s.counter < q.floor {
		s.counter, s.floor = q.floor, q.floor
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
	case ready > 0 && s.index < 0:
		q.lift(s)
		heap.Push(&q.eligible, s)
	case ready > 0:
		heap.Fix(&q.eligible, s.index)
	case s.index >= 0:
		heap.Remove(&q.eligible, s.index)
	}
	if len(q.eligible) > 0 {
		q.floor = q.eligible[0].counter
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
	h[i].index, h[j].index = i, j
}

func (h *eligibleHeap) Push(x any) {
	s := x.(*workspace)
	s.index = len(*h)
	*h = append(*h, s)
}

func (h *eligibleHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	s.index = -1
	return s
}
