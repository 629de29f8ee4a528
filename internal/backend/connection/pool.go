// Package connection keeps connections to backend servers. Each connection
// leads to one process, whose boot identity was read over it before any
// request, and carries each request at most once.
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
)

// Defaults of the pool.
const (
	// defaultDialTimeout and defaultCheckTimeout bound how long a grant's
	// slot is unused before the request is sent.
	defaultDialTimeout  = time.Second
	defaultCheckTimeout = time.Second
	// defaultIdleTimeout is below the 5 s after which uvicorn, the HTTP
	// server of common model engines, closes idle connections. A request
	// that meets such a close would need another grant.
	defaultIdleTimeout = 4 * time.Second
	// A router uses at most a few slots of one server at a time. A kept
	// connection takes about 25 KB, so that all of them stay below 7 MB.
	defaultIdlePerServer = 16
	defaultIdleTotal     = 256
	// maxResponseHeader bounds the header of an answer.
	maxResponseHeader = 64 << 10
)

// keepAlive finds a server that has lost its network or power within about
// 11 s while it owes an answer. The system's default takes 150 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool opens connections and keeps idle ones.
type Pool struct {
	dial         Dial
	dialTimeout  time.Duration
	checkTimeout time.Duration
	idleTimeout  time.Duration
	perServer    int
	total        int

	mu     sync.Mutex
	idle   *list[string, *Connection]
	closed bool
}

// Option changes a pool.
type Option func(*Pool)

// WithDial replaces the dialer.
func WithDial(d Dial) Option {
	return func(p *Pool) { p.dial = d }
}

// WithTimeouts replaces the bounds on dialling and on the boot check.
func WithTimeouts(dial, check time.Duration) Option {
	return func(p *Pool) { p.dialTimeout, p.checkTimeout = dial, check }
}

// WithIdle replaces the bounds on idle connections.
func WithIdle(timeout time.Duration, perServer, total int) Option {
	return func(p *Pool) { p.idleTimeout, p.perServer, p.total = timeout, perServer, total }
}

// New returns an empty pool.
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
	p.idle = newList[string, *Connection](p.perServer, p.total)
	return p
}

// Get returns a connection to the process with the boot identity boot. The
// caller ends its use with Release or Close. The outcome of all errors is
// NotRun.
func (p *Pool) Get(ctx context.Context, address string, boot galenalatch.BootID) (*Connection, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		if c.boot == boot && !c.conn.isClosed() {
			return c, nil
		}
		// The connection leads to another start of the server than the
		// order names. A new connection shows which of them is alive.
		c.Close()
	}
	return p.Fresh(ctx, address, boot)
}

// Fresh is like Get but opens a new connection. A server may close a kept
// connection as idle while a request is on its way to it; then nobody knows
// whether the request ran.
func (p *Pool) Fresh(ctx context.Context, address string, boot galenalatch.BootID) (*Connection, error) {
	c, err := p.open(ctx, address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, gone(ctx, galenalatch.NotRun)
		}
		return nil, galenalatch.KindServerUnreached.Errorf("connecting to %s: %w", address, err)
	}
	if c.boot != boot {
		c.Close()
		return nil, galenalatch.KindBootMismatch.Errorf("%s has the boot identity %s, not %s", address, c.boot, boot)
	}
	return c, nil
}

// take removes an idle connection from the pool.
func (p *Pool) take(address string) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.idle.pop(address)
	if !ok {
		return nil
	}
	c.expiry.Stop()
	return c
}

// errDialled ends the attempt of a transport to open a second connection, for
// example in order to send a request again.
var errDialled = errors.New("connection was closed")

// open dials a connection and reads the boot identity over it.
func (p *Pool) open(ctx context.Context, address string) (*Connection, error) {
	dialing, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	raw, err := p.dial(dialing, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Connection{pool: p, address: address}
	c.conn = &countingConn{Conn: raw, onClose: c.lost}
	var once sync.Once
	c.transport = &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			err := errDialled
			once.Do(func() { err = nil })
			if err != nil {
				return nil, err
			}
			return c.conn, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxResponseHeader,
		Protocols:              new(http.Protocols),
	}
	c.transport.Protocols.SetHTTP1(true)
	checking, cancelCheck := context.WithTimeout(ctx, p.checkTimeout)
	defer cancelCheck()
	if err := c.check(checking); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// check reads the boot identity from the shortened metrics page, or from the
// whole one when a server does not find it for the shortened one.
func (c *Connection) check(ctx context.Context) error {
	err := c.checkPage(ctx, report.BootPath)
	if err != nil && !c.conn.isClosed() {
		err = c.checkPage(ctx, report.Path)
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
	// Parse has read the body to its end unless the connection is closed.
	defer func() { _ = resp.Body.Close() }()
	l, err := report.Parse(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New("metrics page has status " + resp.Status)
	}
	c.boot = l.Boot
	return nil
}

// keep adds a connection to the idle ones.
func (p *Pool) keep(c *Connection) {
	p.mu.Lock()
	kept := !p.closed && !c.conn.isClosed() && p.idle.push(c.address, c)
	if kept {
		c.expiry = time.AfterFunc(p.idleTimeout, c.lost)
	}
	p.mu.Unlock()
	if !kept {
		c.Close()
	}
}

// lost closes a connection that has expired or was closed while idle. The
// transport calls it with a lock of its own, so that it must not be used here.
func (c *Connection) lost() {
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

// Close closes the idle connections. Those in use are closed when they are
// released.
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
