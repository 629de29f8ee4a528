// Package connections bounds the requests of one workspace that a router
// holds at once, so that one workspace cannot use up the router's
// connections and memory.
package connections

import (
	"sync"

	"github.com/galenalatch/galenalatch"
)

// Limit counts held requests by workspace. It is safe for concurrent use.
type Limit struct {
	most int
	mu   sync.Mutex
	held map[galenalatch.WorkspaceName]int
}

// New returns a limit of most requests for each workspace.
func New(most int) *Limit {
	return &Limit{most: most, held: make(map[galenalatch.WorkspaceName]int)}
}

// Acquire counts a request until release is called. Errors are of
// KindQueueFull.
func (l *Limit) Acquire(w galenalatch.WorkspaceName) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[w] >= l.most {
		return nil, galenalatch.KindQueueFull.Errorf("the workspace has %d requests on this router, at most %d are allowed", l.held[w], l.most)
	}
	l.held[w]++
	return sync.OnceFunc(func() { l.release(w) }), nil
}

func (l *Limit) release(w galenalatch.WorkspaceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[w]--; l.held[w] == 0 {
		delete(l.held, w)
	}
}
