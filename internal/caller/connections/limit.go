// Package connections bounds what a router holds for one workspace at once,
// requests and bytes of their bodies, so that a flood from one workspace
// does not use up the router's connections and memory.
package connections

import (
	"sync"

	"github.com/galenalatch/galenalatch"
)

// Limit counts what is held by workspace. It is safe for concurrent use.
type Limit struct {
	requests int
	bytes    int64
	mu       sync.Mutex
	held     map[galenalatch.WorkspaceName]amount
}

type amount struct {
	requests int
	bytes    int64
}

// New returns a limit of requests and bytes for each workspace.
func New(requests int, bytes int64) *Limit {
	return &Limit{requests: requests, bytes: bytes, held: make(map[galenalatch.WorkspaceName]amount)}
}

// Held is what a limit counts for one request. It is used by one goroutine.
type Held struct {
	limit     *Limit
	workspace galenalatch.WorkspaceName
	amount    amount
}

// Acquire counts a request until it is released. Errors are of
// KindQueueFull. A nil limit does not bound anything.
func (l *Limit) Acquire(w galenalatch.WorkspaceName) (*Held, error) {
	h := &Held{limit: l, workspace: w}
	return h, h.add(amount{requests: 1})
}

// Grow counts n more bytes, or fewer when n is negative. Errors are of
// KindQueueFull and leave the count as it was.
func (h *Held) Grow(n int64) error {
	return h.add(amount{bytes: n})
}

// Release ends the count of the request and its bytes.
func (h *Held) Release() {
	// Less can always be held.
	_ = h.add(amount{-h.amount.requests, -h.amount.bytes})
}

func (h *Held) add(a amount) error {
	l := h.limit
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.held[h.workspace]
	next.requests += a.requests
	next.bytes += a.bytes
	switch {
	case a.requests > 0 && next.requests > l.requests:
		return galenalatch.KindQueueFull.Errorf("the workspace has %d requests on this router, at most %d are allowed", next.requests-1, l.requests)
	case a.bytes > 0 && next.bytes > l.bytes:
		return galenalatch.KindQueueFull.Errorf("the workspace's requests on this router have %d bytes, at most %d are allowed", next.bytes, l.bytes)
	case next == amount{}:
		delete(l.held, h.workspace)
	default:
		l.held[h.workspace] = next
	}
	h.amount.requests += a.requests
	h.amount.bytes += a.bytes
	return nil
}
