package host

import "github.com/galenalatch/galenalatch/internal/caller/ingress"

// eventBuffer keeps the bytes of a stream until their event is complete. Its memory
// beyond streamBufferSize is charged before it is allocated.
type eventBuffer struct {
	account ingress.Account
	bytes   []byte
	charged int64
}

// add appends b. It reports false if there is no memory for it.
func (e *eventBuffer) add(b []byte) bool {
	if size := len(e.bytes) + len(b); size > cap(e.bytes) && !e.grow(max(size, 2*cap(e.bytes))) {
		return false
	}
	e.bytes = append(e.bytes, b...)
	return true
}

// grow moves the bytes to an array of the given size.
func (e *eventBuffer) grow(size int) bool {
	charge := int64(0)
	if size > streamBufferSize {
		charge = int64(size)
	}
	if charge > 0 && !e.account.TryCharge(charge) {
		return false
	}
	e.bytes = append(make([]byte, 0, size), e.bytes...)
	e.release()
	e.charged = charge
	return true
}

// drop removes the first n bytes. A long array is given up with its event.
func (e *eventBuffer) drop(n int) {
	e.bytes = e.bytes[:copy(e.bytes, e.bytes[n:])]
	if e.charged > 0 && len(e.bytes) <= streamBufferSize {
		e.bytes = append([]byte(nil), e.bytes...)
		e.release()
	}
}

// release gives back what is charged.
func (e *eventBuffer) release() {
	if e.charged > 0 {
		e.account.Release(e.charged)
	}
	e.charged = 0
}
