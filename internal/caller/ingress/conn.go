package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/memory"
)

// callerConn is an accepted connection.
type callerConn struct {
	net.Conn
	server   *Server
	accepted time.Time
	account  memory.Connection
	// inHead is set from the first byte of a request until its handler runs. What is
	// read later is that of a body.
	inHead atomic.Bool
	// bodyRead is set when the body was read to its end. It belongs to the handler.
	bodyRead bool
	// headCost is the memory of the head that is being read, in bytes.
	headCost atomic.Int64
	// writes is odd during a write. observedWrites, observedQueue and blockedSince are
	// those of the last sweep, which alone uses them.
	writes         atomic.Uint64
	observedWrites uint64
	observedQueue  int
	blockedSince   time.Time
	// wasRead is set when the first bytes were read or the connection ended.
	wasRead atomic.Bool

	mu sync.Mutex
	// waiting is set while no byte of the next request was read.
	waiting bool
	// ending is set when the connection is to end instead of waiting for a request.
	ending bool
	// readDeadline is the deadline that net/http has set.
	readDeadline time.Time
}

// passedDeadline is a deadline that makes a read return at once.
var passedDeadline = time.Unix(1, 0)

func newCallerConn(s *Server, c net.Conn) *callerConn {
	return &callerConn{Conn: c, server: s, accepted: time.Now(), waiting: true}
}

// awaitRequest records that the next bytes belong to another request.
func (c *callerConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	if c.ending {
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(passedDeadline)
	}
}

// endUnused ends the connection if it waits for a request. The decision is left to the
// goroutine that reads: only that knows whether bytes were taken from the socket, and a
// request that was taken must be answered.
func (c *callerConn) endUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending && !c.waiting {
		return
	}
	c.ending = true
	if c.waiting {
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(passedDeadline)
	}
}

// Read implements io.Reader. It returns io.EOF if the connection is to end and no
// request has arrived.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			return c.readBytes(b[:n], err)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isEnding() {
			return n, err
		}
		if c.peek() != peekBytes {
			return 0, io.EOF
		}
		if err := c.beginRequest(nil); err != nil {
			return 0, err
		}
	}
}

// errHeadCut ends a connection whose head needs memory that others need more. net/http
// closes the connection after an error of this kind and sends no answer.
var errHeadCut = &net.OpError{Op: "read", Err: errors.New("no memory for the head of a request")}

// readBytes records that bytes were read, and charges them if they belong to a head.
func (c *callerConn) readBytes(b []byte, err error) (int, error) {
	err = c.beginRequest(err)
	if c.inHead.Load() && !c.chargeHead(b) {
		return 0, errHeadCut
	}
	return len(b), err
}

// beginRequest records that bytes of a request were read or have arrived, and restores
// the deadline that endUnused has replaced. It returns err if that succeeds.
func (c *callerConn) beginRequest(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.ending {
		err = errors.Join(err, c.Conn.SetReadDeadline(c.readDeadline))
	}
	if c.waiting {
		c.budget().BeginHead(time.Now(), &c.account)
		c.inHead.Store(true)
	}
	c.waiting = false
	return err
}

// beginServing records that a handler runs. It reports false if the connection has to
// give way.
func (c *callerConn) beginServing() bool {
	// A request that its caller has sent before the answer to the last one may have been
	// read with that. An error means that the connection is closed.
	_ = c.beginRequest(nil)
	c.inHead.Store(false)
	c.bodyRead = false
	return c.budget().BeginRequest(&c.account)
}

// endServing gives back what the request holds, and bounds the time in which net/http
// discards a body that was not read.
func (c *callerConn) endServing(r *http.Request) {
	if r.ContentLength != 0 && !c.bodyRead {
		Account{c}.AbandonBody()
	}
	c.headCost.Store(0)
	c.budget().EndRequest(time.Now(), &c.account)
	c.server.releases.announce()
}

// isEnding reports whether the connection is to end and waits for a request.
func (c *callerConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && c.waiting
}

// endsAfterRequest reports whether the connection is to end after the request that runs.
func (c *callerConn) endsAfterRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending && c.waiting {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
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
