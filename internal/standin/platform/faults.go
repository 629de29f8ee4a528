package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// Faults are the faults that the server injects. The zero value injects none.
type Faults struct {
	// Targets are the services to which the faults apply: table, objects,
	// instances. If it is empty, they apply to all services.
	Targets []string `json:"targets,omitempty"`
	// Down refuses all calls with status 503. RefuseReads refuses only reads
	// and RefuseWrites only writes.
	Down         bool `json:"down"`
	RefuseReads  bool `json:"refuseReads"`
	RefuseWrites bool `json:"refuseWrites"`
	// Hang blocks calls until it is cleared, and then closes their
	// connections. The calls have no effect.
	Hang bool `json:"hang"`
	// DelayMillis delays each call, WriteDelayMillis additionally delays
	// writes. A delayed write takes effect even if its client has
	// disconnected.
	DelayMillis      int64 `json:"delayMillis"`
	WriteDelayMillis int64 `json:"writeDelayMillis"`
	// LoseNext is the number of next writes that take effect and whose
	// responses are lost. LoseShare is the probability, from 0 to 1, that
	// this happens to each later write.
	LoseNext  int     `json:"loseNext"`
	LoseShare float64 `json:"loseShare"`
	// FreezeInstances makes reads return the instance list as it was when
	// the fault was injected.
	FreezeInstances bool `json:"freezeInstances"`
}

// Stats holds the counters of a server. They do not include calls to /control
// and changes of the instance list.
type Stats struct {
	// Reads and Writes count calls, including those that were refused.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// WrittenRows counts the writes in successful calls: each write of a
	// batch or transaction, and one for each other call.
	WrittenRows int64 `json:"writtenRows"`
	// BytesRead counts the bytes of response bodies, BytesWritten those of
	// the bodies of writes.
	BytesRead    int64 `json:"bytesRead"`
	BytesWritten int64 `json:"bytesWritten"`
	// Refused counts the calls that Down, RefuseReads or RefuseWrites
	// refused, Lost the responses that were lost.
	Refused int64 `json:"refused"`
	Lost    int64 `json:"lost"`
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeInstances && !s.faults.FreezeInstances {
		s.frozenInstances = s.instanceList()
	}
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the injected faults. LoseNext is what is left of it.
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

// serveControl reads and replaces the faults at /control, and serves the counters
// at /control/stats.
func (s *Server) serveControl(c request) response {
	switch {
	case c.key == "stats" && c.method == http.MethodGet:
		return jsonResponse(s.Stats())
	case c.key != "":
		return statusResponse(http.StatusNotFound)
	case c.method == http.MethodGet:
		return jsonResponse(s.Faults())
	case c.method == http.MethodPut:
		var f Faults
		if err := json.Unmarshal(c.body, &f); err != nil {
			return statusResponse(http.StatusBadRequest)
		}
		s.SetFaults(f)
		return response{status: http.StatusNoContent}
	}
	return statusResponse(http.StatusMethodNotAllowed)
}

// applyTo reports whether the faults apply to a service, which is named by the
// first segment of the path. Batches and transactions belong to the table.
func (f Faults) applyTo(service string) bool {
	if service == "batch" || service == "transaction" {
		service = "table"
	}
	return len(f.Targets) == 0 || slices.Contains(f.Targets, service)
}

// injectBeforeHandler counts a call and injects the faults that occur before its
// effect. It returns the status of a refused call, or 0.
func (s *Server) injectBeforeHandler(r *http.Request, service string, c request) int {
	s.mu.Lock()
	if c.isWrite() {
		s.stats.Writes++
		s.stats.BytesWritten += int64(len(c.body))
	} else {
		s.stats.Reads++
	}
	f, faultsChanged := s.faults, s.faultsChanged
	refused := f.applyTo(service) && (f.Down || f.RefuseWrites && c.isWrite() || f.RefuseReads && !c.isWrite())
	if refused {
		s.stats.Refused++
	}
	s.mu.Unlock()
	if !f.applyTo(service) {
		return 0
	}
	for f.Hang {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-faultsChanged:
			if f = s.Faults(); !f.Hang {
				panic(http.ErrAbortHandler)
			}
			s.mu.Lock()
			faultsChanged = s.faultsChanged
			s.mu.Unlock()
		}
	}
	if refused {
		return http.StatusServiceUnavailable
	}
	delay, clientGone := f.DelayMillis, r.Context().Done()
	if c.isWrite() {
		delay, clientGone = delay+f.WriteDelayMillis, nil
	}
	if delay > 0 {
		select {
		case <-clientGone:
		case <-time.After(time.Duration(delay) * time.Millisecond):
		}
	}
	return 0
}

// injectAfterHandler counts a response, and drops it by closing the connection
// if the faults require it.
func (s *Server) injectAfterHandler(service string, c request, a response) {
	s.mu.Lock()
	s.stats.BytesRead += int64(len(a.body))
	tookEffect := c.isWrite() && a.status < 300
	if tookEffect {
		var batch writeBatch
		if service == "batch" || service == "transaction" {
			// The handler has decoded the same body without an error.
			_ = json.Unmarshal(c.body, &batch)
		}
		s.stats.WrittenRows += int64(max(1, len(batch.Writes)))
	}
	lost := false
	if tookEffect && s.faults.applyTo(service) {
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
