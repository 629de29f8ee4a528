// Package openai serves OpenAI's chat completions and models API to callers and
// submits the requests to the fleet.
package openai

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/reply"
	"github.com/galenalatch/galenalatch/internal/caller/request"
)

// ChatPath and ModelsPath are the paths that the handler serves.
const (
	ChatPath   = "/v1/chat/completions"
	ModelsPath = "/v1/models"
)

// Handler serves the paths below /v1/.
type Handler struct {
	server *request.Server
}

// New returns a handler that serves requests by s.
func New(s *request.Server) *Handler {
	return &Handler{server: s}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.server.Serve(w, r, true, h.serve)
}

func (h *Handler) serve(c *request.Call) error {
	r := c.HTTP
	model, single := strings.CutPrefix(r.URL.Path, ModelsPath+"/")
	switch {
	case r.URL.Path == ChatPath && r.Method == http.MethodPost:
		return h.serveChat(c)
	case r.URL.Path == ChatPath:
		return c.WrongMethod(http.MethodPost)
	case r.URL.Path != ModelsPath && !single:
		return galenalatch.KindNotFound.Errorf("there is nothing at this path; POST %s and GET %s are served", ChatPath, ModelsPath)
	case r.Method != http.MethodGet:
		return c.WrongMethod(http.MethodGet)
	case single:
		return h.serveModel(c.Writer, model)
	}
	return h.serveModels(c.Writer)
}

func (h *Handler) serveChat(c *request.Call) error {
	if err := c.SetClass(); err != nil {
		return err
	}
	data, err := c.ReadBody()
	if err != nil {
		return err
	}
	m, err := parseChatRequest(c.HTTP.Header, data)
	if err != nil {
		return err
	}
	p, ok := findPool(h.server.Catalogue(), m.model)
	if !ok {
		return galenalatch.KindNotFound.Errorf("model: %.128q is not served; GET %s lists the models", m.model, ModelsPath)
	}
	q := &c.Request
	q.Pool = p.Name
	q.Estimate = m.estimate(p)
	q.Prefix = m.prefixHash()
	q.Method, q.Path = http.MethodPost, ChatPath
	q.Repeatable = p.Repeatable(q.Method, q.Path)
	q.Header = forwardedHeader(c.HTTP.Header, q.ID, m.stream)
	if q.Body, err = m.encode(); err != nil {
		return err
	}
	hideUsage := m.stream && !m.wantsUsage
	c.DropEvent = func(event []byte) bool {
		return isStreamEnd(event) || hideUsage && isUsageOnly(event)
	}
	return c.Submit()
}

// forwardedHeader returns the header for the backend server. Of the caller's
// headers only the trace context is passed on.
func forwardedHeader(from http.Header, id galenalatch.RequestID, stream bool) http.Header {
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

func findPool(c galenalatch.Catalogue, model string) (galenalatch.Pool, bool) {
	for _, p := range c.Pools {
		if p.Kind == galenalatch.ModelPool && slices.Contains(p.Models, model) {
			return p, true
		}
	}
	return galenalatch.Pool{}, false
}

// model is a model in the format of OpenAI's models API.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) serveModel(w *reply.Writer, name string) error {
	if _, ok := findPool(h.server.Catalogue(), name); !ok {
		return galenalatch.KindNotFound.Errorf("model: %.128q is not served; GET %s lists the models", name, ModelsPath)
	}
	return writeJSON(w, newModel(name))
}

func (h *Handler) serveModels(w *reply.Writer) error {
	var list struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	list.Object = "list"
	list.Data = []model{}
	for _, p := range h.server.Catalogue().Pools {
		if p.Kind != galenalatch.ModelPool {
			continue
		}
		for _, m := range p.Models {
			list.Data = append(list.Data, newModel(m))
		}
	}
	slices.SortFunc(list.Data, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	return writeJSON(w, list)
}

func newModel(name string) model {
	return model{ID: name, Object: "model", OwnedBy: "galenalatch"}
}

func writeJSON(w *reply.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return galenalatch.KindInternal.Errorf("encode the answer: %w", err)
	}
	if err := w.Header(http.StatusOK, http.Header{"Content-Type": {"application/json"}}); err != nil {
		return err
	}
	if err := w.Body(append(data, '\n')); err != nil {
		return err
	}
	return w.End(false)
}
