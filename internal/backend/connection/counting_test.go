package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/galenalatch/galenalatch"
	standin "github.com/galenalatch/galenalatch/internal/standin/service"
	"gotest.tools/v3/assert"
)

// failingConn fails writes that contain a request after passing on some
// bytes of them. When stuck is set, it calls it then and fails when closed.
type failingConn struct {
	net.Conn
	pass   int
	stuck  func()
	closed chan struct{}
}

func (c failingConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

func (c failingConn) Write(b []byte) (int, error) {
	if !strings.Contains(string(b), "/pickups/") {
		return c.Conn.Write(b)
	}
	n, err := c.Conn.Write(b[:c.pass])
	if c.stuck != nil {
		c.stuck()
		<-c.closed
	}
	return n, errors.Join(err, errors.New("network failed"))
}

// TestFailedWrites guards against notRun after a part of the request was
// written, and against outcomeUnknown when nothing was.
func TestFailedWrites(t *testing.T) {
	for pass, outcome := range map[int]galenalatch.Outcome{
		0: galenalatch.NotRun, 1: galenalatch.OutcomeUnknown, 40: galenalatch.OutcomeUnknown,
	} {
		s := standin.New(standin.Settings{})
		address := start(t, s)
		p := New(WithDial(func(ctx context.Context, nw, a string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, nw, a)
			return failingConn{Conn: c, pass: pass, closed: make(chan struct{})}, err
		}))
		defer p.Close()
		err := send(t.Context(), p, order(address, s.Boot(), "1", http.MethodPost, "x"))
		assert.Equal(t, galenalatch.OutcomeOf(err), outcome, "%v", err)
		assert.Equal(t, s.Stats().Received["1"], 0)
	}
}

// TestStuckWrite guards against notRun for a write that was stuck when the
// caller went away, and against waiting for it.
func TestStuckWrite(t *testing.T) {
	for pass, outcome := range map[int]galenalatch.Outcome{0: galenalatch.NotRun, 40: galenalatch.Cancelled} {
		s := standin.New(standin.Settings{})
		address := start(t, s)
		ctx, cancel := context.WithCancel(t.Context())
		p := New(WithDial(func(ctx context.Context, nw, a string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, nw, a)
			return failingConn{c, pass, cancel, make(chan struct{})}, err
		}))
		defer p.Close()
		err := send(ctx, p, order(address, s.Boot(), "1", http.MethodPost, "x"))
		assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindCallerGone)
		assert.Equal(t, galenalatch.OutcomeOf(err), outcome)
	}
}
