//go:build linux

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/backend"
	"github.com/galenalatch/galenalatch/platform/standin"
)

const (
	// resumeTime is how long after its begin a caller goes on to resume a stream.
	resumeTime = 3 * time.Second
	// streamGap is the time between two events of a stream.
	streamGap = 150 * time.Millisecond
)

// resumedStream is a stream of a caller that resumes it after each interruption.
type resumedStream struct {
	id string
	// attempts are the ids of the attempts that brought events, versions those of the
	// servers that have sent them.
	attempts []string
	versions map[string]bool
	last     int
	complete bool
	resumed  bool
}

// streamCaller makes streams and resumes them at random gateways.
type streamCaller struct {
	f *soakFleet
	// sent, if set, is called with the id of each attempt and the index of its gateway.
	sent func(id string, gateway int)

	mu      sync.Mutex
	streams []*resumedStream
}

// start begins streams at the gateways in turn and follows them.
func (c *streamCaller) start(ctx context.Context, g *errgroup.Group, name string, count int) {
	for i := range count {
		s := c.add(fmt.Sprintf("%s-%d", name, i))
		g.Go(func() error { return c.follow(ctx, s, i) })
	}
}

func (c *streamCaller) add(id string) *resumedStream {
	s := &resumedStream{id: id, versions: make(map[string]bool)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, s)
	return s
}

// loop makes one stream after the other, at gateways that a seed chooses, until ctx ends.
func (c *streamCaller) loop(ctx context.Context, seed uint64, client int) error {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	for i := 0; ctx.Err() == nil; i++ {
		if err := c.follow(ctx, c.add(fmt.Sprintf("%x-s%d-%d", seed, client, i)), random.IntN(len(c.f.gateways))); err != nil {
			return err
		}
	}
	return nil
}

// follow makes attempts until the stream is complete or resumeTime is over.
func (c *streamCaller) follow(ctx context.Context, s *resumedStream, gateway int) error {
	ctx, cancel := context.WithTimeout(ctx, resumeTime)
	defer cancel()
	for i := 0; ctx.Err() == nil && !s.complete; i++ {
		if err := c.attempt(ctx, s, fmt.Sprintf("%s.%d", s.id, i), gateway+i); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// attempt begins or resumes a stream at a gateway. An interruption is no error.
func (c *streamCaller) attempt(ctx context.Context, s *resumedStream, id string, gateway int) error {
	target := c.f.gateways[gateway%len(c.f.gateways)].caller
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+target+"/stream/"+s.id, strings.NewReader(s.id))
	if err != nil {
		return err
	}
	r.Host = soakHost
	r.Header.Set(standin.Request, id)
	r.Header.Set(standin.Deadline, strconv.FormatInt(resumeTime.Milliseconds(), 10))
	if s.last > 0 {
		s.resumed = true
		r.Header.Set(standin.LastEvent, strconv.Itoa(s.last))
		r.Header.Set(standin.Resumes, s.attempts[0])
	}
	if c.sent != nil {
		c.sent(id, gateway%len(c.f.gateways))
	}
	a, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil || a.StatusCode != http.StatusOK {
		if err == nil {
			_ = a.Body.Close()
		}
		return nil
	}
	defer func() { _ = a.Body.Close() }()
	return s.read(bufio.NewReader(a.Body), id)
}

// read reads the events of an attempt. It returns an error if one is missing or comes twice.
func (s *resumedStream) read(b *bufio.Reader, id string) error {
	first := true
	for {
		event, err := readEvent(b)
		if err != nil {
			s.complete = err == io.EOF && s.last == soakEvents
			return nil
		}
		if event.id != strconv.Itoa(s.last+1) {
			return fmt.Errorf("stream %s: event %s after %d", s.id, event.id, s.last)
		}
		s.last++
		s.versions[event.version] = true
		if first {
			first = false
			s.attempts = append(s.attempts, id)
		}
	}
}

// event is an event of a stand-in's stream.
type event struct{ id, version string }

func readEvent(b *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := b.ReadString('\n')
		if err != nil {
			return e, err
		}
		line = strings.TrimSuffix(line, "\n")
		if line == "" {
			return e, nil
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			e.id = id
		} else {
			_, e.version, _ = strings.Cut(line, " of ")
		}
	}
}

// newVersionFleet starts three gateways with servers of two versions.
func newVersionFleet(t *testing.T, old, fresh int) (f *soakFleet, workers []*backendServer) {
	f = newSoakFleet(t, 3)
	for i := range old + fresh {
		w := &backendServer{zone: "a", version: "v1"}
		if i >= old {
			w.version = "v2"
		}
		f.startServer(w, 0)
		w.server.Gap = streamGap
		workers = append(workers, w)
	}
	for _, w := range f.backends {
		f.store.RemoveServer(w.server.ID)
	}
	return f, workers
}

// awaitVersions waits until streams are begun at servers of all versions, and all gateways
// know the version of any stream.
func (f *soakFleet) awaitVersions() {
	for range 20 {
		served := make(map[string]bool)
		f.load("await", 100*time.Millisecond)
		c := &streamCaller{f: f}
		var g errgroup.Group
		c.start(f.t.Context(), &g, fmt.Sprint("await-", time.Now().UnixNano()), 24)
		assert.NilError(f.t, g.Wait())
		for _, s := range c.streams {
			maps.Copy(served, s.versions)
		}
		if len(served) > 1 && f.plansSettled() {
			return
		}
	}
	f.t.Fatal("no streams at both versions, or their plan is not settled")
}

// plansSettled reports whether no slot of the last plan of versions in the log of each gateway
// is unsettled.
func (f *soakFleet) plansSettled() bool {
	for _, g := range f.gateways {
		log, err := os.ReadFile(filepath.Join(f.dir, g.id+".log"))
		assert.NilError(f.t, err)
		settled := false
		for line := range strings.SplitSeq(string(log), "\n") {
			if strings.Contains(line, "event=8115 ") {
				settled = strings.Contains(line, " unsettled=0 ")
			}
		}
		if !settled {
			return false
		}
	}
	return true
}

// violations returns the streams with events of two versions.
func (c *streamCaller) violations() []string {
	var violations []string
	for _, s := range c.streams {
		if len(s.versions) > 1 {
			violations = append(violations, fmt.Sprintf("stream %s has events of %d versions, by attempts %v", s.id, len(s.versions), s.attempts))
		}
	}
	return violations
}

// checkVersions fails if a stream has events of two versions. It returns the numbers of
// streams that were resumed, and of those that were then completed.
func (c *streamCaller) checkVersions() (resumed, completed int) {
	for _, v := range c.violations() {
		c.f.t.Error(v)
	}
	for _, s := range c.streams {
		if s.resumed {
			resumed++
			if s.complete {
				completed++
			}
		}
	}
	return resumed, completed
}

// Guards, with real processes, against streams that are joined from servers of two software
// versions, and against callers who cannot resume a stream although its version is served.
func TestStreamKeepsVersion(t *testing.T) {
	const streams = 24
	tests := []struct {
		name string
		// disrupt is called while the streams run. goesOn is set if they can be resumed,
		// byRouter if their routers do that.
		disrupt          func(f *soakFleet, workers []*backendServer)
		goesOn, byRouter bool
	}{
		{"routers killed one by one", func(f *soakFleet, _ []*backendServer) {
			for _, g := range f.gateways[:2] {
				f.killGateway(g)
				f.startGateway(g)
				f.awaitListening(g)
				f.awaitReady(g)
			}
		}, true, false},
		{"all routers killed", func(f *soakFleet, _ []*backendServer) {
			f.restartGateways()
		}, true, false},
		{"old version left, then all routers killed", func(f *soakFleet, workers []*backendServer) {
			for _, w := range workers {
				if w.version == "v1" {
					f.store.RemoveServer(w.server.ID)
				}
			}
			time.Sleep(300 * time.Millisecond)
			f.restartGateways()
		}, false, false},
		{"servers break off", func(_ *soakFleet, workers []*backendServer) {
			for _, w := range []*backendServer{workers[0], workers[3]} {
				w.proxy.setMode(resetting)
			}
			time.Sleep(streamGap)
			for _, w := range workers {
				w.proxy.setMode(forwarding)
			}
		}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f, workers := newVersionFleet(t, 3, 3)
			f.awaitVersions()
			c := &streamCaller{f: f}
			var g errgroup.Group
			c.start(t.Context(), &g, "s", streams)
			time.Sleep(3 * streamGap)
			tt.disrupt(f, workers)
			assert.NilError(t, g.Wait())
			resumed, completed := c.checkVersions()
			t.Logf("%d of %d resumed streams were completed", completed, resumed)
			assert.Assert(t, tt.byRouter || resumed > 0, "no stream was interrupted")
			if tt.goesOn {
				assert.Assert(t, 2*completed >= resumed, "%d of %d", completed, resumed)
			}
		})
	}
}

// restartGateways kills all gateways and starts them again.
func (f *soakFleet) restartGateways() {
	for _, g := range f.gateways {
		f.killGateway(g)
	}
	for _, g := range f.gateways {
		f.startGateway(g)
	}
	for _, g := range f.gateways {
		f.awaitListening(g)
		f.awaitReady(g)
	}
}

// Guards against a stream that a router itself resumes at another version, when the server
// that began it breaks off and no other server of its version is left.
func TestBrokenStreamHasNoOtherVersion(t *testing.T) {
	f, workers := newVersionFleet(t, 1, 3)
	f.awaitVersions()
	workers[0].server.SetBehaviour(backend.TruncateStream)
	c := &streamCaller{f: f}
	var g errgroup.Group
	c.start(t.Context(), &g, "s", 24)
	assert.NilError(t, g.Wait())
	resumed, completed := c.checkVersions()
	assert.Assert(t, resumed > 0 && completed == resumed, "%d of %d resumed streams were completed", completed, resumed)
}
