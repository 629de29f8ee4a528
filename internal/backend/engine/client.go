// Package engine runs requests on model engines with the OpenAI chat
// completions API, streamed or not.
package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/connection"
	"github.com/galenalatch/galenalatch/internal/http1/framing"
)

// Limits and times of the client.
const (
	// maxResumes bounds the attempts to resume one stream.
	maxResumes = 3
	// defaultMaxBodyBytes bounds an answer that is not streamed. 32,000 tokens
	// with log probabilities have about 8 MB.
	defaultMaxBodyBytes = 16 << 20
	// defaultMaxEventBytes bounds one event of a stream.
	defaultMaxEventBytes = 1 << 20
	// progressPeriod is the shortest time between two reports of the usage.
	progressPeriod = time.Second
	// drainTimeout bounds the wait for the end of the body after the last
	// event. The connection is closed when the end arrives later.
	drainTimeout = 50 * time.Millisecond
)

// Client implements galenalatch.Runner. Its methods may be called concurrently.
type Client struct {
	pool          *connection.Pool
	maxBodyBytes  int
	maxEventBytes int
}

// Option configures a Client.
type Option func(*Client)

// WithLimits sets the largest size in bytes of an answer that is not streamed,
// and of one event. The defaults are 16 MB and 1 MB.
func WithLimits(body, event int) Option {
	return func(c *Client) { c.maxBodyBytes, c.maxEventBytes = body, event }
}

// New returns a client that uses the connections of p.
func New(p *connection.Pool, opts ...Option) *Client {
	c := &Client{pool: p, maxBodyBytes: defaultMaxBodyBytes, maxEventBytes: defaultMaxEventBytes}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Run implements galenalatch.Runner. It calls the sink's Head with the first
// event of a stream, or when the whole body has arrived. Before that the
// request can be repeated on another engine.
//
// Run always requests the usage of a stream. The event with the usage is passed
// on only when the caller has requested it too.
func (c *Client) Run(ctx context.Context, o galenalatch.Attempt, s galenalatch.Sink) (galenalatch.Usage, error) {
	var added bool
	o.Body, added = requestUsage(o.Body)
	conn, err := c.pool.Get(ctx, o.Address, o.Boot)
	if err != nil {
		return galenalatch.Usage{}, err
	}
	if o.BeforeSend != nil {
		if err := o.BeforeSend(); err != nil {
			conn.Release()
			return galenalatch.Usage{}, err
		}
	}
	resp, err := conn.Send(ctx, o, headerOverrides)
	if err != nil {
		return galenalatch.Usage{}, err
	}
	if err := checkResponse(o, resp); err != nil {
		conn.Close()
		return galenalatch.Usage{}, err
	}
	if isStream(resp) {
		t := stream{client: c, attempt: o, sink: s, conn: conn, response: resp, hideUsage: added}
		return t.run(ctx)
	}
	return c.relayBody(ctx, conn, resp, s)
}

// headerOverrides prevents the engine from compressing the answer, and the
// caller from resuming the stream of another request.
var headerOverrides = http.Header{"Accept-Encoding": {"identity"}, "Last-Event-Id": nil}

func isStream(resp *http.Response) bool {
	kind, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return resp.StatusCode == http.StatusOK && strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// checkResponse returns an error when the answer belongs to another request, or
// when the request is to be repeated on another engine. The outcome of the
// error is never NotRun, because the request was written.
func checkResponse(o galenalatch.Attempt, resp *http.Response) error {
	id := resp.Header.Get("X-Request-Id")
	switch {
	case id != "" && id != string(o.Request):
		return galenalatch.KindServerFailed.Errorf("answer belongs to request %q", id)
	case resp.StatusCode == http.StatusPreconditionFailed:
		return &galenalatch.Error{
			Kind: galenalatch.KindStaleGrant, Outcome: galenalatch.OutcomeUnknown,
			Err: fmt.Errorf("engine refused the fencing epoch %d", o.Epoch),
		}
	case resp.StatusCode >= http.StatusInternalServerError:
		return galenalatch.KindServerFailed.Errorf("engine failed with status %d", resp.StatusCode)
	}
	return nil
}

// relayBody passes on an answer that is not streamed.
func (c *Client) relayBody(ctx context.Context, conn *connection.Connection, resp *http.Response, s galenalatch.Sink) (galenalatch.Usage, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.maxBodyBytes)+1))
	switch {
	case err == nil && len(body) > c.maxBodyBytes:
		err = errors.New("body is too large")
	case err == nil && !framing.HasEnd(resp):
		err = errors.New("body has neither a Content-Length nor chunked encoding")
	}
	if err != nil {
		conn.Close()
		if ctx.Err() != nil {
			return galenalatch.Usage{}, galenalatch.KindCallerClosed.Errorf("reading the answer: %w", context.Cause(ctx))
		}
		return galenalatch.Usage{}, galenalatch.KindServerFailed.Errorf("reading the answer: %w", err)
	}
	// The body has been read to its end; an error of Close changes nothing.
	_ = resp.Body.Close()
	conn.Release()
	var m meter
	m.countBody(body)
	if err := s.Header(resp.StatusCode, resp.Header); err != nil {
		return m.usage(), sinkFailure(err)
	}
	if err := s.Data(body); err != nil {
		return m.usage(), sinkFailure(err)
	}
	return m.usage(), nil
}

// sinkFailure returns an error of the sink with a kind. An error without one is
// of KindCallerClosed.
func sinkFailure(err error) error {
	var e *galenalatch.Error
	if errors.As(err, &e) {
		return err
	}
	return galenalatch.KindCallerClosed.Errorf("passing on the answer: %w", err)
}
