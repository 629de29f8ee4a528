package galenalatch

import "time"

// Waiting is the record of a request that waits for a grant.
type Waiting struct {
	Request   RequestID     `cbor:"request"`
	Workspace WorkspaceName `cbor:"workspace"`
	Class     Class         `cbor:"class"`
	// Estimate is the expected cost in service units.
	Estimate int64 `cbor:"estimate"`
	// Prefix identifies the beginning of a model prompt; 0 means none.
	Prefix uint64 `cbor:"prefix,omitempty"`
	// Bytes is the size of the request that the entry holds.
	Bytes int64 `cbor:"bytes"`
	// AgeMillis is how long the request had waited when the record was sent.
	AgeMillis int64 `cbor:"ageMillis"`
}

// Limits are the limits of one workspace in one pool.
type Limits struct {
	Weight     int64
	MaxRunning int
	// MaxWaiting and MaxWaitingBytes hold for each class.
	MaxWaiting      int
	MaxWaitingBytes int64
}

// Policy decides which waiting request runs next. Implementations are pure:
// they read no clock and start no goroutine.
type Policy interface {
	// SetLimits replaces the limits of a workspace.
	SetLimits(w WorkspaceName, l Limits)
	// Add queues a request. It returns an error of KindQueueFull when a
	// limit is reached. Adding a known request changes nothing.
	Add(now time.Time, w Waiting) error
	// Remove drops a waiting request. It reports whether it was waiting.
	Remove(r RequestID) bool
	// Next takes the request that runs next out of the queue and charges
	// its estimate.
	Next(now time.Time) (Waiting, bool)
	// Charge raises the charge of a running request to units.
	Charge(r RequestID, units int64)
	// Settle ends a running request with its true cost.
	Settle(r RequestID, units int64)
	// Len returns the number of waiting requests.
	Len() int
}
