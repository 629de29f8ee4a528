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
	"github.com/galenalatch/galenalatch/internal/http1/transport"
)

// Connection is a connection to one process of a backend server. It carries one
// request at a time and is not safe for concurrent use.
type Connection struct {
	pool      *Pool
	address   string
	boot      galenalatch.BootID
	transport *transport.Transport
	conn      *countingConn
	expiry    *time.Timer
}

// Boot returns the boot identity that was read over the connection.
func (c *Connection) Boot() galenalatch.BootID {
	return c.boot
}

// Release returns the connection to the pool. The response body must have been
// read to its end and closed.
func (c *Connection) Release() {
	c.conn.endRequest()
	c.pool.putIdle(c)
}

// Close closes the connection. The server then cancels a request that is in
// flight, for which Close waits up to 250 ms.
func (c *Connection) Close() {
	// An error has no effect: the connection is not used again. The transport has
	// no other connection and needs no cleanup.
	_ = c.conn.Close()
	c.conn.linger()
}

// nonRewindableBody is a request body that cannot be read twice. It hides the
// methods with which net/http would rewind the body to retry the request.
type nonRewindableBody struct{ r io.Reader }

func (b nonRewindableBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b nonRewindableBody) Close() error               { return nil }

// Send sends the request at most once and returns the response. The caller must
// close its body. Fields of extra override those of the request's header. When
// Send returns an error, the connection is closed, and the outcome is NotRun
// only if no byte was written.
func (c *Connection) Send(ctx context.Context, o galenalatch.Attempt, extra http.Header) (*http.Response, error) {
	r, err := c.request(ctx, o, extra)
	if err != nil {
		c.Close()
		return nil, galenalatch.KindBadRequest.Errorf("build the request: %w", err)
	}
	c.conn.startRequest()
	resp, err := c.transport.RoundTrip(r)
	if err == nil {
		err = c.verify(resp)
	}
	if err == nil {
		return resp, nil
	}
	c.Close()
	notSent := c.conn.nothingWritten()
	switch {
	case ctx.Err() != nil && notSent:
		return nil, callerClosedError(ctx, galenalatch.NotRun)
	case ctx.Err() != nil:
		return nil, callerClosedError(ctx, galenalatch.Cancelled)
	case notSent:
		return nil, galenalatch.KindServerUnreachable.Errorf("send the request to %s: %w", c.address, err)
	default:
		return nil, galenalatch.KindServerFailed.Errorf("wait for the response of %s: %w", c.address, err)
	}
}

func (c *Connection) request(ctx context.Context, o galenalatch.Attempt, extra http.Header) (*http.Request, error) {
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
		r.Body = nonRewindableBody{bytes.NewReader(o.Body)}
		r.ContentLength = int64(len(o.Body))
	}
	r.Header = endToEnd(o.Header)
	for _, k := range notForwarded {
		r.Header.Del(k)
	}
	r.Header.Set("X-Request-Id", string(o.Request))
	r.Header.Set("X-Fencing-Epoch", strconv.FormatUint(uint64(o.Epoch), 10))
	for k, v := range extra {
		r.Header[textproto.CanonicalMIMEHeaderKey(k)] = v
	}
	return r, nil
}

// verify rejects a response that may not belong to the request: a server may
// send 408 on an idle connection just before it receives the request.
func (c *Connection) verify(resp *http.Response) error {
	resp.Header = endToEnd(resp.Header)
	if resp.StatusCode == http.StatusRequestTimeout {
		return errors.New("the server closed the connection as idle (status 408)")
	}
	return nil
}

// notForwarded are the header fields that apply only between the caller and the
// router. Expect would delay the body.
var notForwarded = []string{"Authorization", "Expect", "Content-Length", "Host"}

// hopByHop are the header fields that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without hop-by-hop fields. It is never nil.
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

// callerClosedError returns the error for a request whose context has ended.
func callerClosedError(ctx context.Context, o galenalatch.Outcome) error {
	return &galenalatch.Error{Kind: galenalatch.KindCallerClosed, Outcome: o, Err: context.Cause(ctx)}
}
