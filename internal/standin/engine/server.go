// Package engine is a small model engine for tests and the demo. It speaks
// the OpenAI chat completions API and answers deterministically.
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

// Settings describe the engine. The zero value has one model "stub", one
// slot and takes no time.
type Settings struct {
	process.Settings
	Models []string
	// Slots is the number of requests that generate at once. More are
	// admitted and wait.
	Slots int
	// FirstToken is the time to the first token, TokenTime between two
	// tokens, PromptTokenTime for each prompt token that is not cached.
	FirstToken      time.Duration
	TokenTime       time.Duration
	PromptTokenTime time.Duration
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// ResumeWindow is how long a stream can be resumed after it broke.
	ResumeWindow time.Duration
}

// maxBody bounds the body of a request.
const maxBody = 8 << 20

// Server is the engine.
type Server struct {
	*process.Process
	settings Settings
	slots    chan struct{}
	cache    *prefixCache
	handler  http.Handler

	mu      sync.Mutex
	streams map[string]*stream
}

// New returns an engine that has just started.
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
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.handler = e.Wrap(mux)
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

func (e *Server) models(w http.ResponseWriter, _ *http.Request) {
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

func (e *Server) complete(w http.ResponseWriter, r *http.Request) {
	if !e.Accept(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	q, err := parse(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	a := answer{request: q, id: "chatcmpl-" + r.Header.Get("X-Request-Id")}
	first := 0
	resumed := r.Header.Get("Last-Event-ID") != ""
	if resumed {
		first, err = strconv.Atoi(r.Header.Get("Last-Event-ID"))
		if err != nil || first < 0 || !q.Stream || !e.reopen(r.Context(), r.Header.Get("X-Request-Id"), body) {
			writeError(w, http.StatusNotFound, "no such stream to resume")
			return
		}
		first = max(0, first-e.Failures().ResumeOverlap)
	}
	n, ok := e.Begin(w, r, resumed)
	if !ok {
		return
	}
	defer n.End()
	if q.Stream {
		s := e.open(r.Header.Get("X-Request-Id"), n, body)
		defer e.keep(s)
	}
	if !e.admit(n) {
		n.End()
		process.Abort(w)
		return
	}
	defer func() { <-e.slots }()
	e.generate(w, n, a, first)
}

// admit waits for a slot in the batch.
func (e *Server) admit(n *process.Run) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	n.Waiting(1)
	defer n.Waiting(-1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-n.Context().Done():
		return false
	}
}

func (e *Server) generate(w http.ResponseWriter, n *process.Run, a answer, first int) {
	cached := e.cache.use(a.request.words, e.Generation())
	e.AddCached(int64(cached))
	a.cached = cached
	prompt := time.Duration(len(a.request.words)-cached) * e.settings.PromptTokenTime
	if first > 0 {
		prompt = 0
	}
	if e.Wait(n.Context(), e.settings.FirstToken+prompt) != nil {
		n.End()
		process.Abort(w)
		return
	}
	if a.request.Stream {
		e.stream(w, n, a, first)
		return
	}
	for i := 1; i < a.request.MaxTokens; i++ {
		if e.Wait(n.Context(), e.settings.TokenTime) != nil {
			n.End()
			process.Abort(w)
			return
		}
	}
	n.Complete()
	if n.CloseAfter {
		process.Abort(w)
		return
	}
	b, err := json.Marshal(a.whole())
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if n.BreakBytes > 0 && n.BreakBytes < len(b) {
		// The error does not matter, the connection is broken next.
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
	// A client that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
