package host

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/broken"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

const (
	// longUpload is more than the kernel buffers for a connection, in bytes.
	longUpload = 16 << 20
	brokenHead = "HTTP/1.1 200 OK\r\n" + headers.Request + ": r-1\r\n" + headers.Seal + ": 1\r\n"
)

// newBrokenFixture returns a fixture whose only server gives the answer to the request r-1.
func newBrokenFixture(t *testing.T, answer string, e broken.Ending) (*fixture, *broken.Server) {
	t.Helper()
	c := configuration()
	c.Limits.BodyBytes = 2 * longUpload
	f := newFixture(t, c)
	s, err := broken.New(e, answer)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	f.store.Register(galenalatch.Registration{ID: "broken", Service: service, Address: s.Address(), DataCentre: "a", Slots: 4})
	f.store.Unregister("s1")
	f.store.Unregister("s2")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		now := time.Now()
		if f.table.Usable(now, "broken") && !f.table.Usable(now, "s1") && !f.table.Usable(now, "s2") {
			return poll.Success()
		}
		return poll.Continue("the list of servers is old")
	}, poll.WithDelay(5*time.Millisecond))
	return f, s
}

// Guards against callers who get a part of a body of unknown length as a whole answer:
// its server has reset the connection while it got the request.
func TestResetDuringLongUpload(t *testing.T) {
	// repeats is the number of uploads of a case. Whether the upload or the reader
	// notices the reset first differs.
	const repeats = 10
	tests := []struct{ name, path, rest string }{
		{"must not be repeated", "/log/1", "\r\npart of a body"},
		{"may be repeated", "/status/1", "\r\npart of a body"},
		{"stream", "/stream/once/1", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n"},
		{"resumable stream", "/stream/1", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n"},
		{"longer than the buffer", "/log/1", "\r\n" + strings.Repeat("b", maxBufferedBody+1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, s := newBrokenFixture(t, brokenHead+tt.rest, broken.Reset)
			upload := strings.Repeat("u", longUpload)
			whole := 0
			for range repeats {
				a := f.call(t.Context(), "POST", tt.path, "r-1", upload)
				if a.err == nil && a.status < 300 {
					whole++
				}
			}
			assert.Equal(t, whole, 0, "a part counts as whole in %d of %d calls", whole, repeats)
			assert.Assert(t, s.Requests() >= repeats)
		})
	}
}

// Guards against a sound answer that is lost since it came before the request was read.
func TestAnswerBeforeLongUpload(t *testing.T) {
	tests := []struct {
		name, path, rest, body string
		ending                 broken.Ending
	}{
		{"length", "/log/1", "Content-Length: 4\r\n\r\nbody", "body", broken.Reset},
		{"length", "/log/1", "Content-Length: 4\r\n\r\nbody", "body", broken.Wait},
		{"chunks", "/log/1", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", broken.Reset},
		{"no length", "/log/1", "\r\nbody", "body", broken.CloseWrite},
		{"no length", "/log/1", "\r\nbody", "body", broken.CloseWriteAndReset},
		{"stream", "/stream/once/1", "\r\nid: 1\ndata: piece\n\n", "id: 1\ndata: piece\n\n", broken.CloseWrite},
		{"stream", "/stream/once/1", "\r\nid: 1\ndata: piece\n\n", "id: 1\ndata: piece\n\n", broken.CloseWriteAndReset},
	}
	for _, tt := range tests {
		t.Run(tt.name+"/"+string(tt.ending), func(t *testing.T) {
			f, _ := newBrokenFixture(t, brokenHead+tt.rest, tt.ending)
			a := f.call(t.Context(), "POST", tt.path, "r-1", strings.Repeat("u", longUpload))
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, 200)
			assert.Equal(t, a.body, tt.body)
		})
	}
}
