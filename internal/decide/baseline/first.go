// Package baseline holds simple policies that measurements compare with the
// fair queue. No router uses them.
package baseline

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// FirstCome serves requests in order of arrival and ignores all limits.
type FirstCome struct {
	queue   []galenalatch.Waiting
	waiting map[galenalatch.RequestID]bool
}

var _ galenalatch.Policy = (*FirstCome)(nil)

// NewFirstCome returns an empty queue.
func NewFirstCome() *FirstCome {
	return &FirstCome{waiting: make(map[galenalatch.RequestID]bool)}
}

// SetLimits implements galenalatch.Policy.
func (*FirstCome) SetLimits(galenalatch.WorkspaceName, galenalatch.Limits) {}

// Add implements galenalatch.Policy.
func (f *FirstCome) Add(_ time.Time, w galenalatch.Waiting) error {
	if !f.waiting[w.Request] {
		f.waiting[w.Request] = true
		f.queue = append(f.queue, w)
	}
	return nil
}

// Remove implements galenalatch.Policy.
func (f *FirstCome) Remove(r galenalatch.RequestID) bool {
	if !f.waiting[r] {
		return false
	}
	delete(f.waiting, r)
	return true
}

// Next implements galenalatch.Policy.
func (f *FirstCome) Next(time.Time) (galenalatch.Waiting, bool) {
	for len(f.queue) > 0 {
		w := f.queue[0]
		f.queue = f.queue[1:]
		if f.waiting[w.Request] {
			delete(f.waiting, w.Request)
			return w, true
		}
	}
	return galenalatch.Waiting{}, false
}

// Charge implements galenalatch.Policy.
func (*FirstCome) Charge(galenalatch.RequestID, int64) {}

// Settle implements galenalatch.Policy.
func (*FirstCome) Settle(galenalatch.RequestID, int64) {}

// Len implements galenalatch.Policy.
func (f *FirstCome) Len() int {
	return len(f.waiting)
}
