// Package service is a stand-in for a plain HTTP service that stores records, for
// tests and the demo.
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

// Settings are the settings of a service. The zero value responds without delay
// and has no limits.
type Settings struct {
	process.Settings
	// ReadTime is the working time of GET and HEAD requests, WriteTime that
	// of all others.
	ReadTime  time.Duration
	WriteTime time.Duration
	// Slots is the number of requests that are processed at the same time.
	// 0 means no limit.
	Slots int
}

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 8 << 20

// Server is a plain service. Its methods are safe for concurrent use.
type Server struct {
	*process.Process
	settings Settings
	slots    chan struct{}
	handler  http.Handler

	mu      sync.Mutex
	records map[string]int
}

// Record is the JSON body of a response.
type Record struct {
	// Path and Method are those of the request.
	Path   string `json:"path"`
	Method string `json:"method"`
	// Request is the X-Request-Id of the request.
	Request string `json:"request"`
	// Body is the body of the request.
	Body string `json:"body,omitempty"`
	// Count is the number of records created at the path so far.
	Count int `json:"count"`
}

// New returns a service that has just started, and is cold if ColdLimit is set.
func New(s Settings) *Server {
	e := &Server{
		Process:  process.New(s.Settings, process.Gauges{Running: "http_requests_in_flight"}),
		settings: s,
		records:  make(map[string]int),
	}
	if s.Slots > 0 {
		e.slots = make(chan struct{}, s.Slots)
	}
	e.handler = e.Wrap(http.HandlerFunc(e.serveRequest))
	return e
}

// ServeHTTP implements http.Handler. A restart breaks connections only if they
// were accepted by Serve.
func (e *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Serve accepts connections on l until ctx ends. Then it returns nil.
func (e *Server) Serve(ctx context.Context, l net.Listener) error {
	return e.Process.Serve(ctx, l, e.handler)
}

// serveRequest serves all paths. GET and HEAD return the record count of the path,
// other methods create a record first.
func (e *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !e.Accept(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	isRead := r.Method == http.MethodGet || r.Method == http.MethodHead
	workTime := e.settings.WriteTime
	if isRead {
		workTime = e.settings.ReadTime
	}
	if e.SimulateWork(n.Context(), workTime) != nil {
		n.End()
		process.Abort(w)
		return
	}
	e.mu.Lock()
	if !isRead {
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
	if n.CloseWithoutResponse {
		process.Abort(w)
		return
	}
	e.writeResponse(w, r, n, b)
}

// writeResponse sends the body in one write with Content-Length, or in chunks of
// 16 bytes if the query contains chunked=1. It truncates the body after
// n.BreakBytes bytes.
func (e *Server) writeResponse(w http.ResponseWriter, r *http.Request, n *process.Run, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	status := http.StatusCreated
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		status = http.StatusOK
	}
	chunkBytes := len(b)
	if strings.Contains(r.URL.RawQuery, "chunked=1") {
		chunkBytes = 16
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	}
	w.WriteHeader(status)
	flush := http.NewResponseController(w)
	sent := 0
	for sent < len(b) {
		end := min(len(b), sent+chunkBytes)
		truncate := n.BreakBytes > 0 && n.BreakBytes <= end
		if truncate {
			end = n.BreakBytes
		}
		if _, err := w.Write(b[sent:end]); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
		if truncate {
			process.Abort(w)
			return
		}
		sent = end
	}
}
