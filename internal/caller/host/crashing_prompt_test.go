package host

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// Guards against requests with one prompt part that end server after server, and
// against sound requests with other parts of theirs that are refused for it.
func TestPromptPartThatEndsServers(t *testing.T) {
	const (
		servers  = 12
		requests = 20
		// Five crashes show the part, three requests may follow.
		maxEnded = 5 + 3
	)
	f := newFixture(t, configuration())
	for len(f.servers) < servers {
		f.addServer(t)
	}
	for _, s := range f.servers {
		s.CrashOn("deadly")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !f.table.Usable(time.Now(), f.servers[servers-1].ID) {
			return poll.Continue("the last server is not listed yet")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	var last response
	for i := range requests {
		last = f.call(t.Context(), "POST", "/stream/1", fmt.Sprint("deadly-", i), "", headers.Prompt, fmt.Sprintf("common:100 deadly:10 own-%d:5", i))
		sound := f.call(t.Context(), "POST", "/stream/1", fmt.Sprint("sound-", i), "", headers.Prompt, fmt.Sprintf("common:100 sound:10 other-%d:5", i))
		assert.NilError(t, sound.err)
		assert.Equal(t, sound.status, http.StatusOK, "request %d: %s", i, sound.body)
	}
	ended := 0
	for _, s := range f.servers {
		if s.Ended() {
			ended++
		}
	}
	assert.Assert(t, ended <= maxEnded, "%d servers have ended", ended)
	assert.Equal(t, last.status, http.StatusServiceUnavailable, strings.Join(f.events.lines, "\n"))
	assert.Equal(t, last.header.Get(headers.Return), "", "a return must fail again")
}

// Guards against a request that ends its server, and then others by its retries: also one
// whose prompt has no part in common with others, which is never held back.
func TestRequestThatEndsItsServer(t *testing.T) {
	for _, prompt := range []string{"deadly:10", "common:100 deadly:10"} {
		t.Run(prompt, func(t *testing.T) {
			f := newFixture(t, configuration())
			f.addServer(t)
			f.addServer(t)
			for _, s := range f.servers {
				s.CrashOn("deadly")
			}
			a := f.call(t.Context(), "POST", "/stream/1", "deadly", "", headers.Prompt, prompt)
			assert.Equal(t, a.status, http.StatusBadGateway)
			ended := 0
			for _, s := range f.servers {
				if s.Ended() {
					ended++
				}
			}
			assert.Equal(t, ended, 1)
			sound := f.call(t.Context(), "POST", "/stream/1", "sound", "", headers.Prompt, "common:100 sound:10")
			assert.Equal(t, sound.status, http.StatusOK, "a sound request of the same kind")
		})
	}
}
