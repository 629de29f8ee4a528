package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/backend"
)

// Guards against a stream that goes on at another server while the one before, which does
// not notice that its connection was closed, still works on it.
func TestStreamWaitsForRunningServer(t *testing.T) {
	f := newFixture(t, configuration())
	f.set(backend.GarbleStream)
	a := f.call(t.Context(), "GET", "/stream/1", "r-1", "")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n")
	runs := append(f.servers[0].Log(), f.servers[1].Log()...)
	assert.Equal(t, len(runs), 2)
	between := runs[1].At.Sub(runs[0].At).Abs()
	assert.Assert(t, between >= backend.GarbledRunTime, "the second run began after %s", between)
}

// Guards against a stream that waits for long although the server before has ended or no
// longer runs it.
func TestStreamGoesOnSoon(t *testing.T) {
	for _, behaviour := range []backend.Behaviour{backend.TruncateStream, backend.EndUnframed} {
		t.Run(string(behaviour), func(t *testing.T) {
			f := newFixture(t, configuration())
			f.servers[0].SetBehaviour(behaviour)
			f.servers[1].SetBehaviour(backend.Answer)
			start := time.Now()
			for i := 0; f.servers[0].Arrivals() == 0; i++ {
				assert.Assert(t, i < 100)
				start = time.Now()
				a := f.call(t.Context(), "GET", "/stream/1", "r-1", "")
				assert.NilError(t, a.err)
			}
			took := time.Since(start)
			assert.Assert(t, took < 2*reportAge, "%s", took)
		})
	}
}
