// Package inflight limits the requests and the bytes of request bodies that
// a router has in progress for one workspace, so that a flood of requests from
// one workspace does not exhaust the connections and memory of the router.
package inflight

import (
	"sync"

	"github.com/galenalatch/galenalatch"
)

// Limiter counts the requests and body bytes in progress for each workspace. Its
// methods may be called concurrently.
type Limiter struct {
	maxRequests int
	maxBytes    int64
	mu          sync.Mutex
	used        map[galenalatch.WorkspaceName]usage
}

type usage struct {
	requests int
	bytes    int64
}

// New returns a limiter that allows the given numbers of requests and body bytes
// for each workspace.
func New(maxRequests int, maxBytes int64) *Limiter {
	return &Limiter{maxRequests: maxRequests, maxBytes: maxBytes, used: make(map[galenalatch.WorkspaceName]usage)}
}

// Reservation is the share of one request in the counts of a Limiter. It must not
// be used concurrently.
type Reservation struct {
	limiter   *Limiter
	workspace galenalatch.WorkspaceName
	usage     usage
}

// Acquire counts a request of the workspace until the reservation is released.
// Errors are of KindQueueFull. A nil Limiter has no limits.
func (l *Limiter) Acquire(w galenalatch.WorkspaceName) (*Reservation, error) {
	r := &Reservation{limiter: l, workspace: w}
	return r, r.add(usage{requests: 1})
}

// Resize adds n bytes to the reservation, or removes bytes if n is negative.
// Errors are of KindQueueFull and leave the reservation unchanged.
func (r *Reservation) Resize(n int64) error {
	return r.add(usage{bytes: n})
}

// Release removes the request and its bytes from the counts. Further calls have
// no effect.
func (r *Reservation) Release() {
	// Reducing the counts cannot fail.
	_ = r.add(usage{-r.usage.requests, -r.usage.bytes})
}

func (r *Reservation) add(a usage) error {
	l := r.limiter
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.used[r.workspace]
	next.requests += a.requests
	next.bytes += a.bytes
	switch {
	case a.requests > 0 && next.requests > l.maxRequests:
		return galenalatch.KindQueueFull.Errorf("the workspace has %d requests on this router, at most %d are allowed", next.requests-1, l.maxRequests)
	case a.bytes > 0 && next.bytes > l.maxBytes:
		return galenalatch.KindQueueFull.Errorf("the workspace's requests on this router have %d bytes, at most %d are allowed", next.bytes, l.maxBytes)
	case next == usage{}:
		delete(l.used, r.workspace)
	default:
		l.used[r.workspace] = next
	}
	r.usage.requests += a.requests
	r.usage.bytes += a.bytes
	return nil
}
