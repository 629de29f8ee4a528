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
	"gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch"
)

// busyListener accepts connections whose first bytes are read late, like on a router
// without processor time.
type busyListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l busyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &busyConn{c.(*net.TCPConn), l.delay}, nil
}

type busyConn struct {
	*net.TCPConn
	delay time.Duration
}

// Read implements io.Reader.
func (c *busyConn) Read(b []byte) (int, error) {
	time.Sleep(c.delay)
	c.delay = 0
	return c.TCPConn.Read(b)
}

// Guards against a planned stop that cuts off requests which have just been accepted:
// those that wait for the processor, and those whose connection was opened just before.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	tests := []struct {
		name string
		// busy is the delay of the first read, sentAfter the time from the start of the
		// shutdown until the request is sent.
		busy, sentAfter time.Duration
	}{
		{"waiting for the processor", 300 * time.Millisecond, 0},
		{"sent during the shutdown", 0, newConnGrace / 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			served := make(chan error, 1)
			go func() { served <- s.Serve(busyListener{l, tt.busy}) }()
			c, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			const request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
			if tt.sentAfter == 0 {
				_, err = io.WriteString(c, request)
				assert.NilError(t, err)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if s.OpenConnections() == 0 {
					return poll.Continue("the connection is not accepted yet")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			assert.NilError(t, l.Close())
			assert.NilError(t, <-served)
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(context.Background()) }()
			if tt.sentAfter > 0 {
				time.Sleep(tt.sentAfter)
				_, err = io.WriteString(c, request)
				assert.NilError(t, err)
			}
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, a.StatusCode, http.StatusOK)
			assert.NilError(t, a.Body.Close())
			assert.NilError(t, <-stopped)
		})
	}
}

// exchangeOn sends a request on a kept connection and reads its answer.
func exchangeOn(t *testing.T, c net.Conn, path string) {
	t.Helper()
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, a.Body)
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
}

// assertClosed fails unless the server closes c within a second.
func assertClosed(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a planned stop that keeps idle connections open, and takes requests on
// them which are cut at its end, while another connection holds the stop up: one of
// earlier limits with a running answer, or one with an incomplete request head.
func TestShutdownClosesIdleConnections(t *testing.T) {
	tests := []struct {
		name string
		// hold makes a connection that holds the stop up until the returned function.
		hold func(t *testing.T, address string, finish chan struct{}) func()
	}{
		{"a running answer under earlier limits", func(t *testing.T, address string, finish chan struct{}) func() {
			c := dial(t, address)
			_, err := io.WriteString(c, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			return func() { close(finish) }
		}},
		{"an incomplete head", func(t *testing.T, address string, _ chan struct{}) func() {
			c := dial(t, address)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
			assert.NilError(t, err)
			return func() { _ = c.Close() }
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			finish := make(chan struct{})
			s, address := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/long" {
					<-finish
				}
			})
			end := tt.hold(t, address, finish)
			defer end()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if s.OpenConnections() == 0 {
					return poll.Continue("the connection is not accepted yet")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			s.SetLimits(galenalatch.CallerLimits{IdleTimeout: time.Minute})
			kept := dial(t, address)
			exchangeOn(t, kept, "/")
			go func() { _ = s.Shutdown(context.Background()) }()
			assertClosed(t, kept)
		})
	}
}

// dial returns a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}
