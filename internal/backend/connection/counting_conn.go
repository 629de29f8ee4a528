package connection

import (
	"io"
	"net"
	"sync"
	"time"
)

// lingerTimeout is how long linger waits for the server to close its side. It
// is many times the latency between two data centres.
const lingerTimeout = 250 * time.Millisecond

// countingConn counts the bytes that were written since the last call of
// startRequest.
//
// Close during a request closes only the sending side. The server then cancels
// the request and closes its own side, for which linger waits. Until then the
// request may occupy a slot of the server.
type countingConn struct {
	net.Conn
	onClose func()

	mu     sync.Mutex
	closed bool
	// broken is set when a write has failed although the connection was not closed.
	broken bool
	// inRequest is set while a request is in flight. halfClosed is set when the
	// connection was closed during a request and linger was not called yet.
	inRequest  bool
	halfClosed bool
	// requests counts the calls of startRequest. Only writes that started after
	// the last call belong to the current request.
	requests int
	// pendingWrites counts the writes of the current request that have not
	// returned, bytesWritten the bytes of those that have.
	pendingWrites int
	bytesWritten  int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn. A write that fails because the server has broken off the
// connection counts as done: the server may have answered before, and http.Transport would
// close the connection instead of reading the answer. If there is none, a read fails.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.pendingWrites++
	request := c.requests
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if request == c.requests {
		c.pendingWrites--
		c.bytesWritten += int64(n)
	}
	if err != nil && !c.closed {
		c.broken = true
		return len(b), nil
	}
	return n, err
}

// Close implements net.Conn. No write starts after Close.
func (c *countingConn) Close() error {
	first, err := c.closeOnce()
	if first {
		c.onClose()
	}
	return err
}

// closeOnce closes the connection, or only its sending side during a request. It
// reports whether this was the first call; all others do nothing.
func (c *countingConn) closeOnce() (first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false, nil
	}
	c.closed = true
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.inRequest && h.CloseWrite() == nil {
		c.halfClosed = true
		// A deadline in the past ends the reads and writes of the transport.
		return true, c.Conn.SetDeadline(time.Unix(1, 0))
	}
	return true, c.Conn.Close()
}

// linger waits until the server has closed its side after a close during a
// request, at most for lingerTimeout, and then closes the connection.
func (c *countingConn) linger() {
	c.mu.Lock()
	half := c.halfClosed
	c.halfClosed = false
	c.mu.Unlock()
	if !half {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		// Discard the rest of the response.
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
}

func (c *countingConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// isReusable reports whether the connection can carry another request.
func (c *countingConn) isReusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.broken
}

// startRequest resets the counts for the next request. A write of the previous
// request may return later than its response was received.
func (c *countingConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = true
	c.requests++
	c.pendingWrites, c.bytesWritten = 0, 0
}

// endRequest records that the response was read to its end.
func (c *countingConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = false
}

// nothingWritten reports whether certainly no byte was written since the last
// call of startRequest. The result is final once the connection is closed.
func (c *countingConn) nothingWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingWrites == 0 && c.bytesWritten == 0
}
