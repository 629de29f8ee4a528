package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/broken"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

// uploadSize is more than the kernel buffers for a connection, in bytes.
const uploadSize = 32 << 20

// failingWriteConn is a connection whose upload notices that the connection broke before
// the rest of the response is read.
type failingWriteConn struct {
	net.Conn
	failed chan struct{}
	once   sync.Once
	reads  int
}

// Write implements net.Conn.
func (c *failingWriteConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// Read implements net.Conn. All reads but the first wait for the failed write.
func (c *failingWriteConn) Read(b []byte) (int, error) {
	c.reads++
	if c.reads > 1 {
		<-c.failed
	}
	return c.Conn.Read(b)
}

func dialFailingWrite(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &failingWriteConn{Conn: c, failed: make(chan struct{})}, nil
}

// uploadTo sends a request with a long body and reads its response.
func uploadTo(t *testing.T, s *broken.Server, dial Dialer) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c := New(Options{Dial: dial, Headers: headers.Headers{}, DialTimeout: time.Second, MaxIdle: 2})
	a, err := c.Send(ctx, &Request{
		ID: "r-1", Server: "s1", Address: s.Address(), Method: "POST", URI: "/", Host: "a.example",
		Header: http.Header{headers.Request: {"r-1"}}, Body: [][]byte{bytes.Repeat([]byte("u"), uploadSize)},
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a.Body)
	assert.NilError(t, ctx.Err(), "the response was read for 10 s")
	a.Close()
	return string(body), err
}

const (
	earlyHead = "HTTP/1.1 200 OK\r\n" + headers.Request + ": r-1\r\n" + headers.Seal + ": 1\r\n"
	// earlyBodySize fits into one packet, so that a reset does not overtake it.
	earlyBodySize = 2000
)

// Guards against a part of a body of unknown length that counts as whole: the connection
// was reset while the request was written, and the write has taken the error.
func TestResetDuringUpload(t *testing.T) {
	body := strings.Repeat("b", earlyBodySize)
	chunk := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	tests := []struct{ name, rest string }{
		{"no length", "\r\n" + body},
		{"no length, no body", "\r\n"},
		{"no length, connection closed", "Connection: close\r\n\r\n" + body},
		{"no length, event stream", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n"},
		{"no length, interim response", "\r\n" + body},
		{"a part of the length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(body), body)},
		{"a part of the chunks", chunk},
		{"no last line of the chunks", chunk + "0\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			answer := earlyHead + tt.rest
			if strings.Contains(tt.name, "interim") {
				answer = "HTTP/1.1 103 Early Hints\r\n\r\n" + answer
			}
			s, err := broken.New(broken.Reset, answer)
			assert.NilError(t, err)
			defer func() { assert.NilError(t, s.Close()) }()
			received, err := uploadTo(t, s, dialFailingWrite)
			assert.Assert(t, err != nil, "a part of %d bytes counts as whole", len(received))
		})
	}
}

// Guards against a sound response that is rejected, since it came before the request was
// read, or is delayed until then.
func TestResponseBeforeUpload(t *testing.T) {
	body := strings.Repeat("b", earlyBodySize)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	dial := (&net.Dialer{}).DialContext
	tests := []struct {
		name, rest string
		ending     broken.Ending
		dial       Dialer
	}{
		{"length", length, broken.Wait, dial},
		{"length", length, broken.CloseWrite, dial},
		{"length", length, broken.CloseWriteAndReset, dial},
		{"length", length, broken.Reset, dialFailingWrite},
		{"chunks", chunks, broken.Wait, dial},
		{"chunks", chunks, broken.CloseWrite, dial},
		{"chunks", chunks, broken.CloseWriteAndReset, dial},
		{"chunks", chunks, broken.Reset, dialFailingWrite},
		{"no length", "\r\n" + body, broken.CloseWrite, dial},
		{"no length", "\r\n" + body, broken.CloseWriteAndReset, dial},
		{"no length, failed write", "\r\n" + body, broken.CloseWriteAndReset, dialFailingWrite},
	}
	for _, tt := range tests {
		t.Run(tt.name+"/"+string(tt.ending), func(t *testing.T) {
			s, err := broken.New(tt.ending, earlyHead+tt.rest)
			assert.NilError(t, err)
			defer func() { assert.NilError(t, s.Close()) }()
			start := time.Now()
			received, err := uploadTo(t, s, tt.dial)
			assert.NilError(t, err)
			assert.Equal(t, received, body)
			assert.Assert(t, time.Since(start) < 5*time.Second)
		})
	}
}

// endedConn is a connection that has ended: a write has the error, a read finds the end of
// the connection after the head of a response.
type endedConn struct {
	net.Conn
	head  io.Reader
	write error
}

func (c *endedConn) Write([]byte) (int, error)        { return 0, c.write }
func (c *endedConn) Read(b []byte) (int, error)       { return c.head.Read(b) }
func (c *endedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *endedConn) Close() error                     { return nil }

// Guards against a connection that broke in another way than by a reset, and against a
// body that counts as cut off although its server has closed the connection in order.
func TestEndOfUpload(t *testing.T) {
	tests := []struct {
		write error
		whole bool
	}{
		{syscall.ECONNRESET, false},
		{syscall.ETIMEDOUT, false},
		{syscall.EHOSTUNREACH, false},
		{net.ErrClosed, false},
		{syscall.EPIPE, true},
		{os.ErrDeadlineExceeded, true},
	}
	for _, tt := range tests {
		ended := func(context.Context, string, string) (net.Conn, error) {
			return &endedConn{head: strings.NewReader(earlyHead + "\r\nbody"), write: &net.OpError{Op: "write", Err: tt.write}}, nil
		}
		c := New(Options{Dial: ended, Headers: headers.Headers{}, DialTimeout: time.Second, MaxIdle: 2})
		a, err := c.Send(t.Context(), &Request{ID: "r-1", Server: "s1", Method: "POST", URI: "/", Header: http.Header{}, Body: [][]byte{[]byte("upload")}})
		assert.NilError(t, err)
		body, err := io.ReadAll(a.Body)
		assert.Equal(t, err == nil, tt.whole, "%v: %v", tt.write, err)
		assert.Equal(t, string(body), "body")
		a.Close()
	}
}
