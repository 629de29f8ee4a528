package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/standin/backend"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// Guards against a workspace that uses up its share with requests which no server has
// begun, because its router could not send them or servers rejected them.
func TestUnsentRequestTakesNoShare(t *testing.T) {
	const tokens = 100
	tests := []struct {
		name    string
		fail    func(f *fixture)
		status  int
		started float64
	}{
		{"begun", func(*fixture) {}, 200, tokens},
		{"failed", func(f *fixture) { f.set(backend.CloseAfterRun) }, 502, tokens},
		{"rejected by all servers", func(f *fixture) { f.set(backend.RejectNotRun) }, 503, 0},
		{"no server reached", func(f *fixture) { f.refuseDials = true }, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, configuration())
			tt.fail(f)
			a := f.call(t.Context(), "POST", "/stream/once/1", "r-1", "", headers.Prompt, "a:40 b:60")
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, tt.status)
			usage := f.ledger.LocalUsage(time.Now())[share.Key("")]
			assert.Equal(t, usage.Requested, float64(tokens))
			assert.Equal(t, usage.Started, tt.started)
		})
	}
}
