package httpclient

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/broken"
)

// Guards against a part of a value that is taken for the whole one: it has neither a
// length nor chunks, and its connection has ended or was reset while the request was
// written.
func TestBodyWithoutLength(t *testing.T) {
	// longValue is more than the kernel buffers for a connection, in bytes.
	const longValue = 16 << 20
	for _, ending := range []broken.Ending{broken.CloseWrite, broken.Reset} {
		for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nETag: \"1\"\r\n\r\n"} {
			s, err := broken.New(ending, head+"part of the value")
			assert.NilError(t, err)
			c, err := New("http://" + s.Address())
			assert.NilError(t, err)
			r, err := c.Do(t.Context(), Request{Method: http.MethodGet, Path: "objects/key"})
			assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindPlatformDown, "%s, %q: %q %v", ending, head, r.Body, err)
			r, err = c.Do(t.Context(), Request{Method: http.MethodPut, Path: "objects/key", Body: []byte(strings.Repeat("v", longValue)), Write: true})
			assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindWriteUnknown, "%s, %q: %q %v", ending, head, r.Body, err)
			assert.NilError(t, s.Close())
		}
	}
}
