// Package engine is a stand-in for a model engine, for tests and the demo. It
// implements the OpenAI chat completions API with deterministic responses and
// resumable streams.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch/internal/standin/process"
)

// Settings are the settings of an engine. The zero value has the model "stub" and
// one slot, generates without delay, and has no prefix cache and no cold start.
type Settings struct {
	process.Settings
	Models []string
	// Slots is the number of requests that generate at the same time.
	// Further requests wait for a slot.
	Slots int
	// FirstToken is the time to the first token, TokenTime the time between
	// two tokens. PromptTokenTime is added to the time to the first token
	// for each prompt token that is not cached.
	FirstToken      time.Duration
	TokenTime       time.Duration
	PromptTokenTime time.Duration
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// ResumeWindow is the time for which a stream can be resumed after its
	// run has ended.
	ResumeWindow time.Duration
}

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 8 << 20

// Server is a model engine. Its methods are safe for concurrent use.
type Server struct {
	*process.Process
	settings Settings
	slots    chan struct{}
	cache    *prefixCache
	handler  http.Handler

	mu      sync.Mutex
	streams map[string]*stream
}

// New returns an engine that has just started, and is cold if ColdLimit is set.
func New(s Settings) *Server {
	s.Slots = max(1, s.Slots)
	if len(s.Models) == 0 {
		s.Models = []string{"stub"}
	}
	e := &Server{
		Process: process.New(s.Settings, process.Gauges{
			Running: "vllm:num_requests_running",
			Waiting: "vllm:num_requests_waiting",
		}),
		settings: s,
		slots:    make(chan struct{}, s.Slots),
		cache:    newPrefixCache(s.CacheTokens),
		streams:  make(map[string]*stream),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletions)
	e.handler = e.Wrap(mux)
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

func (e *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := make([]model, 0, len(e.settings.Models))
	for _, m := range e.settings.Models {
		list = append(list, model{m, "model", 0, "standin"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

// serveCompletions serves a chat completions request. A request with
// Last-Event-ID resumes a stream with the same request ID and body.
func (e *Server) serveCompletions(w http.ResponseWriter, r *http.Request) {
	if !e.Accept(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	q, err := parseRequest(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	a := response{request: q, id: "chatcmpl-" + r.Header.Get("X-Request-Id")}
	lastEvent := 0
	resumed := r.Header.Get("Last-Event-ID") != ""
	if resumed {
		lastEvent, err = strconv.Atoi(r.Header.Get("Last-Event-ID"))
		if err != nil || lastEvent < 0 || !q.Stream || !e.resumeStream(r.Context(), r.Header.Get("X-Request-Id"), body) {
			writeError(w, http.StatusNotFound, "no such stream to resume")
			return
		}
		lastEvent = max(0, lastEvent-e.Failures().ResumeOverlap)
	}
	n, ok := e.Begin(w, r, resumed)
	if !ok {
		return
	}
	defer n.End()
	if q.Stream {
		s := e.registerStream(r.Header.Get("X-Request-Id"), n, body)
		defer e.finishStream(s)
	}
	if !e.acquireSlot(n) {
		n.End()
		process.Abort(w)
		return
	}
	defer func() { <-e.slots }()
	e.generate(w, n, a, lastEvent)
}

// acquireSlot waits for a slot. It reports false if the run is cancelled first.
func (e *Server) acquireSlot(n *process.Run) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	n.AddWaiting(1)
	defer n.AddWaiting(-1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-n.Context().Done():
		return false
	}
}

// generate produces the response to a request that has a slot. A resumed stream
// needs no time for the prompt.
func (e *Server) generate(w http.ResponseWriter, n *process.Run, a response, lastEvent int) {
	cached := e.cache.lookupAndInsert(a.request.words, e.Generation())
	e.AddCachedTokens(int64(cached))
	a.cachedTokens = cached
	prefillTime := time.Duration(len(a.request.words)-cached) * e.settings.PromptTokenTime
	if lastEvent > 0 {
		prefillTime = 0
	}
	if e.SimulateWork(n.Context(), e.settings.FirstToken+prefillTime) != nil {
		n.End()
		process.Abort(w)
		return
	}
	if a.request.Stream {
		e.writeStream(w, n, a, lastEvent)
		return
	}
	for i := 1; i < a.request.MaxTokens; i++ {
		if e.SimulateWork(n.Context(), e.settings.TokenTime) != nil {
			n.End()
			process.Abort(w)
			return
		}
	}
	n.Complete()
	if n.CloseWithoutResponse {
		process.Abort(w)
		return
	}
	b, err := json.Marshal(a.fullCompletion())
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if n.BreakBytes > 0 && n.BreakBytes < len(b) {
		// An error has no effect: the connection is closed next.
		_, _ = w.Write(b[:n.BreakBytes])
		process.Abort(w)
		return
	}
	_, _ = w.Write(b)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{
		"message": message, "type": "invalid_request_error", "code": status,
	}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
