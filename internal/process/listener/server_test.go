package listener

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a planned stop that keeps listening on one address, and takes requests
// there which are cut at its end, while a running answer on another one holds it up.
func TestShutdownClosesAllListeners(t *testing.T) {
	s := New(0)
	began, finish := make(chan struct{}), make(chan struct{})
	var addresses []string
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s.UseListener(l)
		addresses = append(addresses, l.Addr().String())
		s.Handle(l.Addr().String(), "/long", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			began <- struct{}{}
			<-finish
		}))
	}
	assert.NilError(t, s.Open())
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	// Open sorts the addresses; each of them holds the shutdown of the other up in turn.
	for _, a := range addresses {
		c, err := net.Dial("tcp", a)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		<-began
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	for _, a := range addresses {
		refused := false
		for end := time.Now().Add(time.Second); !refused && time.Now().Before(end); time.Sleep(time.Millisecond) {
			c, err := net.Dial("tcp", a)
			refused = err != nil
			if err == nil {
				assert.NilError(t, c.Close())
			}
		}
		assert.Assert(t, refused, "%s still listens", a)
	}
	close(finish)
	assert.NilError(t, <-stopped)
	assert.NilError(t, <-ended)
}
