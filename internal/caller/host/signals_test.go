package host

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/backend"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// callUntilArrival makes calls until s has received one more.
func (f *fixture) callUntilArrival(t *testing.T, s *backend.Server, path string) {
	t.Helper()
	before := s.Arrivals()
	for i := 0; s.Arrivals() == before; i++ {
		assert.Assert(t, i < 100, "%s gets no request", s.ID)
		f.call(t.Context(), "GET", path, fmt.Sprint("until-", s.ID, "-", i), "")
	}
}

// callMany makes calls, each of which must be served.
func (f *fixture) callMany(t *testing.T, calls int) {
	t.Helper()
	for i := range calls {
		a := f.call(t.Context(), "GET", "/status/1", fmt.Sprint("r-", i), "")
		assert.Equal(t, a.status, http.StatusOK, a.body)
	}
}

// Guards against requests to a server that has said in an answer that it leaves, while
// its entry says nothing of it.
func TestAnnouncedLeaving(t *testing.T) {
	tests := []struct {
		name      string
		behaviour backend.Behaviour
		path      string
	}{
		{"in an answer", backend.Answer, "/status/1"},
		{"in a failure", backend.Fail, "/status/1"},
		{"in a rejection", backend.RejectNotRun, "/status/1"},
		{"in the head of a stream", backend.Answer, "/stream/1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, configuration())
			leaving := f.servers[0]
			leaving.SetBehaviour(tt.behaviour)
			leaving.AnnounceLeaving()
			f.callUntilArrival(t, leaving, tt.path)
			arrivals := leaving.Arrivals()
			f.callMany(t, 20)
			// The entry is written once more, as that of a sound server.
			f.store.Register(galenalatch.Registration{ID: leaving.ID, Service: service, Address: leaving.Address(), DataCentre: "a", Slots: 5})
			time.Sleep(100 * time.Millisecond)
			f.callMany(t, 20)
			assert.Equal(t, leaving.Arrivals(), arrivals)
			assert.Equal(t, f.events.count("leaving "+string(leaving.ID)), 1)
		})
	}
}

// Guards against an announcement that is taken for that of another server: one that has
// the address now, or had it before.
func TestAnnouncementOfAnotherServer(t *testing.T) {
	f := newFixture(t, configuration())
	leaving := f.servers[0]
	leaving.AnnounceLeaving()
	// The entry of s9 has the address of a server that leaves, which answers 421.
	f.store.Register(galenalatch.Registration{ID: "s9", Service: service, Address: leaving.Address(), DataCentre: "a", Slots: 4})
	f.callUntilArrival(t, leaving, "/status/1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.call(t.Context(), "GET", "/status/1", "more", "")
		if f.table.Usable(time.Now(), "s9") && !f.table.Usable(time.Now(), leaving.ID) {
			return poll.Success()
		}
		return poll.Continue("s9 must stay in use, %s must not", leaving.ID)
	}, poll.WithDelay(10*time.Millisecond))
}

// Guards against a running stream that ends because its server announces its leaving.
func TestStreamOfLeavingServerIsComplete(t *testing.T) {
	f := newFixture(t, configuration())
	for _, s := range f.servers {
		s.Gap = 50 * time.Millisecond
		s.AnnounceLeaving()
	}
	a := f.call(t.Context(), "GET", "/stream/once/1", "r-1", "")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n")
	assert.Equal(t, f.runs("r-1"), 1)
}

// Guards against requests to a server during the pause that it has asked for, and
// against a server that gets none after it.
func TestRequestedPause(t *testing.T) {
	const pause = 600 * time.Millisecond
	f := newFixture(t, configuration())
	paused := f.servers[0]
	paused.RequestPause(pause.String())
	f.callUntilArrival(t, paused, "/status/1")
	arrivals, start := paused.Arrivals(), time.Now()
	for time.Since(start) < pause*9/10 {
		f.callMany(t, 1)
	}
	assert.Equal(t, paused.Arrivals(), arrivals)
	paused.SetBehaviour(backend.Answer)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.callMany(t, 1)
		if paused.Arrivals() > arrivals {
			return poll.Success()
		}
		return poll.Continue("the server gets no requests after its pause")
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, f.events.count(fmt.Sprintf("pause %s %s", paused.ID, pause)), 1)
}

// Guards against callers that wait, or requests that are sent, while all servers have
// asked for a pause, and against a time to return that is before its end.
func TestAllServersPause(t *testing.T) {
	const pause = 2 * time.Second
	f := newFixture(t, configuration())
	for _, s := range f.servers {
		s.RequestPause(pause.String())
	}
	f.call(t.Context(), "GET", "/status/1", "first", "")
	start := time.Now()
	for i := range 20 {
		a := f.call(t.Context(), "GET", "/status/1", fmt.Sprint("r-", i), "")
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		wait, err := time.ParseDuration(a.header.Get(headers.Return))
		assert.NilError(t, err)
		assert.Assert(t, wait > pause-time.Since(start)-100*time.Millisecond && wait < 2*pause, "%s", wait)
	}
	assert.Assert(t, time.Since(start) < pause/2)
	assert.Equal(t, f.servers[0].Arrivals()+f.servers[1].Arrivals(), 2)
}

// Guards against a request that was chosen before a pause and is sent during it.
func TestPauseBeforeSend(t *testing.T) {
	f := newFixture(t, configuration())
	for _, s := range f.servers {
		s.RequestPause("2s")
	}
	nested := false
	f.admitHook = func() {
		if nested {
			return
		}
		nested = true
		// Both servers reject this request and ask for a pause.
		f.call(context.Background(), "GET", "/status/1", "second", "")
	}
	a := f.call(t.Context(), "GET", "/status/1", "first", "")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, f.servers[0].Arrivals()+f.servers[1].Arrivals(), 2)
}

// Guards against an answer of unknown length that looks whole although its server, whose
// leaving was known, has ended inside it, and against a whole one that is broken off.
func TestUnframedAnswerOfLeavingServer(t *testing.T) {
	tests := []struct {
		name      string
		behaviour backend.Behaviour
		path      string
		// served is set if the caller gets a whole answer.
		served bool
	}{
		{"resumable stream, ended server", backend.EndUnframed, "/stream/1", true},
		{"other stream, ended server", backend.EndUnframed, "/stream/once/1", false},
		{"repeatable answer, ended server", backend.EndUnframed, "/status/1", true},
		{"other answer, ended server", backend.EndUnframed, "/log/1", false},
		{"stream, running server", backend.Unframed, "/stream/once/1", true},
		{"answer, running server", backend.Unframed, "/log/1", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, configuration())
			leaving := f.servers[0]
			leaving.SetBehaviour(tt.behaviour)
			leaving.AnnounceLeaving()
			var a response
			id := ""
			for i := 0; leaving.Arrivals() == 0; i++ {
				assert.Assert(t, i < 100, "%s gets no request", leaving.ID)
				id = fmt.Sprint("r-", i)
				a = f.call(t.Context(), "POST", tt.path, id, "")
			}
			assert.Equal(t, f.events.count("leaving "+string(leaving.ID)), 1)
			if !tt.served {
				assert.Assert(t, a.err != nil || a.status == http.StatusBadGateway, "status %d: %q", a.status, a.body)
				return
			}
			assert.NilError(t, a.err)
			want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
			if !strings.HasPrefix(tt.path, "/stream/") {
				want = "served by " + string(f.servers[1].ID) + " for " + id + "\n"
			}
			if tt.behaviour == backend.Unframed && !strings.HasPrefix(tt.path, "/stream/") {
				want = "served by " + string(leaving.ID) + " for " + id + "\n"
			}
			assert.Equal(t, a.body, want)
		})
	}
}
