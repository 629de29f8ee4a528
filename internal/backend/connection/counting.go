package connection

import (
	"io"
	"net"
	"sync"
	"time"
)

// lingerTime bounds the wait for a server to notice that its request was
// cancelled. It is many times the latency between two data centres.
const lingerTime = 250 * time.Millisecond

// countingConn knows whether any byte was written since it was last armed.
//
// Closing it during a request closes only the sending side at first. The
// server then stops the request and closes its own side, for which linger
// waits. Until then the request may use the server's capacity.
type countingConn struct {
	net.Conn
	onClose func()

	mu     sync.Mutex
	closed bool
	// armed is set while a request is in flight, half when the connection
	// was closed during it and linger has not been called yet.
	armed bool
	half  bool
	// request counts the calls of arm. Only writes that began since the last
	// one belong to the request.
	request int
	// pending counts the writes that have not returned, written the bytes
	// of those that have.
	pending int
	written int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.pending++
	request := c.request
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if request == c.request {
		c.pending--
		c.written += int64(n)
	}
	return n, err
}

// Close implements net.Conn. No write starts after it.
func (c *countingConn) Close() error {
	first, err := c.shut()
	if first {
		c.onClose()
	}
	return err
}

// shut closes the connection, or its sending side when linger is to follow.
func (c *countingConn) shut() (first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false, nil
	}
	c.closed = true
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.armed && h.CloseWrite() == nil {
		c.half = true
		// Ends the reads and writes of the transport.
		return true, c.Conn.SetDeadline(time.Unix(1, 0))
	}
	return true, c.Conn.Close()
}

// linger waits until the server has closed its side too.
func (c *countingConn) linger() {
	c.mu.Lock()
	half := c.half
	c.half = false
	c.mu.Unlock()
	if !half {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// The rest of an answer that nobody wants.
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
}

func (c *countingConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// arm starts the count for the next request. The answer to the request before
// can be complete before its write has returned here.
func (c *countingConn) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = true
	c.request++
	c.pending, c.written = 0, 0
}

// disarm ends a request whose whole answer has been read.
func (c *countingConn) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = false
}

// untouched reports whether it is certain that no byte was written since the
// connection was armed. It holds for ever once the connection is closed.
func (c *countingConn) untouched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0 && c.written == 0
}
