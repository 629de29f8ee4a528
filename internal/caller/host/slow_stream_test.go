package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/backend"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// Guards against a stalled stream that goes on without end because its server sends a
// byte now and then: it ends at the time limit of its request.
func TestTrickleEndsAtTimeLimit(t *testing.T) {
	for _, b := range []backend.Behaviour{backend.Trickle, backend.TrickleComments} {
		t.Run(string(b), func(t *testing.T) {
			f := newFixture(t, configuration())
			f.set(b)
			const limit = 300 * time.Millisecond
			start := time.Now()
			a := f.call(t.Context(), "POST", "/stream/once/1", "r-1", "", headers.Deadline, limit.String())
			took := time.Since(start)
			assert.Assert(t, a.err != nil || a.status == 504, "a stalled stream must not look complete: %d %q", a.status, a.body)
			assert.Assert(t, took >= limit && took < limit+writeGrace, "%s", took)
			assert.Equal(t, f.runs("r-1"), 1)
			assert.Equal(t, len(f.table.LocalLoad(time.Now())), 0)
		})
	}
}

// Guards against a slow but sound stream that is cut, or started again at another
// server, although its time limit has not passed: its pauses are longer than any time
// limit of a connection.
func TestSlowStreamIsComplete(t *testing.T) {
	for _, path := range []string{"/stream/once/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, configuration())
			for _, s := range f.servers {
				s.Gap = 1500 * time.Millisecond
			}
			a := f.call(t.Context(), "POST", path, "r-1", "", headers.Deadline, "10s")
			assert.NilError(t, a.err)
			assert.Equal(t, a.body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n")
			assert.Equal(t, f.runs("r-1"), 1)
		})
	}
}

// Guards against a limit of the router that cuts a slow but sound stream, or that lets a
// stalled one go on without end.
func TestTimeLimit(t *testing.T) {
	tests := []struct {
		name            string
		deadline, route time.Duration
		limit           time.Duration
	}{
		{"neither", 0, 0, defaultTimeLimit},
		{"deadline of the caller", 20 * time.Minute, 0, 20 * time.Minute},
		{"timeout of the route", 0, 10 * time.Minute, 10 * time.Minute},
		{"shorter deadline", time.Second, 10 * time.Minute, time.Second},
		{"shorter timeout", 20 * time.Minute, 10 * time.Minute, 10 * time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, timeLimit(tt.deadline, tt.route), tt.limit)
		})
	}
}
