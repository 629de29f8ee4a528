package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an unexpected error in one request that takes the place of the request
// at its server for good, and of which no log line tells.
func TestPanicInRequest(t *testing.T) {
	f := newFixture(t, configuration())
	f.admitHook = func() { panic("unexpected") }
	r := f.call(t.Context(), "GET", "/status/1", "r-1", "")
	assert.Assert(t, r.err != nil, "status %d", r.status)
	assert.Equal(t, f.events.count("panicked r-1: unexpected"), 1)
	assert.Equal(t, f.runs("r-1"), 0)
	assert.Equal(t, len(f.table.LocalLoad(time.Now())), 0, "the reservation was released")

	f.admitHook = nil
	r = f.call(t.Context(), "GET", "/status/1", "r-2", "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, 200)
	assert.Equal(t, f.table.LocalLoad(time.Now())[0].Running, 0)
}
