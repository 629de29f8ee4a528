package logwriter

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a destination whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return b.written.Write(p)
}

// TestBlockedDestination guards against a blocked destination that delays the
// code that logs, and against lines that are dropped without being counted.
func TestBlockedDestination(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &blockedWriter{unblock: make(chan struct{})}
		w := New(to)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 2 * maxPending / len(line) {
			_, err := w.Write(line)
			assert.NilError(t, err)
		}
		time.Sleep(time.Second)
		assert.Equal(t, w.Dropped(), int64(maxPending/len(line)))
		close(to.unblock)
		_, err := w.Write([]byte("last\n"))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		cancel()
		assert.NilError(t, <-done)
		assert.Assert(t, strings.Contains(to.written.String(), "lines=512"))
		assert.Assert(t, strings.HasSuffix(to.written.String(), "last\n"))
	})
}
