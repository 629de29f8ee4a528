package link

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// changedConn is a connection whose first read, with the head of the response, is changed.
type changedConn struct {
	net.Conn
	change func(string) string
	rest   []byte
	read   bool
}

// Read implements net.Conn.
func (c *changedConn) Read(b []byte) (int, error) {
	if !c.read {
		c.read = true
		first := make([]byte, 4<<10)
		n, err := c.Conn.Read(first)
		if err != nil {
			return 0, err
		}
		c.rest = []byte(c.change(string(first[:n])))
	}
	if len(c.rest) > 0 {
		n := copy(b, c.rest)
		c.rest = c.rest[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// replaceFirst returns a change of the first occurrence of a text.
func replaceFirst(old, replacement string) func(string) string {
	return func(s string) string { return strings.Replace(s, old, replacement, 1) }
}

// expectConnected expects that two routers connect, or never do, when the responses to the
// handshakes are changed.
func expectConnected(t *testing.T, connected bool, change func(string) string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		_, a, _ := startPair(t, func(o *Options) {
			dial := o.DialContext
			o.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &changedConn{Conn: c, change: change}, nil
			}
		})
		a.Send("b", changesAsk(0))
		wait(time.Second)
		assert.Equal(t, a.Stats()["b"].Connected, connected)
	})
}

// Guards against a link to a peer whose response to the handshake has a broken status
// line.
func TestBrokenStatus(t *testing.T) {
	expectConnected(t, true, replaceFirst("", ""))
	for _, line := range []string{"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 +101 Trouble\r\n", "HTTP/1.1  101 Trouble\r\n", "HTTP/2.0 101 Trouble\r\n", "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 101 Trouble\r\n"} {
		expectConnected(t, false, replaceFirst("HTTP/1.1 101 Switching Protocols\r\n", line))
	}
}

// Guards against a link to a peer whose response to the handshake has a line that is no
// field.
func TestBrokenField(t *testing.T) {
	for _, line := range []string{"X Trouble: 1\r\n", "X-Trouble : 1\r\n", " X-Trouble: 1\r\n", "X-Tr\x01ouble: 1\r\n", "X-Trouble\r\n", "X-Trouble:\r\n 1\r\n"} {
		expectConnected(t, false, replaceFirst("Upgrade: websocket\r\n", "Upgrade: websocket\r\n"+line))
	}
}
