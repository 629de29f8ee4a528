// Package service runs requests on plain HTTP services.
package service

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/connection"
	"github.com/galenalatch/galenalatch/internal/http1/framing"
)

const (
	// defaultMaxBodyBytes bounds the body of an answer.
	defaultMaxBodyBytes = 64 << 20
	// maxPieceBytes bounds the part of a body that is passed on at once.
	maxPieceBytes = 32 << 10
	// progressPeriod is the shortest time between two reports of the usage.
	progressPeriod = time.Second
)

// Client implements galenalatch.Runner. Its methods may be called concurrently.
type Client struct {
	pool         *connection.Pool
	maxBodyBytes int64
}

// Option configures a Client.
type Option func(*Client)

// WithMaxBody sets the largest size in bytes of the body of an answer. The
// default is 64 MB.
func WithMaxBody(n int64) Option {
	return func(c *Client) { c.maxBodyBytes = n }
}

// New returns a client that uses the connections of p.
func New(p *connection.Pool, opts ...Option) *Client {
	c := &Client{pool: p, maxBodyBytes: defaultMaxBodyBytes}
	for _, o := range opts {
		o(c)
	}
	return c
}

// attempt is one call of Run.
type attempt struct {
	client  *Client
	request galenalatch.Attempt
	sink    galenalatch.Sink
	conn    *connection.Connection
	sent    time.Time
	// sinkTime is the time spent in the sink, which is not charged as server
	// time.
	sinkTime time.Duration
}

// sendResult is the result of sending a request.
type sendResult struct {
	response *http.Response
	err      error
}

// Run implements galenalatch.Runner. It sends a request that may not be
// repeated on a new connection, because the server may close a kept one at that
// moment, which would leave the outcome unknown.
func (c *Client) Run(ctx context.Context, o galenalatch.Attempt, s galenalatch.Sink) (galenalatch.Usage, error) {
	get := c.pool.GetNew
	if o.Repeatable {
		get = c.pool.Get
	}
	conn, err := get(ctx, o.Address, o.Boot)
	if err != nil {
		return galenalatch.Usage{}, err
	}
	if o.BeforeSend != nil {
		if err := o.BeforeSend(); err != nil {
			conn.Release()
			return galenalatch.Usage{}, err
		}
	}
	l := attempt{client: c, request: o, sink: s, conn: conn, sent: time.Now()}
	resp, err := l.send(ctx)
	if err != nil {
		return l.usage(), err
	}
	if !framing.HasEnd(resp) {
		conn.Close()
		return l.usage(), galenalatch.KindServerFailed.Errorf("answer of %s has neither a Content-Length nor chunked encoding", o.Address)
	}
	if resp.ContentLength > c.maxBodyBytes {
		conn.Close()
		return l.usage(), galenalatch.KindServerFailed.Errorf("answer of %s is too large", o.Address)
	}
	if err := l.relay(ctx, resp); err != nil {
		conn.Close()
		return l.usage(), err
	}
	// The body has been read to its end; an error of Close changes nothing.
	_ = resp.Body.Close()
	conn.Release()
	return l.usage(), nil
}

// send sends the request and reports progress until the answer starts.
func (l *attempt) send(ctx context.Context) (*http.Response, error) {
	results := make(chan sendResult, 1)
	go l.run(ctx, results)
	progress := time.NewTicker(progressPeriod)
	defer progress.Stop()
	for {
		select {
		case a := <-results:
			return a.response, a.err
		case <-progress.C:
			l.sink.Progress(l.usage())
		}
	}
}

// run sends the request and puts the result on the channel. It ends when ctx
// ends.
func (l *attempt) run(ctx context.Context, results chan<- sendResult) {
	resp, err := l.conn.Send(ctx, l.request, nil)
	results <- sendResult{resp, err}
}

// usage returns the server time of the attempt so far.
func (l *attempt) usage() galenalatch.Usage {
	return galenalatch.Usage{Millis: (time.Since(l.sent) - l.sinkTime).Milliseconds()}
}

// relay passes on the answer.
func (l *attempt) relay(ctx context.Context, resp *http.Response) error {
	err := l.timeSink(func() error { return l.sink.Header(resp.StatusCode, resp.Header) })
	if err != nil {
		return sinkFailure(err)
	}
	buffer := make([]byte, maxPieceBytes)
	reported := time.Now()
	size := int64(0)
	for {
		n, err := resp.Body.Read(buffer)
		size += int64(n)
		if size > l.client.maxBodyBytes {
			return galenalatch.KindStreamBroken.Errorf("answer of %s is too large", l.request.Address)
		}
		if n > 0 {
			if err := l.timeSink(func() error { return l.sink.Data(buffer[:n]) }); err != nil {
				return sinkFailure(err)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && ctx.Err() != nil:
			return galenalatch.KindCallerClosed.Errorf("reading the answer: %w", context.Cause(ctx))
		case err != nil:
			return galenalatch.KindStreamBroken.Errorf("answer of %s ended early: %w", l.request.Address, err)
		}
		if now := time.Now(); now.Sub(reported) >= progressPeriod {
			reported = now
			l.sink.Progress(l.usage())
		}
	}
}

// timeSink calls f and adds its duration to sinkTime.
func (l *attempt) timeSink(f func() error) error {
	start := time.Now()
	defer func() { l.sinkTime += time.Since(start) }()
	return f()
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
