// Package backend is a stand-in for a backend server. It counts how often each
// request runs and simulates the failures that a test selects.
package backend

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// Behaviour defines how a server handles a request.
type Behaviour string

// The behaviours of servers.
const (
	// Answer runs the request and sends a complete response.
	Answer Behaviour = "answer"
	// RejectNotRun rejects the request with status 503 without running it.
	RejectNotRun Behaviour = "shed"
	// Fail runs the request and responds with status 500.
	Fail Behaviour = "fail"
	// CloseAfterRun runs the request and closes the connection without a response.
	CloseAfterRun Behaviour = "lose"
	// Hang runs the request and sends nothing until the caller disconnects.
	Hang Behaviour = "mute"
	// Truncate runs the request, sends a part of the announced body and
	// closes the connection. Streams are sent as with Answer.
	Truncate Behaviour = "truncate"
	// TruncateStream runs the request and breaks off a stream inside its second
	// event. Resumed streams and other responses are sent as with Answer.
	TruncateStream Behaviour = "torn"
	// Unframed runs the request and sends a stream that has neither a length nor
	// chunks and ends with its connection.
	Unframed Behaviour = "unframed"
	// TruncateUnframed is Unframed with a stream that ends inside its second
	// event. Resumed streams and other responses are sent as with Answer.
	TruncateUnframed Behaviour = "torn unframed"
	// EndUnframed is Unframed with a server that ends after the first event, or
	// inside another body.
	EndUnframed Behaviour = "ends unframed"
	// GarbleStream runs the request and sends bytes that are no chunk after its first
	// event. The server does not notice that the connection closes: it works on for
	// GarbledRunTime. Resumed streams and other responses are sent as with Answer.
	GarbleStream Behaviour = "garble"
	// WrongRequestFirst runs the request and sends a response to another request
	// before the right one. Streams are sent as with Answer.
	WrongRequestFirst Behaviour = "foreign"
	// DuplicateResponse runs the request and sends a second response after the
	// first. Streams are sent as with Answer.
	DuplicateResponse Behaviour = "extra"
	// Unsealed runs the request and responds without the seal header.
	Unsealed Behaviour = "unsealed"
	// EndlessHead runs the request and sends a header field without end.
	EndlessHead Behaviour = "endless head"
	// EndlessBody runs the request and sends a body without end. A stream has
	// an event without end.
	EndlessBody Behaviour = "endless body"
	// EndlessUnsealed is EndlessBody without the seal header.
	EndlessUnsealed Behaviour = "endless unsealed body"
	// Trickle runs the request and then sends a space now and then, without end.
	Trickle Behaviour = "trickle"
	// TrickleComments is Trickle with comments of an event stream.
	TrickleComments Behaviour = "trickle of comments"
	// EndlessRejection rejects the request like RejectNotRun, with a body
	// without end that arrives slowly.
	EndlessRejection Behaviour = "endless rejection"
	// misdirected rejects a request for another server with status 421.
	misdirected Behaviour = "misdirected"
)

// HeaderNames holds the names of the headers that a server reads and writes.
type HeaderNames struct {
	Request   string
	LastEvent string
	Seal      string
	NotRun    string
	// Expected is the header with the ID of the server that the request is
	// for. A server rejects requests for other servers.
	Expected string
	// Prompt is the header that lists the parts of the prompt.
	Prompt string
	// Limit is the header with the limit that a server names.
	Limit string
	// Leaving is the header of a server that leaves, Return the one with a pause that
	// a server asks for.
	Leaving string
	Return  string
}

// DefaultHeaderNames holds the header names of package headers.
var DefaultHeaderNames = HeaderNames{
	Request: headers.Request, LastEvent: headers.LastEvent, Seal: headers.Seal, NotRun: headers.NotRun, Expected: headers.Server, Prompt: headers.Prompt, Limit: headers.Limit,
	Leaving: headers.Leaving, Return: headers.Return,
}

// Server is one backend server on a loopback address.
type Server struct {
	ID galenalatch.ServerID
	// Events is the number of events of a stream and Gap the pause after
	// each. They must not be changed while requests run.
	Events int
	Gap    time.Duration

	headerNames HeaderNames
	listener    net.Listener
	mu          sync.Mutex
	behaviour   Behaviour
	runs        map[string]int
	// working holds the requests that a report lists.
	working    map[string]bool
	cancelled  map[string]bool
	runHeaders []http.Header
	runLog     []Run
	// crashPart is the prompt part on which the server ends; empty if there is
	// none. ended is set once it has.
	crashPart string
	ended     bool
	open      map[net.Conn]struct{}
	// limit is the value of the limit that the server names, if any.
	limit string
	// leaving is set when the server says in its answers that it leaves, pause is the
	// time that it asks for in rejections.
	leaving     bool
	pause       string
	connections int
	received    int
}

// Run records one execution of a request.
type Run struct {
	ID   string
	Path string
	At   time.Time
}

// Log returns all runs so far, in the order of their start.
func (s *Server) Log() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runLog...)
}

// New returns a server that listens on a free loopback port, with the behaviour
// Answer. The caller must close it.
func New(id galenalatch.ServerID, n HeaderNames) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("backend server: %w", err)
	}
	s := &Server{
		ID: id, Events: 3, headerNames: n, listener: l, behaviour: Answer,
		runs: make(map[string]int), working: make(map[string]bool), cancelled: make(map[string]bool), open: make(map[net.Conn]struct{}),
	}
	go s.run()
	return s, nil
}

// Address returns the host and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening. Open connections stay open.
func (s *Server) Close() error { return s.listener.Close() }

// SetBehaviour changes the behaviour for requests that arrive from now on.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// CrashOn makes the server end when it begins a stream for a prompt with the part:
// it closes its listener and all connections after the head of the answer.
func (s *Server) CrashOn(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPart = part
}

// SetLimit makes the server name a limit in its answers. An empty one names none.
func (s *Server) SetLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// AnnounceLeaving makes the server say in all its answers that it leaves.
func (s *Server) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// RequestPause makes the server reject requests, with the time for which it wants none.
func (s *Server) RequestPause(pause string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour, s.pause = RejectNotRun, pause
}

// Ended reports whether the server has ended by a prompt part.
func (s *Server) Ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// crash ends the server.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	// The process has ended, so that errors of Close have no effect.
	_ = s.listener.Close()
	for c := range s.open {
		_ = c.Close()
	}
}

// crashes reports whether the server ends when it begins the answer to r.
func (s *Server) crashes(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashPart != "" && strings.Contains(" "+r.Header.Get(s.headerNames.Prompt), " "+s.crashPart+":")
}

// Runs returns how often the request with the given ID was run.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Arrivals returns the number of requests received, including those that were
// not run.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// Cancelled reports whether the caller disconnected while the request ran with
// the behaviour Hang.
func (s *Server) Cancelled(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled[id]
}

// RunHeaders returns the headers of all requests that were run, in the order of
// Log.
func (s *Server) RunHeaders() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.runHeaders...)
}

// Dials returns the number of connections accepted so far.
func (s *Server) Dials() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// run accepts connections until the listener is closed.
func (s *Server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		s.open[c] = struct{}{}
		s.mu.Unlock()
		go s.loop(c)
	}
}

// loop serves one connection.
func (s *Server) loop(c net.Conn) {
	// An error of Close has no effect: the connection has ended either way.
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil || !s.serve(c, b, r) {
			return
		}
	}
}

// serve responds to one request. It reports whether the connection can be used
// for another one.
func (s *Server) serve(c net.Conn, b *bufio.Reader, r *http.Request) bool {
	requestBody := new(strings.Builder)
	if _, err := bufio.NewReader(r.Body).WriteTo(requestBody); err != nil {
		return false
	}
	if r.URL.Path == headers.Report {
		return s.write(c, s.report())
	}
	id := r.Header.Get(s.headerNames.Request)
	s.mu.Lock()
	behaviour := s.behaviour
	if r.Header.Get(s.headerNames.Expected) != string(s.ID) {
		behaviour = misdirected
	}
	s.received++
	limit, pause, leaving := s.limit, s.pause, s.leaving
	if behaviour != RejectNotRun && behaviour != EndlessRejection && behaviour != misdirected {
		s.runs[id]++
		s.runLog = append(s.runLog, Run{ID: id, Path: r.URL.Path, At: time.Now()})
		s.runHeaders = append(s.runHeaders, r.Header.Clone())
	}
	s.mu.Unlock()
	header := fmt.Sprintf("%s: %s\r\n%s: seal-of-%s\r\n", s.headerNames.Request, id, s.headerNames.Seal, s.ID)
	if limit != "" {
		header += s.headerNames.Limit + ": " + limit + "\r\n"
	}
	announcement := ""
	if leaving {
		announcement = s.headerNames.Leaving + ": 1\r\n"
	}
	header += announcement
	responseBody := "served by " + string(s.ID) + " for " + id + "\n"
	response := func(status string, header, responseBody string) string {
		return "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: " + strconv.Itoa(len(responseBody)) + "\r\n\r\n" + responseBody
	}
	streaming := strings.HasPrefix(r.URL.Path, "/stream/")
	if streaming && (behaviour == WrongRequestFirst || behaviour == DuplicateResponse || behaviour == Truncate) {
		// These behaviours apply only to responses with Content-Length.
		behaviour = Answer
	}
	switch behaviour {
	case misdirected:
		return s.write(c, response("421 Misdirected Request", s.headerNames.Request+": "+id+"\r\n"+s.headerNames.NotRun+": 1\r\n"+announcement, ""))
	case RejectNotRun:
		if pause != "" {
			announcement += s.headerNames.Return + ": " + pause + "\r\n"
		}
		return s.write(c, response("503 Service Unavailable", s.headerNames.Request+": "+id+"\r\n"+s.headerNames.NotRun+": 1\r\n"+announcement, ""))
	case Fail:
		return s.write(c, response("500 Internal Server Error", header, "failed\n"))
	case CloseAfterRun:
		return false
	case Hang:
		// The read returns an error when the caller disconnects.
		_, err := b.ReadByte()
		s.mu.Lock()
		s.cancelled[id] = err != nil
		s.mu.Unlock()
		return false
	case Truncate:
		s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 1000\r\n\r\n"+responseBody)
		return false
	case WrongRequestFirst:
		otherHeader := strings.ReplaceAll(header, id, "another")
		return s.write(c, response("200 OK", otherHeader, "not yours\n")+response("200 OK", header, responseBody))
	case DuplicateResponse:
		return s.write(c, response("200 OK", header, responseBody)+response("200 OK", header, "again\n"))
	case EndlessHead:
		return s.writeEndless(c, "HTTP/1.1 200 OK\r\n"+header+"X-Long: ", endlessPiece, 0)
	case EndlessBody:
		return s.writeEndless(c, "HTTP/1.1 200 OK\r\n"+header+"\r\n", endlessPiece, 0)
	case EndlessUnsealed:
		return s.writeEndless(c, "HTTP/1.1 200 OK\r\n"+s.headerNames.Request+": "+id+"\r\n\r\n", endlessPiece, 0)
	case Trickle:
		return s.writeEndless(c, "HTTP/1.1 200 OK\r\n"+header+"\r\n", " ", trickleInterval)
	case TrickleComments:
		return s.writeEndless(c, "HTTP/1.1 200 OK\r\n"+header+"\r\n", ": still here\n\n", trickleInterval)
	case EndlessRejection:
		return s.writeEndless(c, "HTTP/1.1 503 Service Unavailable\r\n"+s.headerNames.Request+": "+id+"\r\n"+s.headerNames.NotRun+": 1\r\n\r\n", "x", 5*time.Millisecond)
	case EndUnframed:
		if !streaming {
			s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Connection: close\r\n\r\n"+responseBody[:len(responseBody)/2])
			s.crash()
			return false
		}
	case Unsealed:
		return s.write(c, response("200 OK", s.headerNames.Request+": "+id+"\r\n", responseBody))
	}
	if streaming {
		if behaviour == GarbleStream && r.Header.Get(s.headerNames.LastEvent) == "" {
			s.garble(c, id, header)
			return false
		}
		resumed := r.Header.Get(s.headerNames.LastEvent) != ""
		return s.stream(c, r, header, streamFaults{
			truncate: (behaviour == TruncateStream || behaviour == TruncateUnframed) && !resumed,
			unframed: behaviour == Unframed || behaviour == TruncateUnframed && !resumed || behaviour == EndUnframed,
			end:      behaviour == EndUnframed,
		})
	}
	return s.write(c, response("200 OK", header, responseBody))
}

// GarbledRunTime is how long a server works on a request after a garbled response.
const GarbledRunTime = 700 * time.Millisecond

// garble sends one event and bytes that are no chunk, and works on.
func (s *Server) garble(c net.Conn, id, header string) {
	s.setWorking(id, true)
	event := "id: 1\ndata: piece 1\n\n"
	s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+
		fmt.Sprintf("%x\r\n%s\r\n", len(event), event)+"no chunk\r\n")
	time.Sleep(GarbledRunTime)
	s.setWorking(id, false)
}

func (s *Server) setWorking(id string, working bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !working {
		delete(s.working, id)
		return
	}
	s.working[id] = true
}

// report returns a response that lists the requests of garbled responses that the
// server works on.
func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := strings.Join(slices.Collect(maps.Keys(s.working)), " ")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(ids), ids)
}

func (s *Server) write(c net.Conn, data string) bool {
	_, err := c.Write([]byte(data))
	return err == nil
}

// trickleInterval is the time between two pieces of a response that trickles.
const trickleInterval = 20 * time.Millisecond

// endlessPiece is repeated in responses without end.
var endlessPiece = strings.Repeat("x", 32<<10)

// writeEndless sends the start of a response, and then a piece again and again
// until the caller closes the connection.
func (s *Server) writeEndless(c net.Conn, start, piece string, pause time.Duration) bool {
	for ok := s.write(c, start); ok; ok = s.write(c, piece) {
		time.Sleep(pause)
	}
	return false
}

// streamFaults selects the failures of a stream: truncate breaks it off inside its
// second event, unframed sends neither a length nor chunks.
type streamFaults struct {
	truncate, unframed bool
	// end ends the server after the first event.
	end bool
}

// stream sends the events after the last one that the caller has received.
func (s *Server) stream(c net.Conn, r *http.Request, header string, f streamFaults) bool {
	// Without a valid number the stream starts at event 1.
	lastEvent, _ := strconv.Atoi(r.Header.Get(s.headerNames.LastEvent))
	framing, piece := "Transfer-Encoding: chunked\r\n", func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	if f.unframed {
		framing, piece = "Connection: close\r\n", func(data string) string { return data }
	}
	if !s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\n"+framing+"\r\n") {
		return false
	}
	if s.crashes(r) {
		s.crash()
		return false
	}
	for i := lastEvent + 1; i <= s.Events; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if f.truncate && i == lastEvent+2 {
			event = event[:len(event)-4]
		}
		if !s.write(c, piece(event)) || f.truncate && i == lastEvent+2 {
			return false
		}
		if f.end {
			s.crash()
			return false
		}
		time.Sleep(s.Gap)
	}
	return !f.unframed && s.write(c, "0\r\n\r\n")
}
