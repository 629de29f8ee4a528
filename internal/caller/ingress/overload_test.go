package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/decide/overload"
)

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	// newest is the connection that was accepted last.
	newest *costlyConn
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		l.newest, _ = c.(*costlyConn)
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error { close(l.closed); return nil }

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// processor is used by one connection at a time, in order of arrival.
type processor struct {
	busy chan struct{}
	// wait is how long the last user had to wait, in nanoseconds.
	wait atomic.Int64
}

func (p *processor) use(d time.Duration) {
	start := time.Now()
	p.busy <- struct{}{}
	p.wait.Store(int64(time.Since(start)))
	time.Sleep(d)
	<-p.busy
}

// costlyConn is a connection whose first bytes take processor time.
type costlyConn struct {
	net.Conn
	processor *processor
	cost      time.Duration
	once      sync.Once
}

// Read implements io.Reader.
func (c *costlyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.once.Do(func() { c.processor.use(c.cost) })
	}
	return n, err
}

// callers make one call each and leave after their patience.
type callers struct {
	listener  *pipeListener
	processor *processor
	cost      time.Duration
	patience  time.Duration
	running   sync.WaitGroup

	mu sync.Mutex
	// answered and left are the start times of the calls that were answered and
	// of those whose caller left. turnedAway is the longest time until a call was
	// rejected or its connection closed.
	answered, left []time.Time
	turnedAway     time.Duration
}

func (c *callers) call() {
	defer c.running.Done()
	start := time.Now()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	if near.SetDeadline(start.Add(c.patience)) != nil {
		return
	}
	select {
	case c.listener.conns <- &costlyConn{Conn: far, processor: c.processor, cost: c.cost}:
	case <-time.After(c.patience):
	}
	// A rejected request is answered before it is read.
	go func() { _, _ = io.WriteString(near, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
	a, err := http.ReadResponse(bufio.NewReader(near), nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil && a.StatusCode == http.StatusOK:
		c.answered = append(c.answered, start)
	case time.Since(start) >= c.patience:
		c.left = append(c.left, start)
	default:
		c.turnedAway = max(c.turnedAway, time.Since(start))
	}
}

// Guards against a router that reads all requests, each of them after its caller
// has left, when more callers come than it has processor time for.
func TestOverloadedRouterServesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			cost     = 5 * time.Millisecond
			interval = cost / 4
			// An answer without parsing the request takes two system calls more than
			// closing the connection.
			rejectionCost = cost / 20
			length        = 5 * time.Second
			settled       = 2 * time.Second
		)
		p := &processor{busy: make(chan struct{}, 1)}
		var l overload.Limiter
		s := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		c := &callers{
			listener:  &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})},
			processor: p, cost: cost, patience: 500 * time.Millisecond,
		}
		s.Admit = func() bool {
			admitted := l.Admit()
			if !admitted {
				c.listener.newest.cost = rejectionCost
			}
			return admitted
		}
		served := make(chan error, 1)
		go func() { served <- s.Serve(c.listener) }()
		start := time.Now()
		go func() {
			read := int64(0)
			for time.Since(start) < length {
				n, _ := s.FirstReads()
				l.Observe(time.Now(), time.Duration(p.wait.Load()), int(n-read))
				read = n
				time.Sleep(overload.Interval)
			}
		}()
		for time.Since(start) < length {
			c.running.Add(1)
			go c.call()
			time.Sleep(interval)
		}
		c.running.Wait()
		assert.NilError(t, c.listener.Close())
		assert.NilError(t, <-served)
		assert.NilError(t, s.Shutdown(t.Context()))
		answered, left := 0, 0
		for _, at := range c.answered {
			if at.Sub(start) >= settled {
				answered++
			}
		}
		for _, at := range c.left {
			if at.Sub(start) >= settled {
				left++
			}
		}
		calls := int((length - settled) / interval)
		t.Logf("%d of %d calls answered, callers of %d left, others turned away within %s", answered, calls, left, c.turnedAway)
		assert.Assert(t, answered > calls/8, "half of what the processor can do")
		assert.Assert(t, left < calls/20, "callers wait in vain")
	})
}
