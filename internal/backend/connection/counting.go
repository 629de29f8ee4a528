package connection

import (
	"net"
	"sync"
)

// countingConn knows whether any byte was written since it was last armed.
type countingConn struct {
	net.Conn
	onClose func()

	mu     sync.Mutex
	closed bool
	// pending counts the writes that have not returned, written the bytes
	// of those that have.
	pending int
	written int64
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.pending++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.written += int64(n)
	return n, err
}

// Close implements net.Conn. No write starts after it.
func (c *countingConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if !first {
		return nil
	}
	err := c.Conn.Close()
	c.onClose()
	return err
}

func (c *countingConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// arm starts the count for the next request.
func (c *countingConn) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = 0
}

// untouched reports whether it is certain that no byte was written since the
// connection was armed. It holds for ever once the connection is closed.
func (c *countingConn) untouched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0 && c.written == 0
}
