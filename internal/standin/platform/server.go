// Package platform is a stand-in for the platform: table service, object
// store and instance list in memory, with failures that tests and the demo
// switch on over HTTP.
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

// Bounds of request bodies.
const (
	maxRow    = 4 << 20
	maxObject = 64 << 20
)

// Server is an http.Handler that serves the platform's protocols. Everything
// is kept in memory.
type Server struct {
	token string

	mu        sync.Mutex
	rows      map[string]row
	written   uint64
	objects   map[string][]byte
	instances map[string]json.RawMessage
	frozen    []json.RawMessage
	faults    Faults
	changed   chan struct{}
	stats     Stats
	random    *rand.Rand
}

var _ http.Handler = (*Server)(nil)

// Option changes a Server.
type Option func(*Server)

// WithToken requires the bearer token on every request.
func WithToken(token string) Option {
	return func(s *Server) { s.token = token }
}

// WithSeed seeds the choice of the responses that are lost.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns an empty platform.
func New(opts ...Option) *Server {
	s := &Server{
		rows:      map[string]row{},
		objects:   map[string][]byte{},
		instances: map[string]json.RawMessage{},
		changed:   make(chan struct{}),
		random:    rand.New(rand.NewPCG(1, 0)),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// answer is a response that is written only when it is not lost.
type answer struct {
	status int
	tag    string
	body   []byte
}

func status(code int) answer {
	return answer{status: code, body: []byte(http.StatusText(code) + "\n")}
}

func document(v any) answer {
	data, err := json.Marshal(v)
	if err != nil {
		return status(http.StatusInternalServerError)
	}
	return answer{status: http.StatusOK, body: data}
}

// call is one request with its body read.
type call struct {
	method string
	header http.Header
	query  url.Values
	key    string
	body   []byte
}

func (c call) write() bool {
	return c.method != http.MethodGet && c.method != http.MethodHead
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.allowed(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, http.StatusText(http.StatusUnauthorized), http.StatusUnauthorized)
		return
	}
	area, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	key, err := url.PathUnescape(rest)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	limit := int64(maxRow)
	if area == "objects" {
		limit = maxObject
	}
	// The body is read first, so that a slow write takes effect even when
	// the client has given up by then.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	c := call{method: r.Method, header: r.Header, query: r.URL.Query(), key: key, body: body}

	serve := map[string]func(call) answer{
		"table":       s.serveTable,
		"batch":       s.serveBatch,
		"transaction": s.serveTransaction,
		"objects":     s.serveObject,
		"instances":   s.serveInstances,
		"control":     s.serveControl,
	}[area]
	if serve == nil {
		http.NotFound(w, r)
		return
	}
	// Instances are set and removed by whoever plays the platform's own part.
	if area == "control" || area == "instances" && c.write() {
		s.reply(w, serve(c))
		return
	}
	if refusal := s.before(r, area, c); refusal != 0 {
		s.reply(w, status(refusal))
		return
	}
	a := serve(c)
	s.after(area, c, a)
	s.reply(w, a)
}

func (s *Server) allowed(r *http.Request) bool {
	if s.token == "" {
		return true
	}
	given := sha256.Sum256([]byte(r.Header.Get("Authorization")))
	want := sha256.Sum256([]byte("Bearer " + s.token))
	return subtle.ConstantTimeCompare(given[:], want[:]) == 1
}

func (s *Server) reply(w http.ResponseWriter, a answer) {
	if a.tag != "" {
		w.Header().Set("ETag", `"`+a.tag+`"`)
	}
	w.WriteHeader(a.status)
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		// A client that has gone away does not matter to the stand-in.
		_, _ = w.Write(a.body)
	}
}
