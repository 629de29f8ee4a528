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

// stream passes on one streamed answer. After a break it continues on another
// connection.
type stream struct {
	client   *Client
	attempt  galenalatch.Attempt
	sink     galenalatch.Sink
	conn     *connection.Connection
	response *http.Response

	meter    meter
	headSent bool
	// hideUsage is set when the caller has not requested the usage.
	hideUsage  bool
	progressAt time.Time
	// lastEvent is the number of the newest event that was passed on.
	lastEvent uint64
	// lastNumbered is set when the newest event had a number.
	lastNumbered bool
	resumes      int
}

// errMissingEvents is returned when the event numbers have a gap.
var errMissingEvents = errors.New("events of the stream are missing")

// sinkError is an error that the sink returned.
type sinkError struct{ error }

// run passes on the answer until it is complete or cannot be resumed.
func (t *stream) run(ctx context.Context) (galenalatch.Usage, error) {
	t.meter.countPrompt(t.attempt.Body)
	t.progressAt = time.Now()
	for {
		err := t.relayEvents()
		if err == nil {
			err = t.sendHeader()
		}
		if err == nil {
			t.drain()
			return t.meter.usage(), nil
		}
		t.conn.Close()
		var s sinkError
		switch {
		case errors.As(err, &s):
			return t.meter.usage(), sinkFailure(s.error)
		case ctx.Err() != nil:
			return t.meter.usage(), galenalatch.KindCallerClosed.Errorf("reading the stream: %w", context.Cause(ctx))
		case !t.headSent:
			return t.meter.usage(), galenalatch.KindServerFailed.Errorf("stream broke before its first event: %w", err)
		}
		if err := t.resume(ctx, err); err != nil {
			return t.meter.usage(), err
		}
	}
}

// relayEvents passes on events until the stream is complete or breaks.
func (t *stream) relayEvents() error {
	events := newEventReader(t.response.Body, t.client.maxEventBytes)
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
		if t.attempt.Resumable {
			number, err := strconv.ParseUint(e.id, 10, 64)
			numbered := err == nil && e.hasID
			switch {
			case numbered && t.lastNumbered && number <= t.lastEvent:
				continue
			case numbered && t.lastNumbered && number != t.lastEvent+1:
				return errMissingEvents
			}
			t.lastEvent, t.lastNumbered = number, numbered
		}
		if err := t.relayEvent(e.data); err != nil {
			return err
		}
	}
}

// sendHeader passes on the status and the header on its first call.
func (t *stream) sendHeader() error {
	if t.headSent {
		return nil
	}
	t.headSent = true
	t.response.Header.Del("Content-Length")
	if err := t.sink.Header(t.response.StatusCode, t.response.Header); err != nil {
		return sinkError{err}
	}
	return nil
}

// relayEvent passes on the data of one event and reports the usage when it is
// due.
func (t *stream) relayEvent(data []byte) error {
	if err := t.sendHeader(); err != nil {
		return err
	}
	if t.meter.countEvent(data) && t.hideUsage {
		return nil
	}
	if err := t.sink.Data(data); err != nil {
		return sinkError{err}
	}
	if now := time.Now(); now.Sub(t.progressAt) >= progressPeriod {
		t.progressAt = now
		t.sink.Progress(t.meter.usage())
	}
	return nil
}

// resume continues the stream on the same process of the same server. cause is
// the error with which the stream broke.
func (t *stream) resume(ctx context.Context, cause error) error {
	if !t.attempt.Resumable || !t.lastNumbered {
		return galenalatch.KindStreamBroken.Errorf("stream ended early: %w", cause)
	}
	for t.resumes < maxResumes {
		t.resumes++
		err := t.reconnect(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return galenalatch.KindCallerClosed.Errorf("resuming the stream: %w", context.Cause(ctx))
		}
		cause = err
		if galenalatch.KindOf(err) == galenalatch.KindBootMismatch || errors.Is(err, errNotResumed) {
			break
		}
	}
	return galenalatch.KindStreamBroken.Errorf("stream ended early, %d resumes: %w", t.resumes, cause)
}

// errNotResumed is returned when the engine no longer has the stream.
var errNotResumed = errors.New("engine did not resume the stream")

// reconnect sends the request again with the number of the last event.
func (t *stream) reconnect(ctx context.Context) error {
	conn, err := t.client.pool.Get(ctx, t.attempt.Address, t.attempt.Boot)
	if err != nil {
		return err
	}
	h := headerOverrides.Clone()
	h.Set("Last-Event-ID", strconv.FormatUint(t.lastEvent, 10))
	resp, err := conn.Send(ctx, t.attempt, h)
	if err != nil {
		return err
	}
	if err := checkResponse(t.attempt, resp); err != nil {
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

// drain reads the end of the body after the last event, so that the connection
// can be used again.
func (t *stream) drain() {
	late := time.AfterFunc(drainTimeout, t.conn.Close)
	rest := make([]byte, 64)
	_, err := t.response.Body.Read(rest)
	if !late.Stop() || !errors.Is(err, io.EOF) {
		t.conn.Close()
		return
	}
	// The body has been read to its end; an error of Close changes nothing.
	_ = t.response.Body.Close()
	t.conn.Release()
}
