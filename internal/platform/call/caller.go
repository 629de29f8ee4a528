// Package call makes HTTP calls to the platform and classifies their errors
// by whether the call can have had an effect. The clients of the table
// service, the object store and the instance list share it.
package call

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"github.com/galenalatch/galenalatch"
)

// maxBody bounds the size of a response.
const maxBody = 64 << 20

// Caller makes calls to one platform. Its methods may be called concurrently.
type Caller struct {
	base    *sling.Sling
	client  *http.Client
	timeout time.Duration
}

// Option changes a Caller.
type Option func(*Caller)

// WithToken sends the token as bearer token.
func WithToken(token string) Option {
	return func(c *Caller) {
		if token != "" {
			c.base.Set("Authorization", "Bearer "+token)
		}
	}
}

// WithTimeout bounds each call. The default is 1 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Caller) { c.timeout = d }
}

// WithTransport replaces the HTTP transport.
func WithTransport(rt http.RoundTripper) Option {
	return func(c *Caller) { c.client.Transport = rt }
}

// New returns a Caller for the platform at the URL base.
func New(base string, opts ...Option) (*Caller, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("platform URL %q is not an absolute http or https URL", base)
	}
	c := &Caller{
		base: sling.New().Base(strings.TrimSuffix(base, "/") + "/"),
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second},
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

// Request is one call.
type Request struct {
	Method string
	// Path is the escaped path relative to the platform's URL, with query.
	Path   string
	Header http.Header
	Body   []byte
	// Write says that the call can change the platform's state.
	Write bool
}

// Response is the answer to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Tag returns the entity tag without its quotes.
func (r Response) Tag() string {
	return strings.Trim(r.Header.Get("ETag"), `"`)
}

// Do makes a call. Statuses 200 to 299 are returned, and 304 to a call with
// If-None-Match. Other results are errors
// of the kinds that galenalatch.Table documents.
func (c *Caller) Do(ctx context.Context, q Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Without a connection no byte of the request can have been written.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	failed := func(err error) error {
		if q.Write && connected.Load() {
			return galenalatch.KindUnclear.Errorf("%s %s: %w", q.Method, q.Path, err)
		}
		return galenalatch.KindPlatformDown.Errorf("%s %s: %w", q.Method, q.Path, err)
	}

	req, err := c.request(q)
	if err != nil {
		return Response{}, failed(err)
	}
	var body []byte
	resp, err := c.base.New().Client(c.client).ResponseDecoder(rawBody{}).Do(req.WithContext(ctx), &body, &body)
	if resp == nil {
		return Response{}, failed(err)
	}
	// The status says whether the call had an effect, even when the body
	// could not be read.
	switch status := resp.StatusCode; {
	case status == http.StatusNotFound:
		return Response{}, galenalatch.KindNotFound.Errorf("%s %s: not found", q.Method, q.Path)
	case status == http.StatusPreconditionFailed:
		return Response{}, galenalatch.KindConflict.Errorf("%s %s: condition does not hold", q.Method, q.Path)
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		// The platform refused the call before it had any effect.
		return Response{}, galenalatch.KindPlatformDown.Errorf("%s %s: status %d", q.Method, q.Path, status)
	case status == http.StatusNotModified && q.Header.Get("If-None-Match") != "":
		return Response{Status: status, Header: resp.Header}, nil
	case status < 200 || status > 299:
		return Response{}, failed(fmt.Errorf("status %d", status))
	}
	if err != nil {
		return Response{}, failed(err)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func (c *Caller) request(q Request) (*http.Request, error) {
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

// rawBody reads a body as it is.
type rawBody struct{}

// Decode implements sling.ResponseDecoder.
func (rawBody) Decode(resp *http.Response, v any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return err
	}
	if len(data) > maxBody {
		return fmt.Errorf("response is larger than %d bytes", maxBody)
	}
	*v.(*[]byte) = data
	return nil
}

// Escape returns key as one segment of a URL path.
func Escape(key string) string {
	switch key {
	case ".", "..":
		// Dot segments would be resolved away.
		return strings.ReplaceAll(key, ".", "%2E")
	}
	return url.PathEscape(key)
}
