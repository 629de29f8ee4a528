// Package connection pools connections to backend servers. Each connection is
// bound to one server process: its boot identity is read over the connection
// before the first request. A request is sent at most once; it is never retried
// on another connection.
package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/report"
	"github.com/galenalatch/galenalatch/internal/http1/framing"
	"github.com/galenalatch/galenalatch/internal/http1/transport"
)

// Defaults of a Pool.
const (
	// defaultDialTimeout and defaultCheckTimeout bound how long a granted slot
	// stays unused before the request is sent.
	defaultDialTimeout  = time.Second
	defaultCheckTimeout = time.Second
	// defaultIdleTimeout is below the 5 s after which uvicorn, the HTTP
	// server of common model engines, closes idle connections. A request
	// sent on a connection that the server is closing would need another
	// grant.
	defaultIdleTimeout = 4 * time.Second
	// A router uses at most a few slots of one server at a time. An idle
	// connection takes about 25 KB, so that 256 of them stay below 7 MB.
	defaultIdlePerServer = 16
	defaultIdleTotal     = 256
	// maxResponseHeaderBytes bounds the header of a response, in bytes.
	maxResponseHeaderBytes = 64 << 10
)

// keepAlive detects a server that has lost its network or power within about
// 11 s while a response is outstanding. Go's default takes 150 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool opens connections and keeps idle ones for reuse. It is safe for
// concurrent use.
type Pool struct {
	dial         Dial
	dialTimeout  time.Duration
	checkTimeout time.Duration
	idleTimeout  time.Duration
	perServer    int
	total        int

	mu     sync.Mutex
	idle   *idleList[string, *Connection]
	closed bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial replaces the default dialer, which uses TCP keep-alive probes.
func WithDial(d Dial) Option {
	return func(p *Pool) { p.dial = d }
}

// WithTimeouts replaces the timeouts for dialling and for reading the boot
// identity. The default is 1 s each.
func WithTimeouts(dial, check time.Duration) Option {
	return func(p *Pool) { p.dialTimeout, p.checkTimeout = dial, check }
}

// WithIdle replaces the idle timeout and the maximum number of idle connections
// per server and in total. The defaults are 4 s, 16 and 256.
func WithIdle(timeout time.Duration, perServer, total int) Option {
	return func(p *Pool) { p.idleTimeout, p.perServer, p.total = timeout, perServer, total }
}

// New returns a pool without connections.
func New(opts ...Option) *Pool {
	p := &Pool{
		dial:         (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext,
		dialTimeout:  defaultDialTimeout,
		checkTimeout: defaultCheckTimeout,
		idleTimeout:  defaultIdleTimeout,
		perServer:    defaultIdlePerServer,
		total:        defaultIdleTotal,
	}
	for _, o := range opts {
		o(p)
	}
	p.idle = newIdleList[string, *Connection](p.perServer, p.total)
	return p
}

// Get returns a connection to the process with the boot identity boot. It takes
// an idle one if possible and opens a new one otherwise. The caller must call
// Release or Close on it. The outcome of all errors is NotRun.
func (p *Pool) Get(ctx context.Context, address string, boot galenalatch.BootID) (*Connection, error) {
	for c := p.takeIdle(address); c != nil; c = p.takeIdle(address) {
		if c.boot == boot && c.conn.isReusable() {
			return c, nil
		}
		// The connection is closed or leads to a process other than the
		// requested one. A new connection shows which process is running.
		c.Close()
	}
	return p.GetNew(ctx, address, boot)
}

// GetNew is like Get but always opens a new connection. A server may close an
// idle connection while a request is being sent on it, which leaves unknown
// whether the request ran.
func (p *Pool) GetNew(ctx context.Context, address string, boot galenalatch.BootID) (*Connection, error) {
	c, err := p.open(ctx, address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, callerClosedError(ctx, galenalatch.NotRun)
		}
		return nil, galenalatch.KindServerUnreachable.Errorf("connect to %s: %w", address, err)
	}
	if c.boot != boot {
		c.Close()
		return nil, galenalatch.KindBootMismatch.Errorf("%s has the boot identity %s, not %s", address, c.boot, boot)
	}
	return c, nil
}

// takeIdle removes and returns an idle connection, or returns nil.
func (p *Pool) takeIdle(address string) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.idle.pop(address)
	if !ok {
		return nil
	}
	c.expiry.Stop()
	return c
}

// errRedial fails the attempt of a transport to open a second connection, for
// example in order to retry a request.
var errRedial = errors.New("the connection was closed")

// open dials a connection and reads the boot identity over it.
func (p *Pool) open(ctx context.Context, address string) (*Connection, error) {
	dialing, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	raw, err := p.dial(dialing, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Connection{pool: p, address: address}
	c.conn = &countingConn{Conn: raw, onClose: c.closeIdle}
	var once sync.Once
	t := &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			err := errRedial
			once.Do(func() { err = nil })
			if err != nil {
				return nil, err
			}
			return c.conn, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		Protocols:              new(http.Protocols),
	}
	t.Protocols.SetHTTP1(true)
	c.transport = transport.New(t)
	checking, cancelCheck := context.WithTimeout(ctx, p.checkTimeout)
	defer cancelCheck()
	if err := c.check(checking); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// check reads the boot identity from the shortened metrics page, or from the
// full one if the server does not support the shortened one.
func (c *Connection) check(ctx context.Context) error {
	err := c.checkPage(ctx, report.StartTimePath)
	if err != nil && !c.conn.isClosed() {
		err = c.checkPage(ctx, report.MetricsPath)
	}
	return err
}

func (c *Connection) checkPage(ctx context.Context, path string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return err
	}
	// Parse reads the body to its end unless the connection breaks.
	defer func() { _ = resp.Body.Close() }()
	l, err := report.Parse(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New("the metrics page returned status " + resp.Status)
	}
	if !framing.HasEnd(resp) {
		return errors.New("the metrics page has neither a length nor chunks")
	}
	c.boot = l.Boot
	return nil
}

// putIdle adds c to the idle connections, or closes it if the pool is full or
// closed.
func (p *Pool) putIdle(c *Connection) {
	p.mu.Lock()
	added := !p.closed && c.conn.isReusable() && p.idle.push(c.address, c)
	if added {
		c.expiry = time.AfterFunc(p.idleTimeout, c.closeIdle)
	}
	p.mu.Unlock()
	if !added {
		c.Close()
	}
}

// closeIdle closes the connection if it is idle. It is called when the idle
// timeout expires and when the connection is closed. The transport calls it
// while holding its own lock, so it must not use the transport.
func (c *Connection) closeIdle() {
	p := c.pool
	p.mu.Lock()
	idle := p.idle.remove(c.address, c)
	if idle {
		c.expiry.Stop()
	}
	p.mu.Unlock()
	if idle {
		c.Close()
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle.count
}

// Close closes the idle connections. Connections in use are closed when they
// are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	all := p.idle.drain()
	p.mu.Unlock()
	for _, c := range all {
		c.expiry.Stop()
		c.Close()
	}
}
