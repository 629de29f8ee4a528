// Package audit compares what callers were told with what the stand-ins of the
// backend servers counted themselves.
package audit

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/dghubble/sling"

	"github.com/galenalatch/galenalatch/internal/standin/process"
)

// Report is what the stand-ins counted.
type Report struct {
	Runs      int
	Completed int
	Overruns  int
	FallOvers int
	Boots     int
	// CachedTokens counts the prompt tokens that engines found in their
	// prefix caches.
	CachedTokens int64
	// DoubledKeys counts idempotency keys that ran more than once, FalseNotRun
	// requests that ran although the caller was told that they did not.
	DoubledKeys int
	FalseNotRun int
	// LateLeaving counts the requests that a server received later than 3 s
	// after it had announced that it leaves.
	LateLeaving int
}

// Audit remembers refusals until the stand-ins are asked.
type Audit struct {
	servers []string
	mu      sync.Mutex
	notRun  map[string]bool
}

// New returns an audit of the stand-ins at the addresses.
func New(servers []string) *Audit {
	return &Audit{servers: servers, notRun: make(map[string]bool)}
}

// NotRun records that a caller was told that a request was not run.
func (a *Audit) NotRun(request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notRun[request] = true
}

// lateLeaving is the time after which a leaving server gets no new work.
const lateLeaving = 3000

// Report reads the counts of all stand-ins.
func (a *Audit) Report(ctx context.Context) (Report, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var r Report
	keys := make(map[string]int)
	for _, s := range a.servers {
		v, err := read(ctx, s)
		if err != nil {
			return r, err
		}
		r.Completed += v.Completed
		r.Overruns += v.Overruns
		r.FallOvers += v.FallOvers
		r.Boots += v.Boots
		r.CachedTokens += v.CachedTokens
		for id, n := range v.Runs {
			r.Runs += n
			if a.notRun[id] {
				r.FalseNotRun++
			}
		}
		for k, n := range v.Keys {
			keys[k] += n
		}
		if v.LastRunWhileLeavingMillis > lateLeaving {
			r.LateLeaving++
		}
	}
	for _, n := range keys {
		if n > 1 {
			r.DoubledKeys++
		}
	}
	return r, nil
}

func read(ctx context.Context, address string) (process.Stats, error) {
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

// Faults names the promises that the counts show broken.
func (r Report) Faults() []string {
	var f []string
	for _, c := range []struct {
		n    int
		text string
	}{
		{r.Overruns, "requests overran a cold server"},
		{r.DoubledKeys, "idempotency keys ran more than once"},
		{r.FalseNotRun, "requests ran although the caller was told notRun"},
		{r.LateLeaving, "leaving servers got new work after 3 s"},
	} {
		if c.n > 0 {
			f = append(f, fmt.Sprintf("%d %s", c.n, c.text))
		}
	}
	return f
}
