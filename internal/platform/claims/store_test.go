package claims_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/claim"
	"github.com/galenalatch/galenalatch/internal/platform/claims"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
	"github.com/galenalatch/galenalatch/internal/platform/object"
	"github.com/galenalatch/galenalatch/internal/platform/table"
	"github.com/galenalatch/galenalatch/internal/standin/platform"
)

// process is a router that only makes claims.
type process struct {
	*claims.Store
	kill func()
}

func (p process) run(ctx context.Context) {
	_ = p.Run(ctx)
}

// start returns a process that runs until the test ends or it is killed.
func start(t *testing.T, s *platform.Server) process {
	c, err := httpclient.New("http://platform", httpclient.WithTransport(s.Transport()))
	assert.NilError(t, err)
	p := process{Store: claims.New(table.New(c), object.New(c))}
	ctx, cancel := context.WithCancel(t.Context())
	p.kill = cancel
	t.Cleanup(cancel)
	go p.run(ctx)
	return p
}

func (p process) claim(t *testing.T, fingerprint string) (*claims.Handle, *claim.Answer, galenalatch.Kind) {
	h, a, err := p.Claim(t.Context(), "w", "p", "key/1", fingerprint)
	if err != nil {
		return h, a, galenalatch.KindOf(err)
	}
	return h, a, ""
}

// withTwoRouters runs a test with two routers and a fake clock. It waits a
// minute at the end, so that delayed writes take effect first.
func withTwoRouters(t *testing.T, f func(t *testing.T, s *platform.Server, a, b process)) {
	synctest.Test(t, func(t *testing.T) {
		s := platform.New()
		f(t, s, start(t, s), start(t, s))
		s.SetFaults(platform.Faults{})
		<-time.After(time.Minute)
	})
}

// TestReplay guards against a repeated request that runs again or gets a
// changed answer, and against a request with another body that gets the answer.
func TestReplay(t *testing.T) {
	for _, size := range []int{3, 1 << 20} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			withTwoRouters(t, func(t *testing.T, s *platform.Server, a, b process) {
				h, _, kind := a.claim(t, "f")
				assert.Equal(t, kind, galenalatch.Kind(""))
				want := claim.Answer{Status: 201, Header: map[string][]string{"X": {"1"}}, Body: bytes.Repeat([]byte{7}, size)}
				// The response to the write of the row or the object is lost.
				s.SetFaults(platform.Faults{LoseNext: 1})
				assert.NilError(t, h.Finish(t.Context(), want))
				_, got, kind := b.claim(t, "f")
				assert.Equal(t, kind, galenalatch.Kind(""))
				assert.Equal(t, got.Status, want.Status)
				assert.DeepEqual(t, got.Header, want.Header)
				assert.Assert(t, bytes.Equal(got.Body, want.Body))
				_, _, kind = b.claim(t, "g")
				assert.Equal(t, kind, galenalatch.KindKeyReused)
				s.SetFaults(platform.Faults{Down: true, Targets: []string{"objects"}})
				_, _, kind = b.claim(t, "f")
				assert.Equal(t, kind == galenalatch.KindWriteUnknown, size > 64<<10, "a request that has run is not reported as not run")
			})
		})
	}
}

// TestConcurrentRepetition guards against a repetition that also runs while the
// first request is running, and against one that is reported as not run.
func TestConcurrentRepetition(t *testing.T) {
	withTwoRouters(t, func(t *testing.T, s *platform.Server, a, b process) {
		h, _, _ := a.claim(t, "f")
		began := time.Now()
		_, _, kind := b.claim(t, "f")
		assert.Equal(t, kind, galenalatch.KindInProgress)
		assert.Equal(t, time.Since(began), 10*time.Second)

		// The row exists but cannot be read.
		s.SetFaults(platform.Faults{RefuseReads: true})
		_, _, kind = b.claim(t, "f")
		assert.Equal(t, kind, galenalatch.KindInProgress)
		s.SetFaults(platform.Faults{})

		finished := time.AfterFunc(3*time.Second, func() { _ = h.Finish(t.Context(), claim.Answer{Status: 200}) })
		defer finished.Stop()
		began = time.Now()
		_, got, kind := b.claim(t, "f")
		assert.Equal(t, kind, galenalatch.Kind(""))
		assert.Equal(t, got.Status, 200)
		assert.Assert(t, time.Since(began) <= 4*time.Second)
	})
}

// TestKeyFreeAfterRelease guards against a key that stays claimed although its
// request was not sent. This happens when the platform is down at the time of
// the release.
func TestKeyFreeAfterRelease(t *testing.T) {
	withTwoRouters(t, func(t *testing.T, s *platform.Server, a, b process) {
		h, _, _ := a.claim(t, "f")
		s.SetFaults(platform.Faults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, galenalatch.KindOf(h.Release(ctx)), galenalatch.KindWriteUnknown)
		assert.Equal(t, a.Pending(), 1)
		_, _, kind := b.claim(t, "f")
		assert.Equal(t, kind, galenalatch.KindPlatformDown)
		s.SetFaults(platform.Faults{})
		<-time.After(1200 * time.Millisecond) // the fourth retry
		assert.Equal(t, a.Pending(), 0)
		_, _, kind = b.claim(t, "g")
		assert.Equal(t, kind, galenalatch.KindKeyReused)
		h, _, kind = b.claim(t, "f")
		assert.Equal(t, kind, galenalatch.Kind(""))
		assert.Assert(t, h != nil)
	})
}

// TestWriteFaults guards against a claim that is lost with the response to its
// write. It also guards against a claim that takes effect after its caller was
// told that nothing ran: the claim would block the key or let the request run
// later.
func TestWriteFaults(t *testing.T) {
	for name, tt := range map[string]struct {
		faults platform.Faults
		want   galenalatch.Kind
	}{
		"lost response":      {platform.Faults{LoseNext: 1}, ""},
		"all responses lost": {platform.Faults{LoseShare: 1}, ""},
		"late write":         {platform.Faults{WriteDelayMillis: 1500}, ""},
		"very late write":    {platform.Faults{WriteDelayMillis: 20000}, galenalatch.KindPlatformDown},
		"hang":               {platform.Faults{Hang: true}, galenalatch.KindPlatformDown},
		"writes refused":     {platform.Faults{RefuseWrites: true}, galenalatch.KindPlatformDown},
		"reads refused":      {platform.Faults{LoseNext: 1, RefuseReads: true}, galenalatch.KindPlatformDown},
	} {
		t.Run(name, func(t *testing.T) {
			withTwoRouters(t, func(t *testing.T, s *platform.Server, a, b process) {
				s.SetFaults(tt.faults)
				_, _, kind := a.claim(t, "f")
				assert.Equal(t, kind, tt.want)
				s.SetFaults(platform.Faults{})
				<-time.After(30 * time.Second)
				h, _, kind := b.claim(t, "f")
				if tt.want == "" {
					assert.Equal(t, kind, galenalatch.KindInProgress)
					return
				}
				assert.Equal(t, kind, galenalatch.Kind(""))
				assert.Assert(t, h != nil)
			})
		})
	}
}

// TestCallerClosed guards against a key that stays claimed because its caller
// disconnected before the claim was answered.
func TestCallerClosed(t *testing.T) {
	withTwoRouters(t, func(t *testing.T, s *platform.Server, a, b process) {
		s.SetFaults(platform.Faults{WriteDelayMillis: 900})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := a.Claim(ctx, "w", "p", "key/1", "f")
		assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindCallerClosed)
		<-time.After(5 * time.Second)
		h, _, kind := b.claim(t, "f")
		assert.Equal(t, kind, galenalatch.Kind(""))
		assert.Assert(t, h != nil)
	})
}

// TestPlatformHang guards against an unbounded number of claims while the
// platform hangs, and against a burst of calls when it has recovered.
func TestPlatformHang(t *testing.T) {
	withTwoRouters(t, func(t *testing.T, s *platform.Server, a, b process) {
		s.SetFaults(platform.Faults{Hang: true})
		var callers sync.WaitGroup
		for i := range 2000 {
			callers.Go(func() {
				_, _, err := a.Claim(t.Context(), "w", "p", fmt.Sprint(i), "f")
				assert.Check(t, galenalatch.KindOf(err) == galenalatch.KindPlatformDown)
			})
		}
		callers.Wait()
		assert.Equal(t, a.Pending(), 2000)
		began := time.Now()
		_, _, kind := a.claim(t, "f")
		assert.Equal(t, kind, galenalatch.KindPlatformDown)
		assert.Equal(t, time.Since(began), time.Duration(0))
		<-time.After(time.Minute)
		before := s.Stats()
		s.SetFaults(platform.Faults{DelayMillis: 20})
		<-time.After(7 * time.Second)
		assert.Equal(t, a.Pending(), 0)
		assert.Assert(t, s.Stats().Reads == before.Reads)
		assert.Assert(t, s.Stats().Writes-before.Writes <= 100, "%d calls", s.Stats().Writes-before.Writes)
		h, _, _ := b.claim(t, "f")
		assert.Assert(t, h != nil)
	})
}

// TestBatches guards against one call to the platform per claim under load.
func TestBatches(t *testing.T) {
	withTwoRouters(t, func(t *testing.T, s *platform.Server, a, _ process) {
		s.SetFaults(platform.Faults{DelayMillis: 20})
		var callers sync.WaitGroup
		for i := range 500 {
			callers.Go(func() {
				h, _, err := a.Claim(t.Context(), "w", "p", fmt.Sprint(i), "f")
				assert.Check(t, err)
				assert.Check(t, h.Finish(t.Context(), claim.Answer{Status: 200}))
			})
		}
		callers.Wait()
		stats := s.Stats()
		assert.Equal(t, stats.WrittenRows, int64(1000))
		assert.Assert(t, stats.Writes <= 50, "%d calls", stats.Writes)
	})
}
