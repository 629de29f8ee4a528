// Package backend is a stand-in for a backend server. It counts how often each
// request runs and simulates the failures that a test selects.
package backend

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

// Server is one backend server on a loopback address.
type Server struct {
	ID galenalatch.ServerID
	// Events is the number of events of a stream and Gap the pause after
	// each. They must not be changed while requests run.
	Events int
	Gap    time.Duration
	// Version, if set, is told in each event of a stream. It must not be changed while
	// requests run.
	Version string

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

func (s *Server) write(c net.Conn, data string) bool {
	_, err := c.Write([]byte(data))
	return err == nil
}
