package sink

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blocked is a destination that takes nothing until it is released.
type blocked struct {
	free chan struct{}
	got  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.free
	return b.got.Write(p)
}

// Guards against log lines that delay requests, and against lines that are
// dropped without a word.
func TestBlockedDestination(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &blocked{free: make(chan struct{})}
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
		close(to.free)
		_, err := w.Write([]byte("last\n"))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		cancel()
		assert.NilError(t, <-done)
		assert.Assert(t, strings.Contains(to.got.String(), "lines=512"))
		assert.Assert(t, strings.HasSuffix(to.got.String(), "last\n"))
	})
}
