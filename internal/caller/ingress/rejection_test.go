package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an overloaded router that closes connections without an answer: the
// caller cannot know that its request was not run, nor when to come back. Some callers
// send all of a long request before they read.
func TestRejectedConnectionIsAnswered(t *testing.T) {
	handled := false
	s := &Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true }),
		Admit:   func() bool { return false }, RejectionHeader: http.Header{"Retry-After": {"0.3"}},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, size := range []int{0, 100, 200 << 10} {
		r, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+l.Addr().String(), strings.NewReader(strings.Repeat("x", size)))
		assert.NilError(t, err)
		a, err := client.Do(r)
		assert.NilError(t, err, "a body of %d bytes", size)
		_, err = io.Copy(io.Discard, a.Body)
		assert.NilError(t, err)
		assert.NilError(t, a.Body.Close())
		assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, a.Header.Get("Retry-After"), "0.3")
		assert.Assert(t, a.Close, "the connection stays open")
	}
	assert.NilError(t, l.Close())
	assert.NilError(t, <-done)
	assert.NilError(t, s.Shutdown(context.Background()))
	assert.Assert(t, !handled)
	assert.Equal(t, s.ShedConnections(), int64(3))
}

// Guards against an answer that is lost because the connection is reset while its
// caller still sends.
func TestRejectionOfSlowSender(t *testing.T) {
	s := &Server{Handler: http.NotFoundHandler(), Admit: func() bool { return false }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n")
	assert.NilError(t, err)
	for range 3 {
		time.Sleep(rejectTime / 10)
		_, err = io.WriteString(c, "ten bytes.")
		assert.NilError(t, err)
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	assert.NilError(t, a.Body.Close())
	assert.NilError(t, c.Close())
	assert.NilError(t, l.Close())
	assert.NilError(t, <-done)
	assert.NilError(t, s.Shutdown(context.Background()))
}

// Guards against an answer that is lost because a request was taken for complete, and
// against rejected connections that stay open for long because none is.
func TestIsComplete(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"
	tests := []struct {
		request  string
		complete bool
	}{
		{"", false},
		{head, false},
		{head + "\r\n", true},
		{head + "Content-Length: 3\r\n\r\nab", false},
		{head + "content-length:3\r\n\r\nabc", true},
		{head + "Content-Length: x\r\n\r\nabc", false},
		{head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
	}
	for _, tt := range tests {
		assert.Equal(t, isComplete([]byte(tt.request)), tt.complete, "%q", tt.request)
	}
}
