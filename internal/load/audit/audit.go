// Package audit compares the responses that callers received with the counters
// of the stand-ins of the backend servers.
package audit

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/dghubble/sling"

	"github.com/galenalatch/galenalatch/internal/standin/process"
)

// Report holds the sums of the counters of all stand-ins.
type Report struct {
	// Runs counts the requests that began to run, Completed those that ended
	// with a complete response.
	Runs      int
	Completed int
	// ColdOverloads counts the requests that began to run on a cold server beyond
	// its limit, ColdOverloadCrashes the crashes that followed.
	ColdOverloads       int
	ColdOverloadCrashes int
	// Boots counts the starts of the stand-ins.
	Boots int
	// CachedTokens counts the prompt tokens that engines found in their
	// prefix caches.
	CachedTokens int64
	// DuplicateKeyRuns counts idempotency keys that ran more than once,
	// RunDespiteNotRun requests that ran although a response said that they did
	// not.
	DuplicateKeyRuns int
	RunDespiteNotRun int
	// LateServers counts the servers on which a request began to run later than
	// 3 s after the server had announced that it leaves.
	LateServers int
}

// Audit collects the requests that were reported as not run. It is safe for
// concurrent use.
type Audit struct {
	servers []string
	mu      sync.Mutex
	notRun  map[string]bool
}

// New returns an audit of the stand-ins at the addresses, each host and port.
func New(servers []string) *Audit {
	return &Audit{servers: servers, notRun: make(map[string]bool)}
}

// AddNotRun records that a response reported the request as not run.
func (a *Audit) AddNotRun(request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notRun[request] = true
}

// leavingGraceMillis is the time after the announcement of a leaving server from
// which no request may begin to run on it.
const leavingGraceMillis = 3000

// Report reads the counters of all stand-ins. The first stand-in that cannot be
// read is an error.
func (a *Audit) Report(ctx context.Context) (Report, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var r Report
	keys := make(map[string]int)
	for _, s := range a.servers {
		v, err := readStats(ctx, s)
		if err != nil {
			return r, err
		}
		r.Completed += v.Completed
		r.ColdOverloads += v.ColdOverloads
		r.ColdOverloadCrashes += v.ColdOverloadCrashes
		r.Boots += v.Boots
		r.CachedTokens += v.CachedTokens
		for id, n := range v.Runs {
			r.Runs += n
			if a.notRun[id] {
				r.RunDespiteNotRun++
			}
		}
		for k, n := range v.Keys {
			keys[k] += n
		}
		if v.LastRunWhileLeavingMillis > leavingGraceMillis {
			r.LateServers++
		}
	}
	for _, n := range keys {
		if n > 1 {
			r.DuplicateKeyRuns++
		}
	}
	return r, nil
}

func readStats(ctx context.Context, address string) (process.Stats, error) {
	var v process.Stats
	q, err := sling.New().Get("http://" + address + "/control/stats").Request()
	if err != nil {
		return v, err
	}
	resp, err := sling.New().Do(q.WithContext(ctx), &v, nil)
	if err != nil {
		return v, fmt.Errorf("stats of %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("stats of %s: status %d", address, resp.StatusCode)
	}
	return v, nil
}

// Violations returns a message for each guarantee that the counters show
// violated.
func (r Report) Violations() []string {
	var f []string
	for _, c := range []struct {
		n    int
		text string
	}{
		{r.ColdOverloads, "requests overran a cold server"},
		{r.DuplicateKeyRuns, "idempotency keys ran more than once"},
		{r.RunDespiteNotRun, "requests ran although the caller was told notRun"},
		{r.LateServers, "leaving servers got new work after 3 s"},
	} {
		if c.n > 0 {
			f = append(f, fmt.Sprintf("%d %s", c.n, c.text))
		}
	}
	return f
}
