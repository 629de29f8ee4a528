package link

import (
	"context"
	"sync"

	"github.com/galenalatch/galenalatch"
)

// loopback delivers the messages that a router sends to itself.
type loopback struct {
	self      galenalatch.RouterID
	handle    func(galenalatch.RouterID, galenalatch.Message)
	maxQueued int
	wake      chan struct{}

	mu    sync.Mutex
	queue []galenalatch.Message
}

func newLoopback(o Options) *loopback {
	return &loopback{self: o.Self, handle: o.Handle, maxQueued: o.MaxQueued, wake: make(chan struct{}, 1)}
}

func (l *loopback) push(m galenalatch.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m == nil || len(l.queue) >= l.maxQueued {
		return false
	}
	l.queue = append(l.queue, m)
	signal(l.wake)
	return true
}

func (l *loopback) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		for _, m := range batch {
			l.handle(l.self, m)
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
