package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// interleavedListener accepts connections that pause after bytes were taken from the
// socket and before the reader learns of them.
type interleavedListener struct {
	net.Listener
	taken, proceed chan struct{}
}

// Accept implements net.Listener.
func (l interleavedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &interleavedConn{c.(*net.TCPConn), l}, nil
}

type interleavedConn struct {
	*net.TCPConn
	listener interleavedListener
}

// Read implements io.Reader. net/http reads one byte at a time while a handler runs;
// these reads do not pause.
func (c *interleavedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && len(b) > 1 {
		c.listener.taken <- struct{}{}
		<-c.listener.proceed
	}
	return n, err
}

// Guards against a planned stop that closes a connection whose request the process has
// just taken from the socket, so that it ends without an answer.
func TestTakenRequestIsAnswered(t *testing.T) {
	for _, earlier := range []int{0, 1} {
		name := map[int]string{0: "first request", 1: "second request"}[earlier]
		t.Run(name, func(t *testing.T) {
			s := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			slow := interleavedListener{l, make(chan struct{}), make(chan struct{})}
			served := make(chan error, 1)
			go func() { served <- s.Serve(slow) }()
			c := dial(t, l.Addr().String())
			answers := bufio.NewReader(c)
			for i := range earlier + 1 {
				_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				assert.NilError(t, err)
				<-slow.taken
				if i == earlier {
					s.endUnused(time.Now().Add(newConnGrace))
				}
				slow.proceed <- struct{}{}
				a, err := http.ReadResponse(answers, nil)
				assert.NilError(t, err, "request %d", i+1)
				assert.Equal(t, a.StatusCode, http.StatusOK)
				assert.NilError(t, a.Body.Close())
			}
			assert.NilError(t, l.Close())
			assert.NilError(t, <-served)
			assert.NilError(t, s.Shutdown(context.Background()))
		})
	}
}

// Guards against a shutdown that takes the connection of a running request for an unused
// one, because the request was read together with the one before.
func TestPipelinedRequestIsRunning(t *testing.T) {
	began, finish := make(chan context.Context), make(chan struct{})
	s, address := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			began <- r.Context()
			<-finish
		}
	})
	c := dial(t, address)
	_, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	running := <-began
	s.endUnused(time.Now().Add(newConnGrace))
	time.Sleep(2 * shutdownInterval)
	assert.NilError(t, running.Err(), "the request counts as one whose caller has left")
	close(finish)
	answers := bufio.NewReader(c)
	for range 2 {
		a, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		assert.Equal(t, a.StatusCode, http.StatusOK)
		assert.NilError(t, a.Body.Close())
	}
}
