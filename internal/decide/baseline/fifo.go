// Package baseline provides simple policies with which benchmarks compare the
// fair queue. No router uses them.
package baseline

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// FIFO serves requests in the order in which they are added and ignores all
// limits.
type FIFO struct {
	queue   []galenalatch.Waiting
	waiting map[galenalatch.RequestID]bool
}

var _ galenalatch.Policy = (*FIFO)(nil)

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO {
	return &FIFO{waiting: make(map[galenalatch.RequestID]bool)}
}

// SetLimits implements galenalatch.Policy.
func (*FIFO) SetLimits(galenalatch.WorkspaceName, galenalatch.Limits) {}

// Add implements galenalatch.Policy.
func (f *FIFO) Add(_ time.Time, w galenalatch.Waiting) error {
	if !f.waiting[w.Request] {
		f.waiting[w.Request] = true
		f.queue = append(f.queue, w)
	}
	return nil
}

// Remove implements galenalatch.Policy.
func (f *FIFO) Remove(r galenalatch.RequestID) bool {
	if !f.waiting[r] {
		return false
	}
	delete(f.waiting, r)
	return true
}

// Next implements galenalatch.Policy.
func (f *FIFO) Next(time.Time) (galenalatch.Waiting, bool) {
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
func (*FIFO) Charge(galenalatch.RequestID, int64) {}

// Settle implements galenalatch.Policy.
func (*FIFO) Settle(galenalatch.RequestID, int64) {}

// Len implements galenalatch.Policy.
func (f *FIFO) Len() int {
	return len(f.waiting)
}
