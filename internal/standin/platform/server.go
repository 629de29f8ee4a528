// Package platform is an in-memory stand-in for the platform: table service,
// object store and instance list. Tests and the demo inject faults with
// Server.SetFaults or over HTTP.
package platform

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
)

// Limits of request bodies.
const (
	maxRowBytes    = 4 << 20
	maxObjectBytes = 64 << 20
)

// Server is an http.Handler that serves the platform's protocols. It keeps all
// data in memory.
type Server struct {
	token string

	mu              sync.Mutex
	rows            map[string]row
	lastTag         uint64
	objects         map[string][]byte
	instances       map[string]json.RawMessage
	frozenInstances []json.RawMessage
	faults          Faults
	faultsChanged   chan struct{}
	stats           Stats
	random          *rand.Rand
}

var _ http.Handler = (*Server)(nil)

// Option sets an option of a Server.
type Option func(*Server)

// WithToken makes the server require the bearer token in every request. Without
// it, or with an empty token, requests need no token.
func WithToken(token string) Option {
	return func(s *Server) { s.token = token }
}

// WithSeed sets the seed for the choice of the responses that are lost. The
// default is 1.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns a server without rows, objects, instances and faults.
func New(opts ...Option) *Server {
	s := &Server{
		rows:          map[string]row{},
		objects:       map[string][]byte{},
		instances:     map[string]json.RawMessage{},
		faultsChanged: make(chan struct{}),
		random:        rand.New(rand.NewPCG(1, 0)),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// response is an HTTP response that is not written yet, since it may be lost.
type response struct {
	status int
	tag    string
	body   []byte
}

// statusResponse returns a response with the text of the status code as its body.
func statusResponse(code int) response {
	return response{status: code, body: []byte(http.StatusText(code) + "\n")}
}

// jsonResponse returns a response with status 200 and v as JSON.
func jsonResponse(v any) response {
	data, err := json.Marshal(v)
	if err != nil {
		return statusResponse(http.StatusInternalServerError)
	}
	return response{status: http.StatusOK, body: data}
}

// request is an HTTP request whose body has been read. The key is the path after
// its first segment.
type request struct {
	method string
	header http.Header
	query  url.Values
	key    string
	body   []byte
}

func (c request) isWrite() bool {
	return c.method != http.MethodGet && c.method != http.MethodHead
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.isAuthorized(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, http.StatusText(http.StatusUnauthorized), http.StatusUnauthorized)
		return
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	key, err := url.PathUnescape(rest)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	maxBodyBytes := int64(maxRowBytes)
	if service == "objects" {
		maxBodyBytes = maxObjectBytes
	}
	// The body is read before any delay, so that a delayed write takes
	// effect even if the client has disconnected by then.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	c := request{method: r.Method, header: r.Header, query: r.URL.Query(), key: key, body: body}

	handler := map[string]func(request) response{
		"table":       s.serveTable,
		"batch":       s.serveBatch,
		"transaction": s.serveTransaction,
		"objects":     s.serveObject,
		"instances":   s.serveInstances,
		"control":     s.serveControl,
	}[service]
	if handler == nil {
		http.NotFound(w, r)
		return
	}
	// Faults do not apply to changes of the instance list, since a real
	// platform makes them itself.
	if service == "control" || service == "instances" && c.isWrite() {
		s.writeResponse(w, handler(c))
		return
	}
	if refusedStatus := s.injectBeforeHandler(r, service, c); refusedStatus != 0 {
		s.writeResponse(w, statusResponse(refusedStatus))
		return
	}
	a := handler(c)
	s.injectAfterHandler(service, c, a)
	s.writeResponse(w, a)
}

func (s *Server) isAuthorized(r *http.Request) bool {
	if s.token == "" {
		return true
	}
	got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
	want := sha256.Sum256([]byte("Bearer " + s.token))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func (s *Server) writeResponse(w http.ResponseWriter, a response) {
	if a.tag != "" {
		w.Header().Set("ETag", `"`+a.tag+`"`)
	}
	w.WriteHeader(a.status)
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		// An error means that the client has disconnected.
		_, _ = w.Write(a.body)
	}
}
