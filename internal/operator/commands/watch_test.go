package commands

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cancelling counts tables and ends the watch after some of them.
type cancelling struct {
	strings.Builder
	left int
	stop func()
}

// Write implements io.Writer.
func (c *cancelling) Write(data []byte) (int, error) {
	if strings.Contains(string(data), "gave no status") {
		if c.left--; c.left == 0 {
			c.stop()
		}
	}
	return c.Builder.Write(data)
}

// Guards against a watch that ends with the first router that gives no
// status, and against one that cannot be interrupted.
func TestWatch(t *testing.T) {
	t.Setenv(tokenEnv, "a-token-of-the-operators")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	out := &cancelling{left: 3, stop: stop}
	c := &Commands{out: out, routers: []string{"127.0.0.1:0"}, watch: true, every: time.Millisecond, timeout: time.Second}
	assert.NilError(t, c.watchStatus(ctx))
	assert.Equal(t, strings.Count(out.String(), "ROUTER"), 3, out.String())
	assert.Assert(t, errors.Is(ctx.Err(), context.Canceled))
	c.watch = false
	assert.ErrorContains(t, c.watchStatus(t.Context()), "1 of 1 routers gave no status")
}
