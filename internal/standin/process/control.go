package process

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Failures are the failures that are injected into the process. The zero value
// injects none.
type Failures struct {
	// BreakAfter and BreakBytes truncate the next BreakTimes responses after
	// that many tokens or body bytes.
	BreakAfter int `json:"breakAfter"`
	BreakBytes int `json:"breakBytes"`
	BreakTimes int `json:"breakTimes"`
	// CloseAfterRun is the number of requests that run to the end and whose
	// connections are then closed without a response.
	CloseAfterRun int `json:"closeAfterRun"`
	// CloseBeforeRead is the number of requests whose connections are closed
	// before the body is read.
	CloseBeforeRead int `json:"closeBeforeRead"`
	// ResumeOverlap is the number of events that a resumed stream repeats.
	ResumeOverlap int `json:"resumeOverlap"`
	// Slow multiplies all working times when it is greater than 0.
	Slow float64 `json:"slow"`
	// Hang blocks requests before their next working time until it is
	// cleared. A working time that has begun runs to its end.
	Hang bool `json:"hang"`
	// HangReports blocks requests for the metrics page until it is cleared.
	HangReports bool `json:"hangReports"`
	// LagMillis is the age of the load on the metrics page, in milliseconds.
	LagMillis int64 `json:"lagMillis"`
	// Leaving announces on the metrics page that the process will stop.
	Leaving bool `json:"leaving"`
}

// Stats holds the current load of the process and its counters, which include
// all restarts.
type Stats struct {
	Boot galenalatch.BootID `json:"boot"`
	// Boots counts the starts, including the first.
	Boots      int  `json:"boots"`
	Running    int  `json:"running"`
	Waiting    int  `json:"waiting"`
	Cold       bool `json:"cold"`
	MaxRunning int  `json:"maxRunning"`
	// MaxRunningCold is the maximum of Running while the server was cold.
	MaxRunningCold int `json:"maxRunningCold"`
	Completed      int `json:"completed"`
	// ColdOverloads counts the requests above the limit of a cold server,
	// ColdOverloadCrashes the restarts that they caused.
	ColdOverloads       int `json:"overruns"`
	ColdOverloadCrashes int `json:"fallOvers"`
	// Cancels counts the runs that were cancelled because the client
	// disconnected or resumed the stream.
	Cancels int `json:"cancels"`
	// Resumes counts the requests that resumed a stream.
	Resumes int `json:"resumes"`
	// Fenced counts the requests refused for an older or missing epoch.
	Fenced int `json:"fenced"`
	// CachedTokens counts the prompt tokens found in the prefix cache.
	CachedTokens int64 `json:"cachedTokens"`
	// RunsWhileLeaving counts the runs that began after Failures.Leaving was
	// set. LastRunWhileLeavingMillis is the time from then to the last one.
	RunsWhileLeaving          int   `json:"runsWhileLeaving"`
	LastRunWhileLeavingMillis int64 `json:"lastRunWhileLeavingMillis"`
	// Received counts the requests whose header was read and Runs those that
	// began to run, both by X-Request-Id. Keys counts runs by
	// Idempotency-Key.
	Received map[string]int `json:"received"`
	Runs     map[string]int `json:"runs"`
	Keys     map[string]int `json:"keys"`
	// RunBoots holds the boot identity of each run, by X-Request-Id.
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

// Stats returns a copy of the statistics.
func (p *Process) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats.Stats
	s.Boot = p.current.boot()
	s.Boots = p.boots
	s.Running = p.current.running
	s.Waiting = p.current.waiting
	s.Cold = p.isColdLocked()
	s.Received = maps.Clone(s.Received)
	s.Runs = maps.Clone(s.Runs)
	s.Keys = maps.Clone(s.Keys)
	s.RunBoots = make(map[string][]galenalatch.BootID, len(p.stats.RunBoots))
	for k, v := range p.stats.RunBoots {
		s.RunBoots[k] = slices.Clone(v)
	}
	return s
}

// Failures returns the injected failures.
func (p *Process) Failures() Failures {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures
}

// SetFailures replaces the injected failures. Requests that hang continue when
// Hang or HangReports is cleared.
func (p *Process) SetFailures(f Failures) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Leaving && !p.failures.Leaving {
		p.leavingSince = time.Now()
	}
	p.failures = f
	close(p.failuresChanged)
	p.failuresChanged = make(chan struct{})
}

// AddCachedTokens adds to Stats.CachedTokens.
func (p *Process) AddCachedTokens(tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.CachedTokens += tokens
}

// controlHandler serves POST /control/cold, GET and POST /control/failures
// and GET /control/stats. POST /control/failures changes only the fields that
// are in the body.
func (p *Process) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/cold", func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connectionContextKey{}).(connection)
		w.Header().Set("Connection", "close")
		p.restartKeeping(c.conn)
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
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
