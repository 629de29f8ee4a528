package engine

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/connection"
	standin "github.com/galenalatch/galenalatch/internal/standin/engine"
	"github.com/galenalatch/galenalatch/internal/standin/network"
	"github.com/galenalatch/galenalatch/internal/standin/process"
	"gotest.tools/v3/assert"
)

// withFakeClock runs f with a fake clock, a simulated engine and a client of
// it.
func withFakeClock(t *testing.T, settings standin.Settings, f func(t *testing.T, s *standin.Server, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New()
		l, err := n.Listen("a:1")
		assert.NilError(t, err)
		s := standin.New(settings)
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { assert.Check(t, s.Serve(ctx, l)) })
		p := connection.New(connection.WithDial(n.Dial))
		f(t, s, New(p))
		p.Close()
		cancel()
		g.Wait()
	})
}

// TestProgress guards against progress that is reported less than once a
// second, because the fairness between long requests depends on it. It also
// guards against a wrong token count before the engine reports the usage.
func TestProgress(t *testing.T) {
	withFakeClock(t, standin.Settings{TokenTime: 100 * time.Millisecond}, func(t *testing.T, s *standin.Server, c *Client) {
		var r recorder
		u, err := c.Run(t.Context(), newAttempt("a:1", s.Boot(), "1", "a b", 35, true), &r)
		assert.NilError(t, err)
		assert.Equal(t, u, galenalatch.Usage{PromptTokens: 2, OutputTokens: 35})
		assert.Equal(t, len(r.progress), 3)
		for i, u := range r.progress {
			assert.Equal(t, u.OutputTokens, int64(10*i+11))
		}
	})
}

// TestHang guards against a request that outlives its context when the engine
// hangs, and against an engine slot that stays in use afterwards.
func TestHang(t *testing.T) {
	withFakeClock(t, standin.Settings{Slots: 1}, func(t *testing.T, s *standin.Server, c *Client) {
		for _, stream := range []bool{true, false} {
			s.SetFailures(process.Failures{Hang: true})
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
			var r recorder
			_, err := c.Run(ctx, newAttempt("a:1", s.Boot(), "1", "a", 5, stream), &r)
			cancel()
			assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindCallerClosed)
			assert.Equal(t, time.Since(began), 7*time.Second)
			assert.Equal(t, r.heads, 0)
			// The engine must notice the cancellation before it continues.
			synctest.Wait()
			s.SetFailures(process.Failures{})
			_, err = c.Run(t.Context(), newAttempt("a:1", s.Boot(), "2", "a", 5, stream), &recorder{})
			assert.NilError(t, err)
		}
		assert.Equal(t, s.Stats().Cancels, 2)
		assert.Equal(t, s.Stats().Running, 0)
	})
}
