package galenalatch

import "time"

// Waiting is the record of a request that waits for a grant.
type Waiting struct {
	Request   RequestID     `cbor:"request"`
	Workspace WorkspaceName `cbor:"workspace"`
	Class     Class         `cbor:"class"`
	// Estimate is the expected cost in service units; 0 when there is none.
	Estimate int64 `cbor:"estimate"`
	// Prefix is a hash of the beginning of a model prompt; 0 when there is
	// none.
	Prefix uint64 `cbor:"prefix,omitempty"`
	// Bytes is the size of the request body, which the entry router holds.
	Bytes int64 `cbor:"bytes"`
	// AgeMillis is the time in milliseconds for which the request had waited
	// when the record was sent.
	AgeMillis int64 `cbor:"ageMillis"`
}

// Limits are the limits of one workspace in one pool.
type Limits struct {
	// Weight is the workspace's share of the pool relative to others, and
	// MaxRunning the number of requests that may run at once. Values below 1
	// count as 1.
	Weight     int64
	MaxRunning int
	// MaxWaiting and MaxWaitingBytes limit the requests and bytes that wait,
	// for each class; 0 means no limit.
	MaxWaiting      int
	MaxWaitingBytes int64
}

// Policy decides which waiting request runs next. Implementations are
// deterministic: they read no clock and start no goroutine. They need not be
// safe for concurrent use.
type Policy interface {
	// SetLimits replaces the limits of a workspace.
	SetLimits(w WorkspaceName, l Limits)
	// Add queues a request. It returns an error of KindQueueFull when a
	// limit is reached. It does nothing if the request already waits or runs.
	Add(now time.Time, w Waiting) error
	// Remove drops a waiting request. It reports whether it was waiting.
	Remove(r RequestID) bool
	// Next takes the request that runs next out of the queue and charges
	// its estimate to the workspace. It returns false when no request may
	// run.
	Next(now time.Time) (Waiting, bool)
	// Charge raises the charge of a running request to units. It never
	// lowers it.
	Charge(r RequestID, units int64)
	// Settle ends a running request and replaces its charge by units, its
	// final cost.
	Settle(r RequestID, units int64)
	// Len returns the number of waiting requests.
	Len() int
}
