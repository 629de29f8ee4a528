// Package proof tracks how old a router's copy of the store may be. The store
// stamps each answer with its own monotonic clock. The tracker translates the
// stamp to the router's clock, so that an answer that was delayed on the
// network, or that a suspended process read late, does not count as fresh.
package proof

import "time"

// Tracker tracks the time of the newest proof that the copy was current. Times
// are readings of one monotonic clock of the router that also advances while
// the machine is suspended. The zero value has no proof.
type Tracker struct {
	// minOffset and maxOffset bound the router's clock minus the store's clock.
	minOffset time.Duration
	maxOffset time.Duration
	observed  bool
	provenAt  time.Duration
	// newestStamp is the newest stamp of the store.
	newestStamp time.Duration
}

// Restart forgets the offset of the store's clock, such as when another store answers in
// place of it. The next call to Observe determines it anew.
func (t *Tracker) Restart() { t.observed = false }

// Observe records a call to the store: when it was sent, when its answer was
// received, and the stamp in the answer.
func (t *Tracker) Observe(sent, received, stamp time.Duration) {
	// The store answered between sent and received, so the offset of the clocks
	// is at least sent-stamp and at most received-stamp.
	if !t.observed || received-stamp < t.minOffset || stamp < t.newestStamp-clockStep {
		// The store's clock has restarted: the old bounds do not apply.
		t.minOffset, t.maxOffset, t.observed, t.newestStamp = sent-stamp, received-stamp, true, stamp
	}
	t.minOffset = max(t.minOffset, sent-stamp)
	t.maxOffset = min(t.maxOffset, received-stamp)
	t.newestStamp = max(t.newestStamp, stamp)
	t.provenAt = max(t.provenAt, min(stamp+t.minOffset, received))
}

// Relayed records a stamp that another router has passed on. It is ignored
// before the first call to Observe.
func (t *Tracker) Relayed(received, stamp time.Duration) {
	if t.observed {
		t.newestStamp = max(t.newestStamp, stamp)
		t.provenAt = max(t.provenAt, min(stamp+t.minOffset, received))
	}
}

// clockStep is how far a stamp may be behind the newest one, since answers can
// arrive out of order, before it counts as a restart of the store's clock.
const clockStep = time.Second

// Uncertainty returns by how much Age may exceed the true age. Calls with a
// short round trip reduce it.
func (t *Tracker) Uncertainty() time.Duration {
	return t.maxOffset - t.minOffset
}

// Age returns the age of the newest proof, an upper bound of its true age. It
// reports false when there is no proof.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) {
	return now - t.provenAt, t.observed
}
