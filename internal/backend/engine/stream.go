package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/connection"
)

// stream passes on one streamed answer, over several connections if need be.
type stream struct {
	client   *Client
	order    galenalatch.Order
	sink     galenalatch.Sink
	conn     *connection.Connection
	response *http.Response

	meter   meter
	started bool
	// hidesUsage says that the caller did not ask for the usage.
	hidesUsage bool
	reported   time.Time
	// last is the number of the newest event that was passed on.
	last uint64
	// numbered says that the newest event had a number.
	numbered bool
	resumes  int
}

// errLost says that the engine left out events.
var errLost = errors.New("events are missing")

// sinkError marks an error of the sink.
type sinkError struct{ error }

// run passes on the answer until it is complete or can't be continued.
func (t *stream) run(ctx context.Context) (galenalatch.Usage, error) {
	t.meter.prompt(t.order.Body)
	t.reported = time.Now()
	for {
		err := t.pass()
		if err == nil {
			err = t.begin()
		}
		if err == nil {
			t.drain()
			return t.meter.usage(), nil
		}
		t.conn.Close()
		var s sinkError
		switch {
		case errors.As(err, &s):
			return t.meter.usage(), callerGone(s.error)
		case ctx.Err() != nil:
			return t.meter.usage(), galenalatch.KindCallerGone.Errorf("reading the stream: %w", context.Cause(ctx))
		case !t.started:
			return t.meter.usage(), galenalatch.KindServerBroke.Errorf("stream broke before its first event: %w", err)
		}
		if err := t.resume(ctx, err); err != nil {
			return t.meter.usage(), err
		}
	}
}

// pass passes on events until the stream is complete.
func (t *stream) pass() error {
	events := newEvents(t.response.Body, t.client.maxEvent)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if string(e.data) == "[DONE]" {
			return nil
		}
		if t.order.Resumes {
			number, err := strconv.ParseUint(e.id, 10, 64)
			numbered := err == nil && e.hasID
			switch {
			case numbered && t.numbered && number <= t.last:
				continue
			case numbered && t.numbered && number != t.last+1:
				return errLost
			}
			t.last, t.numbered = number, numbered
		}
		if err := t.piece(e.data); err != nil {
			return err
		}
	}
}

// begin passes on the header once.
func (t *stream) begin() error {
	if t.started {
		return nil
	}
	t.started = true
	t.response.Header.Del("Content-Length")
	if err := t.sink.Head(t.response.StatusCode, t.response.Header); err != nil {
		return sinkError{err}
	}
	return nil
}

// piece passes on the data of one event.
func (t *stream) piece(data []byte) error {
	if err := t.begin(); err != nil {
		return err
	}
	if t.meter.event(data) && t.hidesUsage {
		return nil
	}
	if err := t.sink.Piece(data); err != nil {
		return sinkError{err}
	}
	if now := time.Now(); now.Sub(t.reported) >= progressPeriod {
		t.reported = now
		t.sink.Progress(t.meter.usage())
	}
	return nil
}

// resume continues the stream on the same start of the same server. The
// stream has ended with cause.
func (t *stream) resume(ctx context.Context, cause error) error {
	if !t.order.Resumes || !t.numbered {
		return galenalatch.KindStreamBroke.Errorf("stream ended early: %w", cause)
	}
	for t.resumes < maxResumes {
		t.resumes++
		err := t.reconnect(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return galenalatch.KindCallerGone.Errorf("resuming the stream: %w", context.Cause(ctx))
		}
		cause = err
		if galenalatch.KindOf(err) == galenalatch.KindBootMismatch || errors.Is(err, errNotResumed) {
			break
		}
	}
	return galenalatch.KindStreamBroke.Errorf("stream ended early, %d resumes: %w", t.resumes, cause)
}

// errNotResumed says that the engine does not know the stream any more.
var errNotResumed = errors.New("engine did not resume the stream")

func (t *stream) reconnect(ctx context.Context) error {
	conn, err := t.client.pool.Get(ctx, t.order.Address, t.order.Boot)
	if err != nil {
		return err
	}
	h := plainHeader.Clone()
	h.Set("Last-Event-ID", strconv.FormatUint(t.last, 10))
	resp, err := conn.Send(ctx, t.order, h)
	if err != nil {
		return err
	}
	if err := refused(t.order, resp); err != nil {
		conn.Close()
		return err
	}
	if !isStream(resp) {
		conn.Close()
		return fmt.Errorf("status %d: %w", resp.StatusCode, errNotResumed)
	}
	t.conn, t.response = conn, resp
	return nil
}

// drain reads the end of the body behind the last event, so that the
// connection can be kept.
func (t *stream) drain() {
	late := time.AfterFunc(drainTime, t.conn.Close)
	rest := make([]byte, 64)
	_, err := t.response.Body.Read(rest)
	if !late.Stop() || !errors.Is(err, io.EOF) {
		t.conn.Close()
		return
	}
	// The body has been read to its end.
	_ = t.response.Body.Close()
	t.conn.Release()
}
