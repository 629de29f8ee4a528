package connection

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Connection leads to one start of a backend server. It is used by one
// request at a time.
type Connection struct {
	pool      *Pool
	address   string
	boot      galenalatch.BootID
	transport *http.Transport
	conn      *countingConn
	expiry    *time.Timer
}

// Boot returns the boot identity that was read over the connection.
func (c *Connection) Boot() galenalatch.BootID {
	return c.boot
}

// Release keeps the connection for another request. The body of the answer
// must have been read to its end and closed.
func (c *Connection) Release() {
	c.conn.disarm()
	c.pool.keep(c)
}

// Close closes the connection. When a request is in flight, the server
// cancels it, and Close waits a little for the server to do so. The transport
// ends with its only connection.
func (c *Connection) Close() {
	// Nobody waits for the result of closing a connection.
	_ = c.conn.Close()
	c.conn.linger()
}

// onceBody is a request body that can't be read again: it hides the methods
// by which net/http would rewind it.
type onceBody struct{ r io.Reader }

func (b onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b onceBody) Close() error               { return nil }

// Send writes the order once. Fields of extra override those of the order's
// header. When Send returns an error, the connection is closed and the
// outcome is NotRun only if no byte was written.
func (c *Connection) Send(ctx context.Context, o galenalatch.Order, extra http.Header) (*http.Response, error) {
	r, err := c.request(ctx, o, extra)
	if err != nil {
		c.Close()
		return nil, galenalatch.KindBadRequest.Errorf("building the request: %w", err)
	}
	c.conn.arm()
	resp, err := c.transport.RoundTrip(r)
	if err == nil {
		err = c.verify(resp)
	}
	if err == nil {
		return resp, nil
	}
	c.Close()
	untouched := c.conn.untouched()
	switch {
	case ctx.Err() != nil && untouched:
		return nil, gone(ctx, galenalatch.NotRun)
	case ctx.Err() != nil:
		return nil, gone(ctx, galenalatch.Cancelled)
	case untouched:
		return nil, galenalatch.KindServerUnreached.Errorf("sending to %s: %w", c.address, err)
	default:
		return nil, galenalatch.KindServerBroke.Errorf("waiting for the answer of %s: %w", c.address, err)
	}
}

func (c *Connection) request(ctx context.Context, o galenalatch.Order, extra http.Header) (*http.Request, error) {
	u, err := url.ParseRequestURI(o.Path)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host, u.User = "http", c.address, nil
	r, err := http.NewRequestWithContext(ctx, o.Method, u.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	if len(o.Body) > 0 {
		r.Body = onceBody{bytes.NewReader(o.Body)}
		r.ContentLength = int64(len(o.Body))
	}
	r.Header = endToEnd(o.Header)
	for _, k := range callersOnly {
		r.Header.Del(k)
	}
	r.Header.Set("X-Request-Id", string(o.Request))
	r.Header.Set("X-Fencing-Epoch", strconv.FormatUint(uint64(o.Epoch), 10))
	for k, v := range extra {
		r.Header[textproto.CanonicalMIMEHeaderKey(k)] = v
	}
	return r, nil
}

// verify rejects an answer that need not belong to the request: a server sends
// 408 on a connection that it finds idle, possibly just before it has seen the
// request.
func (c *Connection) verify(resp *http.Response) error {
	resp.Header = endToEnd(resp.Header)
	if resp.StatusCode == http.StatusRequestTimeout {
		return errors.New("server closed an idle connection")
	}
	return nil
}

// callersOnly are the header fields that concern the caller and the entry.
// An Expect field would delay the body.
var callersOnly = []string{"Authorization", "Expect", "Content-Length", "Host"}

// hopByHop are the header fields that concern one connection (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without hop-by-hop fields.
func endToEnd(h http.Header) http.Header {
	c := h.Clone()
	if c == nil {
		return make(http.Header)
	}
	for _, f := range h.Values("Connection") {
		for n := range strings.SplitSeq(f, ",") {
			c.Del(textproto.TrimString(n))
		}
	}
	for _, n := range hopByHop {
		c.Del(n)
	}
	return c
}

// Delimited reports whether the end of an answer's body can be told from a
// broken connection.
func Delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// gone returns the error of an order whose context has ended.
func gone(ctx context.Context, o galenalatch.Outcome) error {
	return &galenalatch.Error{Kind: galenalatch.KindCallerGone, Outcome: o, Err: context.Cause(ctx)}
}
