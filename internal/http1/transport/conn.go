package transport

import (
	"net"
	"sync"

	"github.com/galenalatch/galenalatch/internal/http1/head"
)

// conn is a connection whose heads are checked as they are read.
type conn struct {
	net.Conn
	mu      sync.Mutex
	checker head.Checker
}

// Read implements net.Conn. It returns none of the bytes that were read with an invalid
// head.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if invalid := c.checker.Check(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// beginHead makes the next byte that is read the first one of a head.
func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Begin()
}
