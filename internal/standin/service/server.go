// Package service is a small plain service for tests and the demo, such as a
// register of pickups or bookings.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch/internal/standin/process"
)

// Settings describe the service.
type Settings struct {
	process.Settings
	// ReadTime and WriteTime are the working times of GET and POST.
	ReadTime  time.Duration
	WriteTime time.Duration
	// Slots is the number of requests that work at once, 0 for any.
	Slots int
}

// maxBody bounds the body of a request.
const maxBody = 8 << 20

// Server is the service.
type Server struct {
	*process.Process
	settings Settings
	slots    chan struct{}
	handler  http.Handler

	mu      sync.Mutex
	records map[string]int
}

// Record is the service's answer.
type Record struct {
	// Path and Method are those of the request.
	Path   string `json:"path"`
	Method string `json:"method"`
	// Request is the identity of the request that is answered.
	Request string `json:"request"`
	// Body is the request's body.
	Body string `json:"body,omitempty"`
	// Count is the number of records made at the path.
	Count int `json:"count"`
}

// New returns a service that has just started.
func New(s Settings) *Server {
	e := &Server{
		Process:  process.New(s.Settings, process.Gauges{Running: "http_requests_in_flight"}),
		settings: s,
		records:  make(map[string]int),
	}
	if s.Slots > 0 {
		e.slots = make(chan struct{}, s.Slots)
	}
	e.handler = e.Wrap(http.HandlerFunc(e.call))
	return e
}

// ServeHTTP implements http.Handler. Connections break with a restart only
// under Serve.
func (e *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Serve accepts connections on l until ctx ends.
func (e *Server) Serve(ctx context.Context, l net.Listener) error {
	return e.Process.Serve(ctx, l, e.handler)
}

// call answers any path: GET returns a record, other methods make one.
func (e *Server) call(w http.ResponseWriter, r *http.Request) {
	if !e.Accept(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n, ok := e.Begin(w, r, false)
	if !ok {
		return
	}
	defer n.End()
	if e.slots != nil {
		select {
		case e.slots <- struct{}{}:
			defer func() { <-e.slots }()
		case <-n.Context().Done():
			n.End()
			process.Abort(w)
			return
		}
	}
	reads := r.Method == http.MethodGet || r.Method == http.MethodHead
	work := e.settings.WriteTime
	if reads {
		work = e.settings.ReadTime
	}
	if e.Wait(n.Context(), work) != nil {
		n.End()
		process.Abort(w)
		return
	}
	e.mu.Lock()
	if !reads {
		e.records[r.URL.Path]++
	}
	count := e.records[r.URL.Path]
	e.mu.Unlock()
	b, err := json.Marshal(Record{r.URL.Path, r.Method, r.Header.Get("X-Request-Id"), string(body), count})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	n.Complete()
	if n.CloseAfter {
		process.Abort(w)
		return
	}
	e.answer(w, r, n, b)
}

// answer writes the body in one piece with its length, or in chunks of 16
// bytes when the query has chunked=1.
func (e *Server) answer(w http.ResponseWriter, r *http.Request, n *process.Run, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	status := http.StatusCreated
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		status = http.StatusOK
	}
	size := len(b)
	if strings.Contains(r.URL.RawQuery, "chunked=1") {
		size = 16
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	}
	w.WriteHeader(status)
	flush := http.NewResponseController(w)
	sent := 0
	for sent < len(b) {
		next := min(len(b), sent+size)
		cut := n.BreakBytes > 0 && n.BreakBytes <= next
		if cut {
			next = n.BreakBytes
		}
		if _, err := w.Write(b[sent:next]); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
		if cut {
			process.Abort(w)
			return
		}
		sent = next
	}
}
