// Package endless provides a stand-in of a server in trouble, whose responses have
// no end.
package endless

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// pieceSize is the least number of bytes that the server writes at once.
const pieceSize = 64 << 10

// Server answers each request with the start of a response, and then repeats a
// piece of it until the client closes the connection.
type Server struct {
	listener     net.Listener
	start, piece string
	read         atomic.Int64
	closed       chan struct{}
}

// New starts a server on loopback. The caller must call Close.
func New(start, piece string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: l, start: start, piece: strings.Repeat(piece, pieceSize/len(piece)+1), closed: make(chan struct{}, 1),
	}
	go s.run()
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *Server) Close() error { return s.listener.Close() }

// BytesRead returns the number of bytes that were read from connections that Dial
// has opened.
func (s *Server) BytesRead() int64 { return s.read.Load() }

// Closed receives a value when a client has closed a connection.
func (s *Server) Closed() <-chan struct{} { return s.closed }

// Dial opens a connection, like net.Dialer.DialContext, and counts what is read
// from it.
func (s *Server) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, read: &s.read}, nil
}

// run answers the requests of one connection after the other.
func (s *Server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.answer(c)
		select {
		case s.closed <- struct{}{}:
		default:
		}
	}
}

// answer returns when the client has closed the connection.
func (s *Server) answer(c net.Conn) {
	_, err := http.ReadRequest(bufio.NewReader(c))
	for data := s.start; err == nil; data = s.piece {
		_, err = io.WriteString(c, data)
	}
	// The connection is broken already.
	_ = c.Close()
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements io.Reader.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}
