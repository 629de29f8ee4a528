// Package httpclient makes HTTP calls to the platform and classifies errors by
// whether the call can have had an effect. It is shared by the clients of the
// table service, the object store and the instance list.
package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/http1/framing"
	"github.com/galenalatch/galenalatch/internal/http1/transport"
)

const (
	// maxHeaderBytes and maxBodyBytes bound the head and the body of a response.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 64 << 20
)

// Client makes calls to one platform. Its methods may be called concurrently.
type Client struct {
	base    *sling.Sling
	client  *http.Client
	timeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithToken sends the token as a bearer token. An empty token sends none.
func WithToken(token string) Option {
	return func(c *Client) {
		if token != "" {
			c.base.Set("Authorization", "Bearer "+token)
		}
	}
}

// WithTimeout sets the timeout of each call. The default is 1 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithTransport replaces the HTTP transport.
func WithTransport(rt http.RoundTripper) Option {
	return func(c *Client) { c.client.Transport = rt }
}

// New returns a Client for the platform at the URL base, which must be an
// absolute http or https URL.
func New(base string, opts ...Option) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("platform URL %q is not an absolute http or https URL", base)
	}
	c := &Client{
		base: sling.New().Base(strings.TrimSuffix(base, "/") + "/"),
		client: &http.Client{
			Transport: newTransport((&net.Dialer{}).DialContext),
			// A redirected write could be sent twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		timeout: time.Second,
	}
	for _, o := range opts {
		o(c)
	}
	return c, nil
}

// newTransport returns a transport that opens connections with dial.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) http.RoundTripper {
	return transport.New(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// Request is one HTTP request to the platform.
type Request struct {
	Method string
	// Path is the escaped path with its query, relative to the platform's URL.
	Path   string
	Header http.Header
	Body   []byte
	// Write is set when the call can change the platform's state.
	Write bool
}

// Response is a successful response, read completely.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Tag returns the entity tag without its quotes, or "" when there is none.
func (r Response) Tag() string {
	return strings.Trim(r.Header.Get("ETag"), `"`)
}

// Do sends a request. It returns a response with a status of 200 to 299, or 304
// when the request has If-None-Match. Everything else is an error of one of the
// kinds that galenalatch.Table documents.
func (c *Client) Do(ctx context.Context, q Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// No byte of the request can have been written without a connection.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	callError := func(err error) error {
		if q.Write && connected.Load() {
			return galenalatch.KindWriteUnknown.Errorf("%s %s: %w", q.Method, q.Path, err)
		}
		return galenalatch.KindPlatformDown.Errorf("%s %s: %w", q.Method, q.Path, err)
	}

	req, err := c.request(q)
	if err != nil {
		return Response{}, callError(err)
	}
	var body []byte
	resp, err := c.base.New().Client(c.client).ResponseDecoder(rawBody{}).Do(req.WithContext(ctx), &body, &body)
	if resp == nil {
		return Response{}, callError(err)
	}
	// The status tells whether the call had an effect, even when the body could
	// not be read.
	switch status := resp.StatusCode; {
	case status == http.StatusNotFound:
		return Response{}, galenalatch.KindNotFound.Errorf("%s %s: not found", q.Method, q.Path)
	case status == http.StatusPreconditionFailed:
		return Response{}, galenalatch.KindConflict.Errorf("%s %s: condition does not hold", q.Method, q.Path)
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		// The platform refuses with these statuses before the call has any
		// effect.
		return Response{}, galenalatch.KindPlatformDown.Errorf("%s %s: status %d", q.Method, q.Path, status)
	case status == http.StatusNotModified && q.Header.Get("If-None-Match") != "":
		return Response{Status: status, Header: resp.Header}, nil
	case status < 200 || status > 299:
		return Response{}, callError(fmt.Errorf("status %d", status))
	}
	if err != nil {
		return Response{}, callError(err)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func (c *Client) request(q Request) (*http.Request, error) {
	s := c.base.New().Path(q.Path)
	if q.Body != nil {
		s = s.Body(bytes.NewReader(q.Body))
	}
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	req.Method = q.Method
	for k, vs := range q.Header {
		req.Header[k] = vs
	}
	return req, nil
}

// rawBody is a sling.ResponseDecoder that reads the body into a *[]byte.
type rawBody struct{}

// errNoEnd is the error of a body that may have been cut off.
var errNoEnd = errors.New("the response has neither a length nor chunks")

// Decode implements sling.ResponseDecoder. A body of more than maxBodyBytes is
// an error, and so is one that ends with its connection.
func (rawBody) Decode(resp *http.Response, v any) error {
	// The transport removes the length of a body that it decompresses, which has a
	// checksum.
	if !framing.HasEnd(resp) && !resp.Uncompressed {
		return errNoEnd
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxBodyBytes {
		return fmt.Errorf("response is larger than %d bytes", maxBodyBytes)
	}
	*v.(*[]byte) = data
	return nil
}

// Escape returns key as one segment of a URL path. The segment is never "." or
// "..".
func Escape(key string) string {
	switch key {
	case ".", "..":
		// URL resolution removes dot segments.
		return strings.ReplaceAll(key, ".", "%2E")
	}
	return url.PathEscape(key)
}
