// Package proof dates what a router has read from the store. The store
// stamps each answer with its own steady clock; the tracker translates the
// stamp to the router's clock, so that an answer that was delayed on its way,
// or read late by a suspended process, does not look fresh.
package proof

import "time"

// Tracker knows how old the newest proof is that a view was current. Times
// are readings of one steady clock of the router that also counts while the
// machine is suspended. The zero value has no proof.
type Tracker struct {
	// lowest and highest bound the router's clock minus the store's.
	lowest  time.Duration
	highest time.Duration
	known   bool
	proven  time.Duration
	// newest is the newest stamp of the store.
	newest time.Duration
}

// Observe records a call that was sent and received at the given times and
// that the store answered when its clock showed stamp.
func (t *Tracker) Observe(sent, received, stamp time.Duration) {
	// The store answered after the call was sent, so the difference of the
	// clocks is at least sent-stamp, and at most received-stamp.
	if !t.known || received-stamp < t.lowest || stamp < t.newest-clockStep {
		// The store's clock has started again: older bounds say nothing.
		t.lowest, t.highest, t.known, t.newest = sent-stamp, received-stamp, true, stamp
	}
	t.lowest = max(t.lowest, sent-stamp)
	t.highest = min(t.highest, received-stamp)
	t.newest = max(t.newest, stamp)
	t.proven = max(t.proven, min(stamp+t.lowest, received))
}

// Relayed records a stamp of the store that another router has passed on. It
// proves nothing before the first own call.
func (t *Tracker) Relayed(received, stamp time.Duration) {
	if t.known {
		t.newest = max(t.newest, stamp)
		t.proven = max(t.proven, min(stamp+t.lowest, received))
	}
}

// clockStep is the difference between stamps of calls that overtake each
// other below which the store's clock has not started again.
const clockStep = time.Second

// Uncertainty returns by how much proofs may look older than they are. Short
// calls reduce it.
func (t *Tracker) Uncertainty() time.Duration {
	return t.highest - t.lowest
}

// Age returns the age of the newest proof. It reports false without one.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) {
	return now - t.proven, t.known
}
