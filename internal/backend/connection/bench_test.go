package connection

import (
	"io"
	"net/http"
	"strings"
	"testing"

	standin "github.com/galenalatch/galenalatch/internal/standin/service"
	"gotest.tools/v3/assert"
)

// BenchmarkConnection measures a small request over loopback, with the pool and
// with net/http alone, on new and on reused connections, and the boot check
// alone.
func BenchmarkConnection(b *testing.B) {
	s := standin.New(standin.Settings{})
	address := start(b, s)
	o := newAttempt(address, s.Boot(), "1", http.MethodPost, "household 9")
	pooled := func(idle int) func(*testing.B) {
		return func(b *testing.B) {
			p := New(WithIdle(defaultIdleTimeout, idle, idle))
			defer p.Close()
			b.ReportAllocs()
			for b.Loop() {
				assert.NilError(b, send(b.Context(), p, o))
			}
		}
	}
	plain := func(fresh bool) func(*testing.B) {
		return func(b *testing.B) {
			t := &http.Transport{DisableKeepAlives: fresh, DisableCompression: true}
			defer t.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.NewRequestWithContext(b.Context(), o.Method, "http://"+address+o.Path, strings.NewReader(string(o.Body)))
				assert.NilError(b, err)
				r.Header.Set("Idempotency-Key", "1")
				r.Header.Set("X-Request-Id", "1")
				resp, err := t.RoundTrip(r)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				assert.NilError(b, resp.Body.Close())
			}
		}
	}
	b.Run("new/pool", pooled(0))
	b.Run("new/plain", plain(true))
	b.Run("kept/pool", pooled(1))
	b.Run("kept/plain", plain(false))
	b.Run("check", func(b *testing.B) {
		p := New()
		defer p.Close()
		b.ReportAllocs()
		for b.Loop() {
			c, err := p.Get(b.Context(), address, s.Boot())
			assert.NilError(b, err)
			c.Close()
		}
	})
}
