// Package openai serves OpenAI's chat completions API to callers and passes
// the requests on to the fleet.
package openai

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/body"
	"github.com/galenalatch/galenalatch/internal/caller/connections"
	"github.com/galenalatch/galenalatch/internal/caller/reply"
)

// ChatPath and ModelsPath are the paths that the handler serves.
const (
	ChatPath   = "/v1/chat/completions"
	ModelsPath = "/v1/models"
)

// ClassHeader selects the class of work.
const ClassHeader = "X-Class"

// Handler serves the paths below /v1/.
type Handler struct {
	submitter galenalatch.Submitter
	current   func() galenalatch.Catalogue
	workspace func(*http.Request) (galenalatch.WorkspaceName, error)
	limit     *connections.Limit
	observe   func(r galenalatch.Request, err error, first, total time.Duration)
	reader    body.Reader
}

// Option changes a handler.
type Option func(*Handler)

// WithBodyLimit bounds the bytes of a request body. The default is 4 MB.
func WithBodyLimit(n int64) Option {
	return func(h *Handler) { h.reader.Limit = n }
}

// WithLimit bounds what is held for a workspace. Handlers can share a limit.
func WithLimit(l *connections.Limit) Option {
	return func(h *Handler) { h.limit = l }
}

// WithObserver calls observe at the end of each request. The time to the
// first piece is 0 when there was none. Fields of r that are not known at
// the time of an error are empty.
func WithObserver(observe func(r galenalatch.Request, err error, first, total time.Duration)) Option {
	return func(h *Handler) { h.observe = observe }
}

// New returns a handler that submits requests to s. The function current
// returns the catalogue, workspace authenticates a request.
func New(s galenalatch.Submitter, current func() galenalatch.Catalogue,
	workspace func(*http.Request) (galenalatch.WorkspaceName, error), options ...Option) *Handler {
	h := &Handler{
		submitter: s,
		current:   current,
		workspace: workspace,
		observe:   func(galenalatch.Request, error, time.Duration, time.Duration) {},
		reader:    body.Reader{Limit: 4 << 20, Timeout: 30 * time.Second},
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := galenalatch.Request{ID: galenalatch.RequestID(uuid.NewString())}
	s := &sink{writer: reply.New(w, r, q.ID, true), start: time.Now()}
	err := h.serve(w, r, &q, s)
	h.observe(q, err, s.first, time.Since(s.start))
	if err != nil {
		s.writer.Fail(err)
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, q *galenalatch.Request, s *sink) error {
	var err error
	if q.Workspace, err = h.workspace(r); err != nil {
		return err
	}
	held, err := h.limit.Acquire(q.Workspace)
	if err != nil {
		return err
	}
	defer held.Release()
	model, one := strings.CutPrefix(r.URL.Path, ModelsPath+"/")
	switch {
	case r.URL.Path == ChatPath && r.Method == http.MethodPost:
		return h.chat(w, r, q, s, held)
	case r.URL.Path == ChatPath:
		return wrongMethod(w, r, http.MethodPost)
	case r.URL.Path != ModelsPath && !one:
		return galenalatch.KindNotFound.Errorf("there is nothing at this path; POST %s and GET %s are served", ChatPath, ModelsPath)
	case r.Method != http.MethodGet:
		return wrongMethod(w, r, http.MethodGet)
	case one:
		return h.oneModel(s.writer, model)
	}
	return h.allModels(s.writer)
}

func wrongMethod(w http.ResponseWriter, r *http.Request, allowed string) error {
	w.Header().Set("Allow", allowed)
	return galenalatch.KindBadRequest.Errorf("method %.16q is not allowed at this path; allowed: %s", r.Method, allowed)
}

func (h *Handler) chat(w http.ResponseWriter, r *http.Request, q *galenalatch.Request, s *sink, held *connections.Held) error {
	q.Class = galenalatch.Class(r.Header.Get(ClassHeader))
	if q.Class == "" {
		q.Class = galenalatch.Interactive
	}
	if !q.Class.Valid() {
		return galenalatch.KindBadRequest.Errorf("header %s: %.60q is not allowed; allowed: interactive, batch", ClassHeader, string(q.Class))
	}
	data, err := h.reader.Read(w, r, held.Grow)
	if err != nil {
		return err
	}
	c, err := parse(r.Header, data)
	if err != nil {
		return err
	}
	p, ok := poolOf(h.current(), c.model)
	if !ok {
		return galenalatch.KindNotFound.Errorf("model: %.128q is not served; GET %s lists the models", c.model, ModelsPath)
	}
	q.Pool = p.Name
	q.Estimate = c.estimate(p)
	q.Method, q.Path = http.MethodPost, ChatPath
	q.Repeatable = p.Repeatable(q.Method, q.Path)
	q.Header = forwarded(r.Header, q.ID, c.stream)
	if q.Body, err = c.encode(); err != nil {
		return err
	}
	s.hideUsage = c.stream && !c.wantsUsage
	if err := h.submitter.Submit(r.Context(), *q, s); err != nil {
		return err
	}
	if !s.headSeen {
		return galenalatch.KindInternal.Errorf("the request %s ended without an answer", q.ID)
	}
	return s.writer.End(true)
}

// forwarded returns the header for the backend server. The caller's key and
// other headers stay here.
func forwarded(from http.Header, id galenalatch.RequestID, stream bool) http.Header {
	h := http.Header{}
	for _, name := range []string{"Traceparent", "Tracestate"} {
		if v := from.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "application/json")
	if stream {
		h.Set("Accept", "text/event-stream")
	}
	h.Set(reply.RequestHeader, string(id))
	return h
}

func poolOf(c galenalatch.Catalogue, model string) (galenalatch.Pool, bool) {
	for _, p := range c.Pools {
		if p.Kind == galenalatch.ModelPool && slices.Contains(p.Models, model) {
			return p, true
		}
	}
	return galenalatch.Pool{}, false
}

// model is a model in OpenAI's format.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) oneModel(w *reply.Writer, name string) error {
	if _, ok := poolOf(h.current(), name); !ok {
		return galenalatch.KindNotFound.Errorf("model: %.128q is not served; GET %s lists the models", name, ModelsPath)
	}
	return answer(w, newModel(name))
}

func (h *Handler) allModels(w *reply.Writer) error {
	var list struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	list.Object = "list"
	list.Data = []model{}
	for _, p := range h.current().Pools {
		if p.Kind != galenalatch.ModelPool {
			continue
		}
		for _, m := range p.Models {
			list.Data = append(list.Data, newModel(m))
		}
	}
	slices.SortFunc(list.Data, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	return answer(w, list)
}

func newModel(name string) model {
	return model{ID: name, Object: "model", OwnedBy: "galenalatch"}
}

func answer(w *reply.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return galenalatch.KindInternal.Errorf("encode the answer: %w", err)
	}
	if err := w.Head(http.StatusOK, http.Header{"Content-Type": {"application/json"}}); err != nil {
		return err
	}
	if err := w.Body(append(data, '\n')); err != nil {
		return err
	}
	return w.End(false)
}
