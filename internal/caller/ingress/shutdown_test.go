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
