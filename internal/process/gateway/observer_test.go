package gateway

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/host"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// Measures the processor time of a log line of the longest kind.
func BenchmarkLogLine(b *testing.B) {
	log, err := events.New(io.Discard, "info", "logfmt")
	assert.NilError(b, err)
	zero := func() int64 { return 0 }
	o := observer{log: log.With("router", "front-a-1"), metrics: newMetrics(counters{droppedLines: zero, routers: zero, shedConnections: zero})}
	d := host.Decision{Route: "r-dv2a6zm", Workspace: "yede161", Server: "i-9362b45807", Configuration: 3, ProofAge: 455 * time.Millisecond, Wait: 91 * time.Millisecond}
	b.ResetTimer()
	for range b.N {
		o.Placed("e201f949af3e48b8", d)
	}
}

// Guards against a log without the cost of a request: values of fields whose
// name contains "token" are redacted.
func TestCostIsLogged(t *testing.T) {
	var out strings.Builder
	log, err := events.New(&out, "info", "logfmt")
	assert.NilError(t, err)
	zero := func() int64 { return 0 }
	o := observer{log: log, metrics: newMetrics(counters{droppedLines: zero, routers: zero, shedConnections: zero})}
	o.Placed("r-1", host.Decision{Tokens: 3720})
	o.Refused("r-2", host.Decision{Tokens: 1110}, galenalatch.KindQueueFull.Errorf("late"))
	for _, want := range []string{"cost=3720", "cost=1110"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}

// Guards against logs from which a crash cannot be attributed to a prompt part.
func TestInterruptionIsLogged(t *testing.T) {
	var out strings.Builder
	log, err := events.New(&out, "info", "logfmt")
	assert.NilError(t, err)
	zero := func() int64 { return 0 }
	o := observer{log: log, metrics: newMetrics(counters{droppedLines: zero, routers: zero, shedConnections: zero})}
	i := host.Interruption{Parts: []galenalatch.PromptPart{{ID: "a1"}, {ID: "b2"}}, Begun: true, ServerEnded: true}
	o.Attempted("r-1", host.Decision{Interruption: i}, 0, io.ErrUnexpectedEOF)
	assert.Assert(t, strings.Contains(out.String(), "begun=true serverEnded=true parts=a1,b2"), out.String())
}
