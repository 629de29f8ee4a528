package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

func newServer(t *testing.T, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	s := &Server{Handler: h, MaxConnections: 8}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, l.Close())
		assert.NilError(t, s.Shutdown(context.Background()))
		assert.NilError(t, <-done)
	})
	return s, l.Addr().String()
}

func get(t *testing.T, client *http.Client, url string, header string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), "GET", url, nil)
	assert.NilError(t, err)
	r.Header.Set("X-Long", header)
	a, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
		assert.NilError(t, a.Body.Close())
	}
	return a, err
}

// Guards against limits that take effect only after a restart, and against a
// change of the limits that closes open connections.
func TestLimitsChange(t *testing.T) {
	s, address := newServer(t, func(w http.ResponseWriter, r *http.Request) {})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	a, err := get(t, client, "http://"+address, strings.Repeat("x", 6000))
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusOK)

	s.SetLimits(galenalatch.CallerLimits{HeaderBytes: 1000, IdleTimeout: time.Minute})
	a, err = get(t, client, "http://"+address, "short")
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusOK)
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err = get(t, fresh, "http://"+address, strings.Repeat("x", 8000))
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against a process that runs out of file descriptors because callers
// leave connections open.
func TestManyConnections(t *testing.T) {
	s, address := newServer(t, func(w http.ResponseWriter, r *http.Request) {})
	for i := range 6 {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		a, err := get(t, client, "http://"+address, "")
		assert.NilError(t, err)
		assert.Equal(t, a.Close, i >= int(closeThreshold*float64(s.MaxConnections)), "connection %d", i)
	}
}
