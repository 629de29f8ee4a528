package events_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// TestSecrets guards against secrets in the log, against values of unlimited
// length, and against texts of callers that forge log lines.
func TestSecrets(t *testing.T) {
	for _, format := range []string{"text", "json", "logfmt"} {
		var b bytes.Buffer
		l, err := events.New(&b, "debug", format)
		assert.NilError(t, err)
		l.With("peerToken", "hidden").Event(events.RequestEnded,
			"Authorization", "hidden", "api-key", "hidden", "idempotency_key", "hidden",
			"header", http.Header{"Authorization": {"hidden"}}, "request", galenalatch.Request{Key: "hidden"},
			"text", "a\nlevel=error event=1", "long", strings.Repeat("x", 2000), "cause", errors.New("why"),
			"cell", galenalatch.CellID{Pool: "p"}, "count", 7, "nil", nil, "nothing", (*galenalatch.Error)(nil), "odd")
		assert.Assert(t, !strings.Contains(b.String(), "hidden"), b.String())
		assert.Assert(t, b.Len() < 1500, b.String())
		for _, want := range []string{"2001", "request ended", "why", "p//0", "7", "none"} {
			assert.Assert(t, strings.Contains(b.String(), want), "%s: %s", want, b.String())
		}
		if format != "text" {
			assert.Equal(t, strings.Count(b.String(), "\n"), 1, b.String())
		}
	}
}

// TestLevels guards against a level that hides errors, and against invalid levels
// and formats that are accepted.
func TestLevels(t *testing.T) {
	var b bytes.Buffer
	l, err := events.New(&b, "error", "json")
	assert.NilError(t, err)
	l.Event(events.PeerLost)
	assert.Equal(t, b.Len(), 0)
	l.Event(events.PlatformDown)
	l.Event(9999)
	assert.Equal(t, strings.Count(b.String(), `"level":"error"`), 2, b.String())
	for _, c := range [][2]string{{"verbose", "json"}, {"fatal", "json"}, {"info", "xml"}} {
		_, err := events.New(&b, c[0], c[1])
		assert.ErrorContains(t, err, "allowed")
	}
}

// writer is a goroutine that writes events to log.
type writer struct {
	log  *events.Log
	done *sync.WaitGroup
}

func (w writer) run() {
	defer w.done.Done()
	for range 50 {
		w.log.Event(events.PeerConnected)
	}
}

// TestConcurrent guards against concurrent writes of loggers from With that
// interleave their lines.
func TestConcurrent(t *testing.T) {
	var b bytes.Buffer
	l, err := events.New(&b, "info", "json")
	assert.NilError(t, err)
	var done sync.WaitGroup
	for i := range 8 {
		done.Add(1)
		go writer{l.With("peer", i), &done}.run()
	}
	done.Wait()
	assert.Equal(t, strings.Count(b.String(), "\n"), 400)
	for line := range bytes.Lines(b.Bytes()) {
		assert.Assert(t, json.Valid(line), "%s", line)
	}
}
