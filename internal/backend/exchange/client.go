// Package exchange sends single requests to backend servers over HTTP/1.1.
//
// A request is written at most once: nothing is sent again by the package.
// Connections are kept and used again only after an exchange that left them
// clean: the request was written whole, the answer had the request's id, was
// read whole, and no byte followed it.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// readBuffer holds an event of a stream or the head of an answer.
	readBuffer = 4 << 10
	// maxForeign bounds the body of a late answer to another request that is
	// skipped on the way to the own answer.
	maxForeign = 1 << 20
	// maxForeignAnswers is the number of answers to other requests that are
	// skipped.
	maxForeignAnswers = 2
	// idleMargin is how long before the server's own timeout an idle
	// connection is dropped.
	idleMargin = 500 * time.Millisecond
	// writeEnd is how long the end of an exchange waits for the end of the
	// request.
	writeEnd = 20 * time.Millisecond
	// defaultIdle is used for servers that do not announce a timeout.
	defaultIdle = 4 * time.Second
)

// Dialer opens connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Client.
type Options struct {
	Dial    Dialer
	Headers galenalatch.Headers
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdle bounds the idle connections to one server.
	MaxIdle int
	// Dialled is told of each new connection, if set.
	Dialled func()
}

// Client keeps the connections to the backend servers.
type Client struct {
	Options
	mu   sync.Mutex
	idle map[galenalatch.ServerID][]*connection
}

// New returns a client without connections.
func New(o Options) *Client {
	return &Client{Options: o, idle: make(map[galenalatch.ServerID][]*connection)}
}

// Request is one request for one backend server.
type Request struct {
	ID      galenalatch.RequestID
	Server  galenalatch.ServerID
	Address string
	Method  string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh connections are used for requests that may not be repeated when
	// the idle ones have waited for longer than this; 0 allows all.
	MaxIdleAge time.Duration
}

// NotSentError says that no byte of the request was sent.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Answer is the answer of a backend server. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Head   galenalatch.AnswerHead
	// Body returns an error before its end when the answer is not whole.
	Body io.Reader
	// Length is the announced length, or -1.
	Length int64

	connection *connection
	response   *http.Response
	client     *Client
	request    *Request
	written    chan error
	stop       func() bool
	ended      bool
}

// Send sends a request and returns the head of its answer. The exchange ends
// with ctx, also while the answer's body is read. An error other than
// NotSentError leaves open whether the request ran.
func (c *Client) Send(ctx context.Context, r *Request) (*Answer, error) {
	k, err := c.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{err}
	}
	a := &Answer{connection: k, client: c, request: r, written: make(chan error, 1)}
	a.stop = context.AfterFunc(ctx, k.abort)
	if len(r.Body) == 0 {
		a.written <- k.write(r)
	} else {
		// The server may answer before it has read the body.
		go a.run()
	}
	if err := a.read(r); err != nil {
		a.Abort()
		if ctx.Err() != nil {
			err = errors.Join(context.Cause(ctx), err)
		}
		return nil, err
	}
	return a, nil
}

// run writes the request while the answer is awaited.
func (a *Answer) run() {
	a.written <- a.connection.write(a.request)
}

// read reads the head of the answer with the request's id.
func (a *Answer) read(r *Request) error {
	for range 1 + maxForeignAnswers {
		response, err := readHead(a.connection.reader, r.Method)
		if err != nil {
			return fmt.Errorf("read the answer: %w", err)
		}
		head := a.client.Headers.Answer(response.StatusCode, response.Header)
		if head.ID == r.ID || head.ID == "" && !head.Sealed && head.NotRun {
			a.Status, a.Header, a.Head, a.response = response.StatusCode, response.Header, head, response
			a.Body, a.Length = response.Body, response.ContentLength
			return nil
		}
		a.connection.dirty = true
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeign))
		if err != nil || n == maxForeign || response.Close {
			return fmt.Errorf("an answer to another request %q stands in place of the answer", head.ID)
		}
	}
	return errors.New("answers to other requests stand in place of the answer")
}

// readHead reads the head of a final answer.
func readHead(b *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(b, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// Unframed reports whether the end of the connection is the end of the body.
func (a *Answer) Unframed() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
}

// Close ends the exchange after the body was read whole, and keeps the
// connection if it can be used again.
func (a *Answer) Close() {
	if a.ended {
		return
	}
	a.ended = true
	err := a.whole()
	stopped := a.stop()
	k := a.connection
	if !stopped || err != nil || a.response.Close || a.Unframed() || k.dirty || k.reader.Buffered() > 0 {
		k.abort()
		return
	}
	k.keep(a.Head.KeepAlive)
	a.client.put(a.request.Server, k)
}

// whole waits a moment for the end of the request, since an answer can be read
// before the goroutine that wrote the request has had a turn.
func (a *Answer) whole() error {
	select {
	case err := <-a.written:
		return err
	default:
	}
	limit := time.NewTimer(writeEnd)
	defer limit.Stop()
	select {
	case err := <-a.written:
		return err
	case <-limit.C:
		return errors.New("the server answered before it had read the request")
	}
}

// Abort ends the exchange and its connection; a server that still runs the
// request stops.
func (a *Answer) Abort() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	a.connection.abort()
}

// connect returns a connection to the server, kept or new.
func (c *Client) connect(ctx context.Context, r *Request) (*connection, error) {
	if k := c.take(r); k != nil {
		return k, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	n, err := c.Dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to backend server %s: %w", r.Server, err)
	}
	if c.Dialled != nil {
		c.Dialled()
	}
	return newConnection(n, r.Address), nil
}

// take returns the idle connection that was used last.
func (c *Client) take(r *Request) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := c.idle[r.Server]
	for len(list) > 0 {
		k := list[len(list)-1]
		if r.MaxIdleAge > 0 && now.Sub(k.since) > r.MaxIdleAge {
			break
		}
		list = list[:len(list)-1]
		if k.address == r.Address && now.Before(k.until) && k.quiet() {
			c.idle[r.Server] = list
			return k
		}
		k.abort()
	}
	c.idle[r.Server] = list
	return nil
}

func (c *Client) put(server galenalatch.ServerID, k *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := append(c.idle[server], k)
	if len(list) > c.MaxIdle {
		list[0].abort()
		list = list[1:]
	}
	c.idle[server] = list
}

// Expire closes the idle connections whose time is over and those to servers
// that keep does not want.
func (c *Client) Expire(now time.Time, keep func(galenalatch.ServerID) bool) {
	wanted := make(map[galenalatch.ServerID]bool)
	for _, s := range c.idleServers() {
		wanted[s] = keep(s)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, list := range c.idle {
		stays, asked := wanted[server]
		kept := list[:0]
		for _, k := range list {
			if (stays || !asked) && now.Before(k.until) {
				kept = append(kept, k)
				continue
			}
			k.abort()
		}
		if len(kept) == 0 {
			delete(c.idle, server)
			continue
		}
		c.idle[server] = kept
	}
}

func (c *Client) idleServers() []galenalatch.ServerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.idle))
}

// HasIdle reports whether there is an idle connection to the server.
func (c *Client) HasIdle(s galenalatch.ServerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[s]) > 0
}

// Idle returns the number of idle connections.
func (c *Client) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, list := range c.idle {
		n += len(list)
	}
	return n
}
