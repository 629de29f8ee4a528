package commands

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cancellingWriter cancels the watch after the remaining number of failed
// status requests.
type cancellingWriter struct {
	strings.Builder
	remaining int
	cancel    func()
}

// Write implements io.Writer.
func (c *cancellingWriter) Write(data []byte) (int, error) {
	if strings.Contains(string(data), "gave no status") {
		if c.remaining--; c.remaining == 0 {
			c.cancel()
		}
	}
	return c.Builder.Write(data)
}

// Guards against a watch that ends when a router gives no status, and against
// one that cannot be interrupted.
func TestWatch(t *testing.T) {
	t.Setenv(tokenEnv, "a-token-of-the-operators")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out := &cancellingWriter{remaining: 3, cancel: cancel}
	c := &Commands{out: out, routers: []string{"127.0.0.1:0"}, watch: true, interval: time.Millisecond, timeout: time.Second}
	assert.NilError(t, c.watchStatus(ctx))
	assert.Equal(t, strings.Count(out.String(), "ROUTER"), 3, out.String())
	assert.Assert(t, errors.Is(ctx.Err(), context.Canceled))
	c.watch = false
	assert.ErrorContains(t, c.watchStatus(t.Context()), "1 of 1 routers gave no status")
}
