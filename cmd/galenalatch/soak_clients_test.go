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

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/platform/standin"
)

// sentRequest records a request of a client and its response status.
type sentRequest struct {
	path string
	key  string
	at   time.Time
	// status is 0 if there was no response.
	status int
	// gateway is the index of the gateway. server is the one that responded, answered
	// when the head of its response came.
	gateway  int
	server   galenalatch.ServerID
	answered time.Time
}

// soakClients sends requests continuously and checks the responses.
type soakClients struct {
	fleet *soakFleet
	seed  uint64
	group errgroup.Group
	// requireServed is set in the recovery phase, when requests should be served.
	requireServed                                           atomic.Bool
	total, served, refused, other, recovery, recoveryServed atomic.Int64

	mu         sync.Mutex
	requests   map[string]sentRequest
	violations []string
	unserved   []string
}

func newSoakClients(f *soakFleet, seed uint64) *soakClients {
	return &soakClients{fleet: f, seed: seed, requests: make(map[string]sentRequest)}
}

// paths are the path prefixes of requests. A request to /log/ must not run more
// than once.
var paths = []string{"/log/", "/status/", "/stream/", "/keyed/"}

// loop sends the requests of one client. The client keeps its gateway, and its
// connection to it, while requests are served; after a failed one it switches to
// a random gateway with a probability of 1/3.
func (c *soakClients) loop(ctx context.Context, client int) error {
	random := rand.New(rand.NewPCG(c.seed, uint64(client)+1))
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	gateway := client
	for i := 0; ctx.Err() == nil; i++ {
		path := paths[random.IntN(len(paths))]
		id := fmt.Sprintf("%x-%d-%d", c.seed, client, i)
		required := c.requireServed.Load()
		key, valid := c.fleet.pickKey(random)
		if required && path == "/keyed/" && !valid {
			continue
		}
		ok := c.send(ctx, transport, gateway, path, id, key)
		if required && ctx.Err() == nil {
			c.recovery.Add(1)
			if ok {
				c.recoveryServed.Add(1)
			} else {
				c.recordUnserved(id)
			}
		}
		if !ok && random.IntN(3) == 0 {
			gateway = random.IntN(len(c.fleet.gateways))
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
	return nil
}

// send makes one request and reports whether it was served.
func (c *soakClients) send(ctx context.Context, transport *http.Transport, gateway int, path, id, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.fleet.gateways[gateway%len(c.fleet.gateways)].caller+path+id, strings.NewReader(id))
	if err != nil {
		c.recordViolation("request %s: %v", id, err)
		return false
	}
	// Without GetBody the transport does not retry the request.
	r.GetBody = nil
	r.Host = soakHost
	r.Header.Set(standin.Request, id)
	r.Header.Set(standin.Deadline, "3000")
	r.Header.Set(standin.Key, standin.KeyScheme+key)
	s := sentRequest{path: path, key: key, at: time.Now(), gateway: gateway % len(c.fleet.gateways)}
	c.record(id, s)
	c.total.Add(1)
	a, err := transport.RoundTrip(r)
	if err != nil {
		c.other.Add(1)
		return false
	}
	s.answered, s.server = time.Now(), galenalatch.ServerID(strings.TrimPrefix(a.Header.Get(standin.HeaderNames.Seal), "seal-of-"))
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

// check checks a complete response.
func (c *soakClients) check(path, id, body string, h http.Header) {
	want := ""
	if path == "/stream/" {
		_, version, _ := strings.Cut(strings.SplitN(body, "\n", 3)[min(1, strings.Count(body, "\n"))], "piece 1")
		for i := 1; i <= soakEvents; i++ {
			want += fmt.Sprintf("id: %d\ndata: piece %d%s\n\n", i, i, version)
		}
	}
	switch {
	case h.Get(standin.Request) != id:
		c.recordViolation("request %s received the response to %q", id, h.Get(standin.Request))
	case path == "/stream/" && body != want:
		c.recordViolation("stream %s is incomplete or wrong: %q", id, body)
	case path != "/stream/" && (!strings.HasPrefix(body, "served by ") || !strings.HasSuffix(body, " for "+id+"\n")):
		c.recordViolation("request %s received the body %q", id, body)
	}
}

func (c *soakClients) record(id string, s sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = s
}

// recordUnserved records a request that was not served in the recovery phase.
func (c *soakClients) recordUnserved(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unserved = append(c.unserved, fmt.Sprintf("%s%s: %d", c.requests[id].path, id, c.requests[id].status))
}

// recordViolation records a response that violates a guarantee.
func (c *soakClients) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkRequests returns the violations that the clients recorded and those found
// by comparing their requests with the requests that the servers ran. It also
// requires at least 20 requests in the recovery phase, 95 % of them served.
func (c *soakClients) checkRequests() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := c.violations
	runs := make(map[string]int)
	for _, s := range c.fleet.startedServers() {
		for _, r := range s.Log() {
			runs[r.ID]++
			q, ok := c.requests[r.ID]
			if !ok {
				violations = append(violations, fmt.Sprintf("server %s ran %q, which no client sent", s.ID, r.ID))
				continue
			}
			if removed, ok := c.fleet.removedAt(q.key); ok && q.path == "/keyed/" && q.at.After(removed.Add(soakKeyRemoval)) {
				violations = append(violations, fmt.Sprintf("request %s ran although its key was removed %s before it was sent", r.ID, q.at.Sub(removed)))
			}
		}
	}
	for id, q := range c.requests {
		if q.path == "/log/" && runs[id] > 1 {
			violations = append(violations, fmt.Sprintf("request %s must run at most once but ran %d times", id, runs[id]))
		}
		refused := q.status == http.StatusTooManyRequests || q.status == http.StatusServiceUnavailable
		if refused && runs[id] > 0 && q.path == "/log/" {
			violations = append(violations, fmt.Sprintf("request %s was refused with status %d but ran", id, q.status))
		}
	}
	if total := c.recovery.Load(); total < 20 || c.recoveryServed.Load() < total*95/100 {
		violations = append(violations, fmt.Sprintf("%d of %d requests were served after all faults ended; not served: %s", c.recoveryServed.Load(), total, strings.Join(c.unserved[:min(len(c.unserved), 8)], ", ")))
	}
	return violations
}
