package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
)

// callerConn is an accepted connection.
type callerConn struct {
	net.Conn
	accepted time.Time
	// wasRead is set when the first bytes were read or the connection ended.
	wasRead atomic.Bool
	// waiting is set while no byte of the next request was read.
	waiting atomic.Bool
}

func newCallerConn(c net.Conn) *callerConn {
	k := &callerConn{Conn: c, accepted: time.Now()}
	k.awaitRequest()
	return k
}

// awaitRequest records that the next bytes belong to another request.
func (c *callerConn) awaitRequest() { c.waiting.Store(true) }

// Read implements io.Reader.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.waiting.Store(false)
	}
	return n, err
}

// CloseWrite closes the sending side, so that the caller can read a response
// whose request was not read completely. net/http calls it.
func (c *callerConn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return w.CloseWrite()
}

// closeUnused closes the connection unless a request has arrived on it.
func (c *callerConn) closeUnused() {
	if c.waiting.Load() && c.peek() != peekBytes {
		_ = c.Close()
	}
}

// connListener passes accepted connections to the http.Server of one set of
// limits.
type connListener struct {
	limits galenalatch.CallerLimits
	conns  chan *callerConn
	closed chan struct{}
	once   sync.Once
	addr   net.Addr
}

// Accept implements net.Listener.
func (g *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *connListener) Close() error {
	g.once.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener.
func (g *connListener) Addr() net.Addr { return g.addr }
