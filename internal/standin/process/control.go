package process

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Failures are injected into the process. The zero value injects none.
type Failures struct {
	// BreakAfter and BreakBytes cut the next BreakTimes answers after so
	// many tokens or body bytes.
	BreakAfter int `json:"breakAfter"`
	BreakBytes int `json:"breakBytes"`
	BreakTimes int `json:"breakTimes"`
	// CloseAfterRun closes the next connections after the run, without an
	// answer.
	CloseAfterRun int `json:"closeAfterRun"`
	// CloseBeforeRead closes the next connections before the body is read.
	CloseBeforeRead int `json:"closeBeforeRead"`
	// ResumeOverlap is the number of events that a resumed stream repeats.
	ResumeOverlap int `json:"resumeOverlap"`
	// Slow multiplies all working times when it is not 0.
	Slow float64 `json:"slow"`
	// Hang stops all work until it is cleared.
	Hang bool `json:"hang"`
	// HangReports stops the answers of the metrics page until cleared.
	HangReports bool `json:"hangReports"`
	// LagMillis is the age of the load on the metrics page.
	LagMillis int64 `json:"lagMillis"`
	// Leaving announces on the metrics page that the process will stop.
	Leaving bool `json:"leaving"`
}

// Stats are the process's own counts since it was created, over all restarts.
type Stats struct {
	Boot       galenalatch.BootID `json:"boot"`
	Boots      int                `json:"boots"`
	Running    int                `json:"running"`
	Waiting    int                `json:"waiting"`
	Cold       bool               `json:"cold"`
	MaxRunning int                `json:"maxRunning"`
	// MaxRunningCold is the largest number running while cold.
	MaxRunningCold int `json:"maxRunningCold"`
	Completed      int `json:"completed"`
	Overruns       int `json:"overruns"`
	FallOvers      int `json:"fallOvers"`
	Cancels        int `json:"cancels"`
	Resumes        int `json:"resumes"`
	// Fenced counts the requests refused for an older epoch.
	Fenced int `json:"fenced"`
	// CachedTokens counts the prompt tokens found in the prefix cache.
	CachedTokens int64 `json:"cachedTokens"`
	// RunsWhileLeaving counts the runs begun after leaving was announced,
	// the last of them LastRunWhileLeavingMillis after it.
	RunsWhileLeaving          int   `json:"runsWhileLeaving"`
	LastRunWhileLeavingMillis int64 `json:"lastRunWhileLeavingMillis"`
	// Received and Runs count by X-Request-Id the requests whose header was
	// read and those that began to run, Keys the runs by Idempotency-Key.
	Received map[string]int `json:"received"`
	Runs     map[string]int `json:"runs"`
	Keys     map[string]int `json:"keys"`
	// RunBoots holds the boot identities under which a request ran.
	RunBoots map[string][]galenalatch.BootID `json:"runBoots"`
}

type counters struct{ Stats }

func newCounters() counters {
	return counters{Stats{
		Received: make(map[string]int),
		Runs:     make(map[string]int),
		Keys:     make(map[string]int),
		RunBoots: make(map[string][]galenalatch.BootID),
	}}
}

// Stats returns a copy of the counts.
func (p *Process) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats.Stats
	s.Boot = p.current.boot()
	s.Boots = p.boots
	s.Running = p.current.running
	s.Waiting = p.current.waiting
	s.Cold = p.coldLocked()
	s.Received = maps.Clone(s.Received)
	s.Runs = maps.Clone(s.Runs)
	s.Keys = maps.Clone(s.Keys)
	s.RunBoots = make(map[string][]galenalatch.BootID, len(p.stats.RunBoots))
	for k, v := range p.stats.RunBoots {
		s.RunBoots[k] = slices.Clone(v)
	}
	return s
}

// Failures returns the failures that are injected now.
func (p *Process) Failures() Failures {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures
}

// SetFailures replaces the injected failures.
func (p *Process) SetFailures(f Failures) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Leaving && !p.failures.Leaving {
		p.leavesAt = time.Now()
	}
	p.failures = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// AddCached counts prompt tokens found in the prefix cache.
func (p *Process) AddCached(tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.CachedTokens += tokens
}

// controlHandler serves POST /control/cold, GET and POST /control/failures
// and GET /control/stats. POST /control/failures changes the fields that it
// names and leaves the others.
func (p *Process) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/cold", func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connectionKey{}).(connection)
		w.Header().Set("Connection", "close")
		p.turnCold(c.conn)
		writeJSON(w, map[string]galenalatch.BootID{"boot": p.Boot()})
	})
	mux.HandleFunc("GET /control/failures", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Failures())
	})
	mux.HandleFunc("POST /control/failures", func(w http.ResponseWriter, r *http.Request) {
		f := p.Failures()
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFailures(f)
		writeJSON(w, f)
	})
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Stats())
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
