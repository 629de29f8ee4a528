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
)

const (
	// defaultMaxBody bounds an answer.
	defaultMaxBody = 64 << 20
	// pieceSize is the largest part of a body that is passed on at once.
	pieceSize = 32 << 10
	// progressPeriod is the time between two reports of the usage.
	progressPeriod = time.Second
)

// Client implements galenalatch.Runner.
type Client struct {
	pool    *connection.Pool
	maxBody int64
}

// Option changes a client.
type Option func(*Client)

// WithMaxBody replaces the bound on the body of an answer.
func WithMaxBody(n int64) Option {
	return func(c *Client) { c.maxBody = n }
}

// New returns a client that uses the connections of p.
func New(p *connection.Pool, opts ...Option) *Client {
	c := &Client{pool: p, maxBody: defaultMaxBody}
	for _, o := range opts {
		o(c)
	}
	return c
}

// call is one run.
type call struct {
	client *Client
	order  galenalatch.Order
	sink   galenalatch.Sink
	conn   *connection.Connection
	sent   time.Time
	// passing is the time that the sink took, which is not the server's.
	passing time.Duration
}

// answer is the result of sending an order.
type answer struct {
	response *http.Response
	err      error
}

// Run implements galenalatch.Runner. An order that may not be repeated gets a
// new connection, because the loss of a kept one would leave its outcome
// unknown.
func (c *Client) Run(ctx context.Context, o galenalatch.Order, s galenalatch.Sink) (galenalatch.Usage, error) {
	get := c.pool.Fresh
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
	l := call{client: c, order: o, sink: s, conn: conn, sent: time.Now()}
	resp, err := l.send(ctx)
	if err != nil {
		return l.usage(), err
	}
	if !connection.Delimited(resp) {
		conn.Close()
		return l.usage(), galenalatch.KindServerBroke.Errorf("answer of %s has neither a length nor chunks", o.Address)
	}
	if resp.ContentLength > c.maxBody {
		conn.Close()
		return l.usage(), galenalatch.KindServerBroke.Errorf("answer of %s is too large", o.Address)
	}
	if err := l.pass(ctx, resp); err != nil {
		conn.Close()
		return l.usage(), err
	}
	// The body has been read to its end.
	_ = resp.Body.Close()
	conn.Release()
	return l.usage(), nil
}

// send sends the order and reports progress until the answer begins.
func (l *call) send(ctx context.Context) (*http.Response, error) {
	answers := make(chan answer, 1)
	go l.run(ctx, answers)
	progress := time.NewTicker(progressPeriod)
	defer progress.Stop()
	for {
		select {
		case a := <-answers:
			return a.response, a.err
		case <-progress.C:
			l.sink.Progress(l.usage())
		}
	}
}

// run sends the order. It ends when the context does.
func (l *call) run(ctx context.Context, answers chan<- answer) {
	resp, err := l.conn.Send(ctx, l.order, nil)
	answers <- answer{resp, err}
}

// usage returns the time that the server took so far.
func (l *call) usage() galenalatch.Usage {
	return galenalatch.Usage{Millis: (time.Since(l.sent) - l.passing).Milliseconds()}
}

// pass passes on the answer.
func (l *call) pass(ctx context.Context, resp *http.Response) error {
	err := l.timed(func() error { return l.sink.Head(resp.StatusCode, resp.Header) })
	if err != nil {
		return callerGone(err)
	}
	buffer := make([]byte, pieceSize)
	reported := time.Now()
	size := int64(0)
	for {
		n, err := resp.Body.Read(buffer)
		size += int64(n)
		if size > l.client.maxBody {
			return galenalatch.KindStreamBroke.Errorf("answer of %s is too large", l.order.Address)
		}
		if n > 0 {
			if err := l.timed(func() error { return l.sink.Piece(buffer[:n]) }); err != nil {
				return callerGone(err)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && ctx.Err() != nil:
			return galenalatch.KindCallerGone.Errorf("reading the answer: %w", context.Cause(ctx))
		case err != nil:
			return galenalatch.KindStreamBroke.Errorf("answer of %s ended early: %w", l.order.Address, err)
		}
		if now := time.Now(); now.Sub(reported) >= progressPeriod {
			reported = now
			l.sink.Progress(l.usage())
		}
	}
}

func (l *call) timed(f func() error) error {
	start := time.Now()
	defer func() { l.passing += time.Since(start) }()
	return f()
}

// callerGone classifies an error of the sink.
func callerGone(err error) error {
	var e *galenalatch.Error
	if errors.As(err, &e) {
		return err
	}
	return galenalatch.KindCallerGone.Errorf("passing on the answer: %w", err)
}
