package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// Faults are the failures that are switched on. The zero value has none.
type Faults struct {
	// Targets are the services that fail: table, objects, instances. All of
	// them fail when it is empty.
	Targets []string `json:"targets,omitempty"`
	// Down refuses all calls with 503. RefuseReads and RefuseWrites refuse
	// only some.
	Down         bool `json:"down"`
	RefuseReads  bool `json:"refuseReads"`
	RefuseWrites bool `json:"refuseWrites"`
	// Hang holds calls without effect until it is switched off, and then
	// closes their connections.
	Hang bool `json:"hang"`
	// DelayMillis delays each call, WriteDelayMillis only writes. A delayed
	// write takes effect even when its client has gone.
	DelayMillis      int64 `json:"delayMillis"`
	WriteDelayMillis int64 `json:"writeDelayMillis"`
	// LoseNext is the number of writes whose responses are lost after the
	// write took effect. LoseShare is the share of further such writes.
	LoseNext  int     `json:"loseNext"`
	LoseShare float64 `json:"loseShare"`
	// FreezeInstances keeps the instance list as it is now.
	FreezeInstances bool `json:"freezeInstances"`
}

// Stats counts what the platform was asked. Refused calls count too.
type Stats struct {
	// Reads and Writes count calls, WrittenRows the writes in batches and
	// transactions.
	Reads        int64 `json:"reads"`
	Writes       int64 `json:"writes"`
	WrittenRows  int64 `json:"writtenRows"`
	BytesRead    int64 `json:"bytesRead"`
	BytesWritten int64 `json:"bytesWritten"`
	Refused      int64 `json:"refused"`
	Lost         int64 `json:"lost"`
}

// SetFaults replaces the failures.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeInstances && !s.faults.FreezeInstances {
		s.frozen = s.instanceList()
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Faults returns the failures that are switched on.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// serveControl serves the failures at /control and the counters at
// /control/stats.
func (s *Server) serveControl(c call) answer {
	switch {
	case c.key == "stats" && c.method == http.MethodGet:
		return document(s.Stats())
	case c.key != "":
		return status(http.StatusNotFound)
	case c.method == http.MethodGet:
		return document(s.Faults())
	case c.method == http.MethodPut:
		var f Faults
		if err := json.Unmarshal(c.body, &f); err != nil {
			return status(http.StatusBadRequest)
		}
		s.SetFaults(f)
		return answer{status: http.StatusNoContent}
	}
	return status(http.StatusMethodNotAllowed)
}

// affects reports whether the faults concern an area of the URL space.
func (f Faults) affects(area string) bool {
	if area == "batch" || area == "transaction" {
		area = "table"
	}
	return len(f.Targets) == 0 || slices.Contains(f.Targets, area)
}

// before counts a call and makes the failures happen that come before its
// effect. It returns the status of a refused call, or 0.
func (s *Server) before(r *http.Request, area string, c call) int {
	s.mu.Lock()
	if c.write() {
		s.stats.Writes++
		s.stats.BytesWritten += int64(len(c.body))
	} else {
		s.stats.Reads++
	}
	f, changed := s.faults, s.changed
	refused := f.affects(area) && (f.Down || f.RefuseWrites && c.write() || f.RefuseReads && !c.write())
	if refused {
		s.stats.Refused++
	}
	s.mu.Unlock()
	if !f.affects(area) {
		return 0
	}
	for f.Hang {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-changed:
			if f = s.Faults(); !f.Hang {
				panic(http.ErrAbortHandler)
			}
			s.mu.Lock()
			changed = s.changed
			s.mu.Unlock()
		}
	}
	if refused {
		return http.StatusServiceUnavailable
	}
	delay, gone := f.DelayMillis, r.Context().Done()
	if c.write() {
		delay, gone = delay+f.WriteDelayMillis, nil
	}
	if delay > 0 {
		select {
		case <-gone:
		case <-time.After(time.Duration(delay) * time.Millisecond):
		}
	}
	return 0
}

// after counts an answer and loses it if that failure is on.
func (s *Server) after(area string, c call, a answer) {
	s.mu.Lock()
	s.stats.BytesRead += int64(len(a.body))
	effect := c.write() && a.status < 300
	if effect {
		var ws writes
		if area == "batch" || area == "transaction" {
			// The handler has decoded the same body without an error.
			_ = json.Unmarshal(c.body, &ws)
		}
		s.stats.WrittenRows += int64(max(1, len(ws.Writes)))
	}
	lost := false
	if effect && s.faults.affects(area) {
		if lost = s.faults.LoseNext > 0; lost {
			s.faults.LoseNext--
		} else {
			lost = s.random.Float64() < s.faults.LoseShare
		}
	}
	if lost {
		s.stats.Lost++
	}
	s.mu.Unlock()
	if lost {
		// net/http closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
}
