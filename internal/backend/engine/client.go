// Package engine runs requests on model engines that speak the OpenAI chat
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
)

// Defaults of the client.
const (
	// maxResumes bounds the attempts to continue one stream.
	maxResumes = 3
	// defaultMaxBody bounds an answer that is not streamed: 32,000 tokens
	// with log probabilities have about 8 MB.
	defaultMaxBody = 16 << 20
	// defaultMaxEvent bounds one event of a stream.
	defaultMaxEvent = 1 << 20
	// progressPeriod is the time between two reports of the usage.
	progressPeriod = time.Second
	// drainTime bounds the wait for the end of a body whose answer is
	// complete. A connection that is later than that is not kept.
	drainTime = 50 * time.Millisecond
)

// Client implements galenalatch.Runner.
type Client struct {
	pool     *connection.Pool
	maxBody  int
	maxEvent int
}

// Option changes a client.
type Option func(*Client)

// WithLimits replaces the bounds on a whole body and on one event.
func WithLimits(body, event int) Option {
	return func(c *Client) { c.maxBody, c.maxEvent = body, event }
}

// New returns a client that uses the connections of p.
func New(p *connection.Pool, opts ...Option) *Client {
	c := &Client{pool: p, maxBody: defaultMaxBody, maxEvent: defaultMaxEvent}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Run implements galenalatch.Runner. The sink's Head is called with the first
// event of a stream, or when a whole body has arrived. Until then the request
// can be repeated elsewhere.
//
// A stream is always asked for its usage. The event with the usage is passed
// on only to a caller that asked for it too.
func (c *Client) Run(ctx context.Context, o galenalatch.Order, s galenalatch.Sink) (galenalatch.Usage, error) {
	var added bool
	o.Body, added = askForUsage(o.Body)
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
	resp, err := conn.Send(ctx, o, plainHeader)
	if err != nil {
		return galenalatch.Usage{}, err
	}
	if err := refused(o, resp); err != nil {
		conn.Close()
		return galenalatch.Usage{}, err
	}
	if isStream(resp) {
		t := stream{client: c, order: o, sink: s, conn: conn, response: resp, hidesUsage: added}
		return t.run(ctx)
	}
	return c.whole(ctx, conn, resp, s)
}

// plainHeader keeps the engine from compressing the answer, and the caller
// from resuming a stream that is not its own.
var plainHeader = http.Header{"Accept-Encoding": {"identity"}, "Last-Event-Id": nil}

func isStream(resp *http.Response) bool {
	kind, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return resp.StatusCode == http.StatusOK && strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// refused returns an error for an answer to another request and for one after
// which the request is repeated elsewhere. Its outcome is never NotRun, because the request was written.
func refused(o galenalatch.Order, resp *http.Response) error {
	id := resp.Header.Get("X-Request-Id")
	switch {
	case id != "" && id != string(o.Request):
		return galenalatch.KindServerBroke.Errorf("answer belongs to the request %q", id)
	case resp.StatusCode == http.StatusPreconditionFailed:
		return &galenalatch.Error{
			Kind: galenalatch.KindStaleGrant, Outcome: galenalatch.OutcomeUnknown,
			Err: fmt.Errorf("engine refused the fencing epoch %d", o.Epoch),
		}
	case resp.StatusCode >= http.StatusInternalServerError:
		return galenalatch.KindServerBroke.Errorf("engine failed with status %d", resp.StatusCode)
	}
	return nil
}

// whole passes on an answer that is not streamed.
func (c *Client) whole(ctx context.Context, conn *connection.Connection, resp *http.Response, s galenalatch.Sink) (galenalatch.Usage, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.maxBody)+1))
	switch {
	case err == nil && len(body) > c.maxBody:
		err = errors.New("body is too large")
	case err == nil && !connection.Delimited(resp):
		err = errors.New("body has neither a length nor chunks")
	}
	if err != nil {
		conn.Close()
		if ctx.Err() != nil {
			return galenalatch.Usage{}, galenalatch.KindCallerGone.Errorf("reading the answer: %w", context.Cause(ctx))
		}
		return galenalatch.Usage{}, galenalatch.KindServerBroke.Errorf("reading the answer: %w", err)
	}
	// The body has been read to its end.
	_ = resp.Body.Close()
	conn.Release()
	var m meter
	m.body(body)
	if err := s.Head(resp.StatusCode, resp.Header); err != nil {
		return m.usage(), callerGone(err)
	}
	if err := s.Piece(body); err != nil {
		return m.usage(), callerGone(err)
	}
	return m.usage(), nil
}

// callerGone classifies an error of the sink.
func callerGone(err error) error {
	var e *galenalatch.Error
	if errors.As(err, &e) {
		return err
	}
	return galenalatch.KindCallerGone.Errorf("passing on the answer: %w", err)
}
