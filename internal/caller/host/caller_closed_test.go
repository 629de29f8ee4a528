package host

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch/internal/caller/ingress"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// Guards against running requests of callers that closed their connections
// before the router read the requests. On an overloaded router such requests
// reached backend servers before net/http noticed the close.
func TestCallerClosedBeforeRead(t *testing.T) {
	const requests = 50
	f := newFixture(t, configuration())
	// Open idle connections to both servers, so that no dial delays a request.
	for _, id := range []string{"warm-1", "warm-2", "warm-3", "warm-4"} {
		assert.Equal(t, f.call(t.Context(), "POST", "/status/1", id, "body").status, http.StatusOK)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	for i := range requests {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "POST /status/1 HTTP/1.1\r\nHost: a.example\r\n%s: gone-%d\r\n%s: 2s\r\nContent-Length: 4\r\n\r\nbody",
			headers.Request, i, headers.Deadline)
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	s := &ingress.Server{Handler: f.front.Config.Handler}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := f.events.count("refused gone-") + f.events.count("ended gone-"); n < requests {
			return poll.Continue("%d requests have ended", n)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.NilError(t, l.Close())
	assert.NilError(t, s.Shutdown(t.Context()))
	assert.NilError(t, <-done)
	for i := range requests {
		assert.Equal(t, f.runs(fmt.Sprintf("gone-%d", i)), 0, "request %d", i)
	}
}
