// Package exchange sends single requests to backend servers over HTTP/1.1.
//
// The package writes each request at most once and never retries. A connection
// is reused only after a clean exchange: the request was written completely,
// the response had the id of the request and was read to its end, and no
// further byte was received.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/galenalatch/galenalatch"
)

// Dialer opens a connection, like net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Client.
type Options struct {
	Dial    Dialer
	Headers galenalatch.Headers
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// MaxIdle bounds the idle connections to one server. The oldest one is
	// closed when there are more.
	MaxIdle int
	// ProbeTimeout bounds the time in which Refuses waits for a connection.
	ProbeTimeout time.Duration
	// OnDial, if set, is called after each new connection was opened.
	OnDial func()
}

// Client sends requests to backend servers and pools idle connections to them.
// It is safe for concurrent use.
type Client struct {
	Options
	probes singleflight.Group

	mu   sync.Mutex
	idle map[galenalatch.ServerID][]*connection
}

// New returns a client without connections.
func New(o Options) *Client {
	return &Client{Options: o, idle: make(map[galenalatch.ServerID][]*connection)}
}

// Request is one request to one backend server.
type Request struct {
	ID      galenalatch.RequestID
	Server  galenalatch.ServerID
	Address string
	Method  string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the body in pieces.
	Body [][]byte
	// MaxIdleAge is the longest idle time of a pooled connection that may
	// carry the request; 0 allows all. Requests that must not be repeated set
	// it, since the server may already have closed an older connection.
	MaxIdleAge time.Duration
	// Check, if set, is called once a connection is open, which may take long.
	// Nothing is sent if it returns an error.
	Check func() error
}

// NotSentError reports that no byte of the request was sent, so that the
// server cannot have run it.
type NotSentError struct {
	Err error
	// Checked is set when a connection was open and Check returned Err.
	Checked bool
}

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// Send sends a request and returns its response once the head was received.
// The end of ctx closes the connection, also while the body is read. After an
// error other than NotSentError the request may have run.
func (c *Client) Send(ctx context.Context, r *Request) (*Response, error) {
	k, err := c.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	if r.Check != nil {
		if err := r.Check(); err != nil {
			c.putIdle(r.Server, k)
			return nil, &NotSentError{Err: err, Checked: true}
		}
	}
	a := &Response{connection: k, client: c, request: r}
	a.stopAbort = context.AfterFunc(ctx, k.abort)
	a.upload = startUpload(k, r)
	if err := a.readResponse(r); err != nil {
		a.Abort()
		if ctx.Err() != nil {
			err = errors.Join(context.Cause(ctx), err)
		}
		return nil, err
	}
	return a, nil
}

// connect returns an idle connection to the server, or opens one.
func (c *Client) connect(ctx context.Context, r *Request) (*connection, error) {
	if k := c.takeIdle(r); k != nil {
		return k, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	n, err := c.Dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to backend server %s: %w", r.Server, err)
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	return newConnection(n, r.Address), nil
}
