package httpclient

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/endless"
)

// Guards against a router that reads megabytes of a head without end in each call
// of the platform.
func TestEndlessHead(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 503 Service Unavailable\r\nX-Long: "} {
		s, err := endless.New(start, "x")
		assert.NilError(t, err)
		defer func() { assert.NilError(t, s.Close()) }()
		c, err := New("http://"+s.Address(), WithTimeout(10*time.Second), WithTransport(newTransport(s.Dial)))
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = c.Do(ctx, Request{Method: http.MethodGet, Path: "rows"})
		assert.Assert(t, err != nil)
		assert.NilError(t, ctx.Err(), "the head was read for 10 s")
		assert.Assert(t, s.BytesRead() <= 128<<10, "%d bytes of a head were read", s.BytesRead())
	}
}
