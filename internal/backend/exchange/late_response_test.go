package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// keptConnServer serves requests on its first connection. Before the answer to the
// second one it sends late, which no request asked for.
type keptConnServer struct {
	listener net.Listener
	late     string
	done     chan error
}

func newKeptConnServer(t *testing.T, late string) *keptConnServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &keptConnServer{listener: l, late: late, done: make(chan error, 1)}
	go s.run()
	t.Cleanup(func() {
		assert.NilError(t, l.Close())
		assert.NilError(t, <-s.done)
	})
	return s
}

func (s *keptConnServer) run() {
	s.done <- s.serve()
}

func (s *keptConnServer) serve() error {
	c, err := s.listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := range 2 {
		request, err := http.ReadRequest(r)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return err
		}
		id := request.Header.Get(headers.Request)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", headers.Request, id, headers.Seal, len(id), id)
		if i == 1 {
			answer = s.late + answer
		}
		// Byte by byte, so that the end of each answer falls into reads of its own.
		for _, b := range []byte(answer) {
			if _, err := c.Write([]byte{b}); err != nil {
				return nil
			}
		}
	}
	return nil
}

// Guards against a late second answer on a connection that is in use again, which the
// next caller takes for its own: also one without the id of a request, which says that a
// request was not run, so that the next one would run twice.
func TestLateSecondAnswer(t *testing.T) {
	tests := []struct{ name, late string }{
		{"of the previous request", "HTTP/1.1 200 OK\r\n" + headers.Request + ": r-1\r\n" + headers.Seal + ": 1\r\nContent-Length: 3\r\n\r\nr-1"},
		{"in chunks", "HTTP/1.1 200 OK\r\n" + headers.Request + ": r-1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nr-1\r\n0\r\n\r\n"},
		{"without a body", "HTTP/1.1 204 No Content\r\n" + headers.Request + ": r-1\r\n\r\n"},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + headers.Request + ": r-1\r\nContent-Length: 3\r\n\r\nr-1"},
		{"not run", "HTTP/1.1 503 Service Unavailable\r\n" + headers.Request + ": r-1\r\n" + headers.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"},
		{"not run, without an id", "HTTP/1.1 503 Service Unavailable\r\n" + headers.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"},
		{"for another server, without an id", "HTTP/1.1 421 Misdirected Request\r\n" + headers.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"},
		{"without any header", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nr-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newKeptConnServer(t, tt.late)
			c := New(Options{Dial: (&net.Dialer{}).DialContext, Headers: headers.Headers{}, MaxIdle: 1, DialTimeout: time.Second})
			for _, id := range []galenalatch.RequestID{"r-1", "r-2"} {
				a, err := c.Send(t.Context(), &Request{
					ID: id, Server: "s1", Address: s.listener.Addr().String(), Method: "POST", URI: "/", Host: "a.example",
					Header: http.Header{headers.Request: {string(id)}},
				})
				assert.NilError(t, err)
				assert.Equal(t, a.Head.ID, id)
				assert.Assert(t, !a.Head.NotRun)
				body, err := io.ReadAll(a.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), string(id))
				a.Close()
			}
			assert.Equal(t, c.Idle(), 0, "the connection is not kept")
		})
	}
}
