// Package plain serves plain HTTP services to callers below /services/{pool}/
// and submits the requests to the fleet.
package plain

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/reply"
	"github.com/galenalatch/galenalatch/internal/caller/request"
)

// Prefix is the path prefix that the handler serves.
const Prefix = "/services/"

// KeyHeader carries the caller's idempotency key.
const KeyHeader = "Idempotency-Key"

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

var allowedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost, http.MethodPatch, http.MethodDelete,
}

// Handler serves the paths below Prefix.
type Handler struct {
	server *request.Server
}

// New returns a handler that serves requests by s.
func New(s *request.Server) *Handler {
	return &Handler{server: s}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.server.Serve(w, r, false, h.serve)
}

func (h *Handler) serve(c *request.Call) error {
	r, q := c.HTTP, &c.Request
	if !slices.Contains(allowedMethods, r.Method) {
		return c.WrongMethod(allowedMethods...)
	}
	p, clean, err := h.target(r.URL)
	if err != nil {
		return err
	}
	q.Pool = p.Name
	if err := c.SetClass(); err != nil {
		return err
	}
	if q.Key, err = idempotencyKey(r.Header); err != nil {
		return err
	}
	q.Path = serverPath(r.URL)
	q.Repeatable = p.Repeatable(r.Method, clean)
	q.Header = forwardedHeader(r.Header, q.ID)
	if q.Body, err = c.ReadBody(); err != nil {
		return err
	}
	return c.Submit()
}

// target returns the pool and the decoded path on the backend server.
//
// A path that a backend server may interpret as another one is refused: with dot
// segments, "/status/../book" would match a route for "/status/" that allows
// retries, and a retry would book twice.
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
	p, ok := h.server.Catalogue().Pool(galenalatch.PoolName(name))
	if !ok || p.Kind != galenalatch.PlainPool {
		return galenalatch.Pool{}, "", galenalatch.KindNotFound.Errorf("pool: %.64q is not a plain service", name)
	}
	return p, clean, nil
}

// serverPath returns the escaped path and the query for the backend server.
func serverPath(u *url.URL) string {
	_, tail, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), Prefix), "/")
	if u.RawQuery != "" {
		return "/" + tail + "?" + u.RawQuery
	}
	return "/" + tail
}

// idempotencyKey returns the idempotency key, or "" if there is none. Errors do
// not contain the key, since callers use order numbers and the like as keys.
func idempotencyKey(h http.Header) (string, error) {
	values := h.Values(KeyHeader)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", galenalatch.KindBadRequest.Errorf("header %s: %d values are not allowed; allowed: one", KeyHeader, len(values))
	}
	v := values[0]
	if v == "" || len(v) > maxKeyBytes || strings.ContainsFunc(v, func(r rune) bool { return r < ' ' || r > '~' }) {
		return "", galenalatch.KindBadRequest.Errorf("header %s: a value of %d bytes is not allowed; allowed: 1 to %d printable ASCII characters", KeyHeader, len(v), maxKeyBytes)
	}
	return v, nil
}

// droppedHeaders are the headers that are not passed on: those of the
// connection, the caller's credentials, those that only the router sets, and
// those that override the method, since the method decides whether a request
// may be repeated.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
	"Authorization", "Cookie",
	request.ClassHeader, reply.OutcomeHeader, reply.RequestHeader, "X-Fencing-Token",
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}

// forwardedHeader returns the header for the backend server: that of the caller
// without hop-by-hop and dropped headers, and with the request id.
func forwardedHeader(from http.Header, id galenalatch.RequestID) http.Header {
	h := from.Clone()
	for _, v := range from.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range droppedHeaders {
		h.Del(name)
	}
	if v := from.Get(KeyHeader); v != "" {
		h.Set(KeyHeader, v)
	}
	h.Set(reply.RequestHeader, string(id))
	return h
}
