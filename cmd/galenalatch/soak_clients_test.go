//go:build linux

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenalatch/galenalatch/platform/standin"
)

// sent is what a client knows about one of its requests.
type sent struct {
	path string
	key  string
	at   time.Time
	// status is 0 when there was no answer.
	status int
}

// soakClients send requests all the time and check what they get.
type soakClients struct {
	fleet *soakFleet
	seed  uint64
	group errgroup.Group
	// judge is set while all requests should be served.
	judge                                           atomic.Bool
	total, served, refused, other, calm, calmServed atomic.Int64

	mu       sync.Mutex
	requests map[string]sent
	broken   []string
	missed   []string
}

func newSoakClients(f *soakFleet, seed uint64) *soakClients {
	return &soakClients{fleet: f, seed: seed, requests: make(map[string]sent)}
}

// paths are the kinds of requests. Those of /log/ may not be repeated.
var paths = []string{"/log/", "/status/", "/stream/", "/keyed/"}

// loop sends the requests of one client. It keeps using its connection to a
// gateway until the process is gone.
func (c *soakClients) loop(ctx context.Context, client int) error {
	random := rand.New(rand.NewPCG(c.seed, uint64(client)+1))
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	gateway := client
	for i := 0; ctx.Err() == nil; i++ {
		path := paths[random.IntN(len(paths))]
		id := fmt.Sprintf("%x-%d-%d", c.seed, client, i)
		judged := c.judge.Load()
		key, alive := c.fleet.key(random)
		if judged && path == "/keyed/" && !alive {
			continue
		}
		ok := c.send(ctx, transport, gateway, path, id, key)
		if judged && ctx.Err() == nil {
			c.calm.Add(1)
			if ok {
				c.calmServed.Add(1)
			} else {
				c.miss(id)
			}
		}
		if !ok && random.IntN(3) == 0 {
			gateway = random.IntN(len(c.fleet.gateways))
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
	return nil
}

// send makes one request. It reports whether it was served.
func (c *soakClients) send(ctx context.Context, transport *http.Transport, gateway int, path, id, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.fleet.gateways[gateway%len(c.fleet.gateways)].caller+path+id, strings.NewReader(id))
	if err != nil {
		c.fail("request %s: %v", id, err)
		return false
	}
	// The client's own library must not repeat the request.
	r.GetBody = nil
	r.Host = soakHost
	r.Header.Set(standin.Request, id)
	r.Header.Set(standin.Deadline, "3000")
	r.Header.Set(standin.Key, standin.KeyScheme+key)
	s := sent{path: path, key: key, at: time.Now()}
	c.record(id, s)
	c.total.Add(1)
	a, err := transport.RoundTrip(r)
	if err != nil {
		c.other.Add(1)
		return false
	}
	body, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	s.status = a.StatusCode
	c.record(id, s)
	switch {
	case s.status == http.StatusTooManyRequests || s.status == http.StatusServiceUnavailable:
		c.refused.Add(1)
	case s.status == http.StatusOK && err == nil:
		c.served.Add(1)
		c.check(path, id, string(body), a.Header)
		return true
	default:
		c.other.Add(1)
	}
	return false
}

// check checks a whole answer.
func (c *soakClients) check(path, id, body string, h http.Header) {
	want := ""
	if path == "/stream/" {
		for i := 1; i <= soakEvents; i++ {
			want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		}
	}
	switch {
	case h.Get(standin.Request) != id:
		c.fail("request %s got the answer to %q", id, h.Get(standin.Request))
	case path == "/stream/" && body != want:
		c.fail("stream %s is not whole: %q", id, body)
	case path != "/stream/" && (!strings.HasPrefix(body, "served by ") || !strings.HasSuffix(body, " for "+id+"\n")):
		c.fail("request %s got %q", id, body)
	}
}

func (c *soakClients) record(id string, s sent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = s
}

// miss remembers a request that was not served without faults.
func (c *soakClients) miss(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.missed = append(c.missed, fmt.Sprintf("%s%s: %d", c.requests[id].path, id, c.requests[id].status))
}

func (c *soakClients) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// faults compares what the clients got with what the servers ran.
func (c *soakClients) faults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	faults := c.broken
	runs := make(map[string]int)
	for _, s := range c.fleet.workers() {
		for _, r := range s.Log() {
			runs[r.ID]++
			q, ok := c.requests[r.ID]
			if !ok {
				faults = append(faults, fmt.Sprintf("server %s ran %q, which no client sent", s.ID, r.ID))
				continue
			}
			if removed, ok := c.fleet.removed(q.key); ok && q.path == "/keyed/" && q.at.After(removed.Add(soakKeyRemoval)) {
				faults = append(faults, fmt.Sprintf("request %s ran although its key was removed %s before it was sent", r.ID, q.at.Sub(removed)))
			}
		}
	}
	for id, q := range c.requests {
		if q.path == "/log/" && runs[id] > 1 {
			faults = append(faults, fmt.Sprintf("request %s may not be repeated and ran %d times", id, runs[id]))
		}
		refused := q.status == http.StatusTooManyRequests || q.status == http.StatusServiceUnavailable
		if refused && runs[id] > 0 && q.path == "/log/" {
			faults = append(faults, fmt.Sprintf("request %s was refused with %d and ran", id, q.status))
		}
	}
	if calm := c.calm.Load(); calm < 20 || c.calmServed.Load() < calm*95/100 {
		faults = append(faults, fmt.Sprintf("%d of %d requests were served without faults: %s", c.calmServed.Load(), calm, strings.Join(c.missed[:min(len(c.missed), 8)], ", ")))
	}
	return faults
}
