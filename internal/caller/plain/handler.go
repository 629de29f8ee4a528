// Package plain serves plain HTTP services to callers below
// /services/{pool}/ and passes the calls on to the fleet.
package plain

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/body"
	"github.com/galenalatch/galenalatch/internal/caller/connections"
	"github.com/galenalatch/galenalatch/internal/caller/reply"
)

// Prefix is the path under which the handler serves.
const Prefix = "/services/"

// Names of headers that callers set.
const (
	ClassHeader = "X-Class"
	KeyHeader   = "Idempotency-Key"
)

// maxKey bounds the length of an idempotency key.
const maxKey = 255

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost, http.MethodPatch, http.MethodDelete,
}

// Handler serves the paths below Prefix.
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

// New returns a handler that submits calls to s. The function current
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
	s := &sink{writer: reply.New(w, r, q.ID, false), start: time.Now()}
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
	if !slices.Contains(methods, r.Method) {
		w.Header().Set("Allow", strings.Join(methods, ", "))
		return galenalatch.KindBadRequest.Errorf("method %.16q is not allowed; allowed: %s", r.Method, strings.Join(methods, ", "))
	}
	p, clean, err := h.target(r.URL)
	if err != nil {
		return err
	}
	q.Pool = p.Name
	if q.Class, err = class(r.Header); err != nil {
		return err
	}
	if q.Key, err = key(r.Header); err != nil {
		return err
	}
	q.Method = r.Method
	q.Path = onServer(r.URL)
	q.Repeatable = p.Repeatable(r.Method, clean)
	q.Header = forwarded(r.Header, q.ID)
	if q.Body, err = h.reader.Read(w, r, held.Grow); err != nil {
		return err
	}
	if err := h.submitter.Submit(r.Context(), *q, s); err != nil {
		return err
	}
	if !s.headSeen {
		return galenalatch.KindInternal.Errorf("the request %s ended without an answer", q.ID)
	}
	return s.writer.End(false)
}

// target returns the pool and the decoded path on the backend server.
//
// A path that a backend server may read as another one is refused: with dot
// segments, "/status/../book" would match a route that says that it may be
// repeated and then book twice.
func (h *Handler) target(u *url.URL) (galenalatch.Pool, string, error) {
	rest, ok := strings.CutPrefix(u.Path, Prefix)
	name, tail, found := strings.Cut(rest, "/")
	if !ok || !found || name == "" {
		return galenalatch.Pool{}, "", galenalatch.KindNotFound.Errorf("there is nothing at this path; allowed: %s{pool}/...", Prefix)
	}
	clean := "/" + tail
	escaped := strings.ToLower(u.EscapedPath())
	if strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") || strings.ContainsAny(clean, "\\;\x00") ||
		(clean != "/" && strings.TrimSuffix(clean, "/") != path.Clean(clean)) {
		return galenalatch.Pool{}, "", galenalatch.KindBadRequest.Errorf(
			"path: %.80q is not allowed; allowed: paths without empty or dot segments, backslashes, semicolons and encoded slashes", clean)
	}
	p, ok := h.current().Pool(galenalatch.PoolName(name))
	if !ok || p.Kind != galenalatch.PlainPool {
		return galenalatch.Pool{}, "", galenalatch.KindNotFound.Errorf("pool: %.64q is not a plain service", name)
	}
	return p, clean, nil
}

// onServer returns the escaped path and query on the backend server.
func onServer(u *url.URL) string {
	_, tail, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), Prefix), "/")
	if u.RawQuery != "" {
		return "/" + tail + "?" + u.RawQuery
	}
	return "/" + tail
}

func class(h http.Header) (galenalatch.Class, error) {
	c := galenalatch.Class(h.Get(ClassHeader))
	if c == "" {
		return galenalatch.Interactive, nil
	}
	if !c.Valid() {
		return "", galenalatch.KindBadRequest.Errorf("header %s: %.60q is not allowed; allowed: interactive, batch", ClassHeader, string(c))
	}
	return c, nil
}

// key returns the idempotency key. The values of bad keys are not shown:
// callers use order numbers and the like as keys.
func key(h http.Header) (string, error) {
	values := h.Values(KeyHeader)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", galenalatch.KindBadRequest.Errorf("header %s: %d values are not allowed; allowed: one", KeyHeader, len(values))
	}
	v := values[0]
	if v == "" || len(v) > maxKey || strings.ContainsFunc(v, func(r rune) bool { return r < ' ' || r > '~' }) {
		return "", galenalatch.KindBadRequest.Errorf("header %s: a value of %d bytes is not allowed; allowed: 1 to %d printable ASCII characters", KeyHeader, len(v), maxKey)
	}
	return v, nil
}

// dropped are the headers that are not passed on: those of the connection,
// the caller's credentials, those that only the router sets, and those by
// which a service could take the call for one of another method, which would
// make a wrong guess of whether it may be repeated.
var dropped = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
	"Authorization", "Cookie",
	ClassHeader, reply.OutcomeHeader, reply.RequestHeader, "X-Fencing-Token",
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}

// forwarded returns the header for the backend server.
func forwarded(from http.Header, id galenalatch.RequestID) http.Header {
	h := from.Clone()
	for _, v := range from.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range dropped {
		h.Del(name)
	}
	if v := from.Get(KeyHeader); v != "" {
		h.Set(KeyHeader, v)
	}
	h.Set(reply.RequestHeader, string(id))
	return h
}

// sink passes an answer on to the caller while it arrives.
type sink struct {
	writer   *reply.Writer
	start    time.Time
	first    time.Duration
	headSeen bool
}

// Head implements galenalatch.Sink.
func (s *sink) Head(status int, header http.Header) error {
	s.headSeen = true
	return s.writer.Head(status, header)
}

// Piece implements galenalatch.Sink.
func (s *sink) Piece(data []byte) error {
	if s.first == 0 {
		s.first = time.Since(s.start)
	}
	return s.writer.Body(data)
}

// Progress implements galenalatch.Sink.
func (s *sink) Progress(galenalatch.Usage) {}
