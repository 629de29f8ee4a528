// Package api serves the operators' API: JSON over HTTP below /operator/v1/.
package api

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/body"
	"github.com/galenalatch/galenalatch/internal/config/strict"
	"github.com/galenalatch/galenalatch/internal/operator/message"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

// Store keeps the catalogue. After an error of KindConflict, Current returns
// the version that caused the conflict.
type Store interface {
	Apply(ctx context.Context, base galenalatch.Version, ch galenalatch.Change) (galenalatch.Version, error)
	Current() galenalatch.Catalogue
	History(ctx context.Context, n int) ([]galenalatch.Change, error)
}

// Fleet gives access to the router's view of the fleet. All functions must be
// set and safe for concurrent use.
type Fleet struct {
	// Status returns the status of this router.
	Status func() status.Status
	// CountHolders returns how many of the listed routers hold the version v.
	CountHolders func(v galenalatch.Version) (held, total int)
	// Instances returns the instance list as last read.
	Instances func() []galenalatch.Instance
}

// Handler serves the operators' API. Create it with New.
type Handler struct {
	store         Store
	fleet         Fleet
	diff          func(from, to galenalatch.Catalogue) galenalatch.Change
	authorize     func(*http.Request) error
	observe       func(ch galenalatch.Change, r message.ApplyResult, err error)
	acceptTimeout time.Duration
	pollInterval  time.Duration
	reader        body.Reader
	mux           *http.ServeMux
}

// Option configures a Handler.
type Option func(*Handler)

// WithAcceptTimeout bounds the time that a response waits until more than half
// of the routers hold a change. After it the change is reported as pending. The
// default is 5 s.
func WithAcceptTimeout(d time.Duration) Option {
	return func(h *Handler) { h.acceptTimeout = d }
}

// WithObserver calls observe at the end of each request for a change, and
// with an empty change after a request without a valid token.
func WithObserver(observe func(ch galenalatch.Change, r message.ApplyResult, err error)) Option {
	return func(h *Handler) { h.observe = observe }
}

// New returns a handler. The function diff is galenalatch.Diff; authorize
// returns an error for a request without a valid operator's token.
func New(s Store, f Fleet, diff func(from, to galenalatch.Catalogue) galenalatch.Change,
	authorize func(*http.Request) error, options ...Option) *Handler {
	h := &Handler{
		store:         s,
		fleet:         f,
		diff:          diff,
		authorize:     authorize,
		observe:       func(galenalatch.Change, message.ApplyResult, error) {},
		acceptTimeout: 5 * time.Second,
		pollInterval:  50 * time.Millisecond,
		reader:        body.Reader{Limit: 32 << 20, Timeout: 30 * time.Second},
		mux:           http.NewServeMux(),
	}
	for _, o := range options {
		o(h)
	}
	h.handle("GET "+message.CataloguePath, h.catalogue)
	h.handle("POST "+message.ChangesPath, h.apply)
	h.handle("GET "+message.ChangesPath, h.history)
	h.handle("POST "+message.DiffPath, h.difference)
	h.handle("GET "+message.StatusPath, h.status)
	h.handle("POST "+message.DataCentresPath+"{name}/{way}", h.dataCentre)
	h.handle("POST "+message.ServersPath+"{name}/{way}", h.server)
	h.handle("/", func(_ http.ResponseWriter, r *http.Request) (any, error) {
		return nil, galenalatch.KindNotFound.Errorf("%.8s %.80q is not served; see docs/OPERATIONS.md for the operators' API", r.Method, r.URL.Path)
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h.authorize(r); err != nil {
		h.observe(galenalatch.Change{}, message.ApplyResult{}, err)
		h.writeError(w, err)
		return
	}
	h.mux.ServeHTTP(w, r)
}

// handle registers f, which returns the document of the response or an error.
func (h *Handler) handle(pattern string, f func(http.ResponseWriter, *http.Request) (any, error)) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		v, err := f(w, r)
		if err != nil {
			h.writeError(w, err)
			return
		}
		code := http.StatusOK
		if res, ok := v.(message.ApplyResult); ok && res.State == message.Pending {
			code = http.StatusAccepted
		}
		writeJSON(w, code, v)
	})
}

func (h *Handler) writeError(w http.ResponseWriter, err error) {
	kind := galenalatch.KindOf(err)
	reply := kind.Reply()
	var f message.ErrorResponse
	f.Error.Kind = kind
	f.Error.Outcome = galenalatch.OutcomeOf(err)
	f.Error.Message = err.Error()
	if e := (*galenalatch.Error)(nil); errors.As(err, &e) {
		// The kind is a separate field of the response.
		f.Error.Message = strings.TrimPrefix(e.Err.Error(), string(kind)+": ")
	}
	if kind == galenalatch.KindConflict {
		f.Error.Current = h.store.Current().Version
	}
	w.Header().Set("X-Outcome", string(f.Error.Outcome))
	if reply.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(reply.RetryAfter.Seconds()))))
	}
	writeJSON(w, reply.Status, f)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "encode the answer: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(code)
	// A write error means that the client has closed the connection.
	_, _ = w.Write(append(data, '\n'))
}

// decode reads the request's body into v.
func (h *Handler) decode(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := h.reader.Read(w, r, func(int64) error { return nil })
	if err != nil {
		return err
	}
	if err := strict.Decode(data, v); err != nil {
		return galenalatch.KindBadRequest.Errorf("body: %w", err)
	}
	return nil
}

func (h *Handler) catalogue(http.ResponseWriter, *http.Request) (any, error) {
	return h.store.Current(), nil
}

func (h *Handler) status(http.ResponseWriter, *http.Request) (any, error) {
	return h.fleet.Status(), nil
}

// maxHistory bounds the number of changes in one response.
const maxHistory = 1000

func (h *Handler) history(_ http.ResponseWriter, r *http.Request) (any, error) {
	n := 20
	if v := r.URL.Query().Get("n"); v != "" {
		var err error
		if n, err = strconv.Atoi(v); err != nil || n < 1 || n > maxHistory {
			return nil, galenalatch.KindBadRequest.Errorf("n: %.20q is not allowed; allowed: 1 to %d", v, maxHistory)
		}
	}
	changes, err := h.store.History(r.Context(), n)
	if err != nil {
		return nil, err
	}
	if changes == nil {
		changes = []galenalatch.Change{}
	}
	return message.History{Changes: changes}, nil
}

// difference returns the change that turns the current catalogue into the
// one in the body. Its version is the base for applying it.
func (h *Handler) difference(w http.ResponseWriter, r *http.Request) (any, error) {
	var target galenalatch.Catalogue
	if err := h.decode(w, r, &target); err != nil {
		return nil, err
	}
	current := h.store.Current()
	ch := h.diff(current, target.WithVersion(current.Version))
	base := current.Version
	return message.ApplyRequest{Base: &base, Change: ch}, nil
}
