// Package worker is a stand-in for a backend server. It counts the runs of
// each request and misbehaves as a test tells it.
package worker

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// Behaviour is what a server does with a request.
type Behaviour string

// The behaviours of servers.
const (
	// Answer runs the request and answers.
	Answer Behaviour = "answer"
	// Shed rejects it without running it.
	Shed Behaviour = "shed"
	// Fail runs it and answers with status 500.
	Fail Behaviour = "fail"
	// Lose runs it and closes the connection without an answer.
	Lose Behaviour = "lose"
	// Mute runs it and does not answer until the caller leaves.
	Mute Behaviour = "mute"
	// Truncate answers with a part of the announced body.
	Truncate Behaviour = "truncate"
	// Torn breaks off a stream in the middle of an event.
	Torn Behaviour = "torn"
	// Foreign answers with the late answer to another request first.
	Foreign Behaviour = "foreign"
	// Extra sends a second answer after the first.
	Extra Behaviour = "extra"
	// Unsealed answers without the seal of the service.
	Unsealed Behaviour = "unsealed"
	// misdirected rejects a request that names another server.
	misdirected Behaviour = "misdirected"
)

// Names are the headers that a server reads and writes.
type Names struct {
	Request   string
	LastEvent string
	Seal      string
	NotRun    string
	// Expected names the server for which a request is meant. A server
	// rejects requests for others.
	Expected string
}

// Own are the names of the product's stand-ins.
var Own = Names{
	Request: headers.Request, LastEvent: headers.LastEvent, Seal: headers.Seal, NotRun: headers.NotRun, Expected: headers.Server,
}

// Server is one backend server on a loopback address.
type Server struct {
	ID galenalatch.ServerID
	// Events is the number of events of a stream, Gap the pause between two.
	Events int
	Gap    time.Duration

	names     Names
	listener  net.Listener
	mu        sync.Mutex
	behaviour Behaviour
	runs      map[string]int
	cancelled map[string]bool
	seen      []http.Header
	log       []Run
	dials     int
	arrivals  int
}

// Run is one run of a request.
type Run struct {
	ID   string
	Path string
	At   time.Time
}

// Log returns all runs in order.
func (s *Server) Log() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.log...)
}

// New returns a server that listens and answers.
func New(id galenalatch.ServerID, n Names) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("backend server: %w", err)
	}
	s := &Server{
		ID: id, Events: 3, names: n, listener: l, behaviour: Answer,
		runs: make(map[string]int), cancelled: make(map[string]bool),
	}
	go s.run()
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server.
func (s *Server) Close() error { return s.listener.Close() }

// Set changes the behaviour for the next requests.
func (s *Server) Set(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Runs returns how often a request was run.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Arrivals returns the number of requests that were read, also those that were
// not run.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// Cancelled reports whether the connection of a running request was closed.
func (s *Server) Cancelled(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled[id]
}

// Seen returns the headers of all requests that were run.
func (s *Server) Seen() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.seen...)
}

// Dials returns the number of connections so far.
func (s *Server) Dials() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials
}

// run accepts connections until the listener is closed.
func (s *Server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.dials++
		s.mu.Unlock()
		go s.loop(c)
	}
}

// loop serves one connection.
func (s *Server) loop(c net.Conn) {
	// The client sees the end of the connection either way.
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil || !s.serve(c, b, r) {
			return
		}
	}
}

// serve answers one request. It reports whether the connection goes on.
func (s *Server) serve(c net.Conn, b *bufio.Reader, r *http.Request) bool {
	body := new(strings.Builder)
	if _, err := bufio.NewReader(r.Body).WriteTo(body); err != nil {
		return false
	}
	id := r.Header.Get(s.names.Request)
	s.mu.Lock()
	do := s.behaviour
	if r.Header.Get(s.names.Expected) != string(s.ID) {
		do = misdirected
	}
	s.arrivals++
	if do != Shed && do != misdirected {
		s.runs[id]++
		s.log = append(s.log, Run{ID: id, Path: r.URL.Path, At: time.Now()})
		s.seen = append(s.seen, r.Header.Clone())
	}
	s.mu.Unlock()
	head := fmt.Sprintf("%s: %s\r\n%s: seal-of-%s\r\n", s.names.Request, id, s.names.Seal, s.ID)
	text := "served by " + string(s.ID) + " for " + id + "\n"
	whole := func(status string, head, text string) string {
		return "HTTP/1.1 " + status + "\r\n" + head + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	}
	streaming := strings.HasPrefix(r.URL.Path, "/stream/")
	if streaming && (do == Foreign || do == Extra || do == Truncate) {
		// These concern answers with a length.
		do = Answer
	}
	switch do {
	case misdirected:
		return s.write(c, whole("421 Misdirected Request", s.names.Request+": "+id+"\r\n"+s.names.NotRun+": 1\r\n", ""))
	case Shed:
		return s.write(c, whole("503 Service Unavailable", s.names.Request+": "+id+"\r\n"+s.names.NotRun+": 1\r\n", ""))
	case Fail:
		return s.write(c, whole("500 Internal Server Error", head, "failed\n"))
	case Lose:
		return false
	case Mute:
		// The read ends when the caller leaves.
		_, err := b.ReadByte()
		s.mu.Lock()
		s.cancelled[id] = err != nil
		s.mu.Unlock()
		return false
	case Truncate:
		s.write(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 1000\r\n\r\n"+text)
		return false
	case Foreign:
		other := strings.ReplaceAll(head, id, "another")
		return s.write(c, whole("200 OK", other, "not yours\n")+whole("200 OK", head, text))
	case Extra:
		return s.write(c, whole("200 OK", head, text)+whole("200 OK", head, "again\n"))
	case Unsealed:
		return s.write(c, whole("200 OK", s.names.Request+": "+id+"\r\n", text))
	}
	if streaming {
		return s.stream(c, r, head, do == Torn && r.Header.Get(s.names.LastEvent) == "")
	}
	return s.write(c, whole("200 OK", head, text))
}

func (s *Server) write(c net.Conn, text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

// stream sends events after the one that the caller has.
func (s *Server) stream(c net.Conn, r *http.Request, head string, torn bool) bool {
	// Without a number the stream begins at its start.
	last, _ := strconv.Atoi(r.Header.Get(s.names.LastEvent))
	if !s.write(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	for i := last + 1; i <= s.Events; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if torn && i == last+2 {
			event = event[:len(event)-4]
		}
		if !s.write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) || torn && i == last+2 {
			return false
		}
		time.Sleep(s.Gap)
	}
	return s.write(c, "0\r\n\r\n")
}
