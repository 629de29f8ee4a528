//go:build linux

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/platform/standin"
)

// requestInterval is the time between two requests of a stream of load.
const requestInterval = 10 * time.Millisecond

// get makes one request to the first gateway. It returns the status, or 0 without a
// response, and the time after which the caller may return.
func (f *soakFleet) get(id string) (status int, retryAfter time.Duration) {
	r, err := http.NewRequest("POST", "http://"+f.gateways[0].caller+"/status/"+id, strings.NewReader(id))
	assert.NilError(f.t, err)
	r.Host = soakHost
	r.Header.Set(standin.Request, id)
	r.Header.Set(standin.Deadline, "3000")
	transport := &http.Transport{DisableKeepAlives: true}
	a, err := transport.RoundTrip(r)
	if err != nil {
		return 0, 0
	}
	_, err = io.Copy(io.Discard, a.Body)
	assert.NilError(f.t, err)
	assert.NilError(f.t, a.Body.Close())
	seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	return a.StatusCode, time.Duration(seconds * float64(time.Second))
}

// load makes requests for d and returns how many of them were served.
func (f *soakFleet) load(name string, d time.Duration) int {
	served := 0
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		if status, _ := f.get(fmt.Sprintf("%s-%d", name, i)); status == http.StatusOK {
			served++
		}
		time.Sleep(requestInterval)
	}
	return served
}

// Guards against a gateway that sends requests to a server which has said in its answers
// that it leaves, while the store does not say so or does not answer.
func TestGatewayHearsLeaving(t *testing.T) {
	for _, away := range []bool{false, true} {
		t.Run(fmt.Sprint("store away ", away), func(t *testing.T) {
			f := newSoakFleet(t, 1)
			leaving := f.backends[0].server
			if away {
				f.store.SetFault(standin.Busy)
				time.Sleep(300 * time.Millisecond)
			}
			leaving.AnnounceLeaving()
			for before := leaving.Arrivals(); leaving.Arrivals() == before; {
				f.load("first", 50*time.Millisecond)
			}
			arrivals := leaving.Arrivals()
			served := f.load("second", 3*time.Second)
			assert.Assert(t, served > 0)
			assert.Equal(t, leaving.Arrivals(), arrivals)

			// A new server that replaces it is not touched by it.
			f.store.SetFault(standin.NoFault)
			f.store.RemoveServer(leaving.ID)
			f.startServer(f.backends[0], 0)
			fresh := f.backends[0].server
			for end := time.Now().Add(5 * time.Second); fresh.Arrivals() == 0 && time.Now().Before(end); {
				// One request at a time would stay with servers that have idle connections.
				var group errgroup.Group
				for i := range 8 * soakWorkers {
					group.Go(func() error { f.get(fmt.Sprint("third-", i)); return nil })
				}
				assert.NilError(t, group.Wait())
			}
			assert.Assert(t, fresh.Arrivals() > 0)
		})
	}
}

// Guards against requests to servers during the pause that they have asked for: at most
// two from half a second after a 503 to its end, also by a gateway that was started
// again, and none at all but true refusals if all servers pause.
func TestGatewayKeepsPauses(t *testing.T) {
	const (
		pause        = 2500 * time.Millisecond
		reactionTime = 500 * time.Millisecond
		maxArrivals  = 2
	)
	for _, tt := range []struct {
		name    string
		pausing int
		restart bool
	}{
		{"one server", 1, false},
		{"all servers", soakWorkers, false},
		{"restart of the gateway", 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newSoakFleet(t, 1)
			paused := f.backends[0].server
			for _, w := range f.backends[:tt.pausing] {
				w.server.RequestPause("2.5")
			}
			for before := paused.Arrivals(); paused.Arrivals() == before; {
				f.load("first", 30*time.Millisecond)
			}
			start := time.Now()
			if tt.restart {
				f.killGateway(f.gateways[0])
				f.restartGateway(f.gateways[0])
				f.awaitListening(f.gateways[0])
				f.awaitReady(f.gateways[0])
				for before := paused.Arrivals(); paused.Arrivals() == before; {
					f.load("again", 30*time.Millisecond)
				}
				start = time.Now()
			}
			f.load("second", reactionTime)
			arrivals := paused.Arrivals()
			if tt.pausing == soakWorkers {
				status, wait := f.get("refused")
				assert.Equal(t, status, http.StatusServiceUnavailable)
				// The first pause began up to 100 ms before it was noticed here.
				assert.Assert(t, wait >= time.Until(start.Add(pause-100*time.Millisecond)), "%s", wait)
			}
			f.load("third", time.Until(start.Add(pause-100*time.Millisecond)))
			assert.Assert(t, paused.Arrivals()-arrivals <= maxArrivals, "%d requests in the pause", paused.Arrivals()-arrivals)
		})
	}
}
