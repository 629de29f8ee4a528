// Package broken provides a stand-in of a server in trouble, which answers requests with
// given bytes before it has read their bodies.
package broken

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Ending is what a server does with a connection after its last answer.
type Ending string

// The endings of connections.
const (
	// Wait reads until the client has closed the connection.
	Wait Ending = "wait"
	// Reset resets the connection.
	Reset Ending = "reset"
	// CloseWrite closes the sending side in order and reads until the client has
	// closed its side.
	CloseWrite Ending = "close the sending side"
	// CloseWriteAndReset closes the sending side in order and then resets the connection,
	// as a server does that does not read the rest of a request.
	CloseWriteAndReset Ending = "close the sending side and reset"
)

// Server gives the same answers on each connection.
type Server struct {
	listener net.Listener
	ending   Ending
	group    sync.WaitGroup

	mu       sync.Mutex
	answers  []string
	requests int
	open     map[net.Conn]struct{}
}

// New starts a server on loopback that answers the first requests of each connection. The
// caller must call Close.
func New(e Ending, answers ...string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("broken server: %w", err)
	}
	s := &Server{listener: l, ending: e, answers: answers, open: make(map[net.Conn]struct{})}
	s.group.Go(s.run)
	return s, nil
}

// Address returns the host and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetAnswers changes the answers on connections that are opened from now on.
func (s *Server) SetAnswers(answers ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = answers
}

// Requests returns the number of requests whose head was read.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Close stops accepting connections, closes all and waits until they have ended.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	for c := range s.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
	return err
}

// run accepts connections until the listener is closed.
func (s *Server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open[c] = struct{}{}
		answers := s.answers
		s.mu.Unlock()
		s.group.Go(func() { s.serve(c.(*net.TCPConn), answers) })
	}
}

// serve answers the requests of a connection. The client finds out about errors of the
// connection by itself.
func (s *Server) serve(c *net.TCPConn, answers []string) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for _, answer := range answers {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		_, _ = io.WriteString(c, answer)
	}
	switch s.ending {
	case Reset:
		// With a linger time of 0, Close sends a reset.
		_ = c.SetLinger(0)
		return
	case CloseWriteAndReset:
		_ = c.CloseWrite()
		_ = c.SetLinger(0)
		return
	case CloseWrite:
		_ = c.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c)
}
