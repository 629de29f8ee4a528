package host

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
)

const (
	// maxBuffered bounds the answers that are read whole before their head
	// is sent on. Whole answers can still be replaced by another attempt.
	maxBuffered = 1 << 20
	// writeTime is how long a caller may take to accept the end of an answer
	// after the time limit of its request.
	writeTime = 2 * time.Second
)

// answerError is an answer that is not a success.
type answerError struct {
	status int
	notRun bool
	// misdirected answers come from another server than the one meant.
	misdirected bool
}

// Error implements error.
func (e *answerError) Error() string {
	if e.notRun {
		return fmt.Sprintf("the server answered %d and did not run the request", e.status)
	}
	return fmt.Sprintf("the server answered %d", e.status)
}

// buffered is a whole answer.
type buffered struct {
	status int
	header http.Header
	body   []byte
}

// try sends the request to a server and its answer to the caller.
func (t *task) try(ctx context.Context, p *placement.Place) error {
	a, err := t.send(ctx, p)
	if err != nil {
		return err
	}
	if a.Head.NotRun {
		return t.shed(a)
	}
	if t.route.Kind == galenalatch.StreamWork && a.Status == http.StatusOK {
		return t.stream(ctx, a, p)
	}
	if t.begun {
		// The caller already has the head of another answer.
		a.Abort()
		return &answerError{status: a.Status}
	}
	return t.whole(ctx, a, p)
}

// shed ends an exchange with a server that did not run the request.
func (t *task) shed(a *exchange.Answer) error {
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxBuffered))
	if err != nil || n == maxBuffered {
		a.Abort()
	} else {
		a.Close()
	}
	return &answerError{status: a.Status, notRun: true, misdirected: a.Head.Misdirected}
}

// whole reads an answer to its end before it is sent on.
func (t *task) whole(ctx context.Context, a *exchange.Answer, p *placement.Place) error {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	if err != nil {
		a.Abort()
		return errors.Join(context.Cause(ctx), fmt.Errorf("body of the answer: %w", err))
	}
	t.h.Table.First(time.Now(), p)
	t.decision.First = time.Since(t.arrival)
	if len(body) == maxBuffered {
		return t.long(a, body)
	}
	a.Close()
	if !a.Head.Sealed && a.Status < http.StatusMultipleChoices {
		return errors.New("the answer does not come from the service")
	}
	b := &buffered{status: a.Status, header: t.h.Headers.Return(a.Header), body: body}
	if a.Status >= http.StatusInternalServerError && t.route.Repeatable() {
		t.failure = b
		return &answerError{status: a.Status}
	}
	t.h.Events.Ended(t.call.ID, t.decision, a.Status, nil)
	b.write(t)
	return nil
}

// long sends on an answer that is too long to keep. It cannot be replaced
// once its head was sent.
func (t *task) long(a *exchange.Answer, body []byte) error {
	t.head(a, a.Length)
	_, err := t.w.Write(body)
	if err == nil {
		_, err = io.Copy(t.w, a.Body)
	}
	if err != nil {
		a.Abort()
		return fmt.Errorf("body of the answer: %w", err)
	}
	a.Close()
	t.h.Events.Ended(t.call.ID, t.decision, a.Status, nil)
	return nil
}

// write sends the answer to the caller.
func (b *buffered) write(t *task) {
	copyHeader(t.w.Header(), b.header)
	t.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	t.w.WriteHeader(b.status)
	// The caller may be gone; its connection ends either way.
	_, _ = t.w.Write(b.body)
}

// head sends the head of the answer and bounds the time for the rest.
func (t *task) head(a *exchange.Answer, length int64) {
	copyHeader(t.w.Header(), t.h.Headers.Return(a.Header))
	if length >= 0 {
		t.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	t.begun = true
	t.w.WriteHeader(a.Status)
}

// copyHeader replaces headers without those that the HTTP library adds.
func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := from[k]; !ok {
			to[k] = nil
		}
	}
}

const (
	// fewStreams is the number of streams up to which each event is passed
	// on alone. For each further stream the wait grows by gatherStep, up to
	// the share gatherShare of the limit.
	fewStreams  = 24
	gatherStep  = time.Millisecond
	gatherShare = 3
)

// streamBuffer is the size of a read of a stream.
const streamBuffer = 8 << 10

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// stream sends on whole events as they arrive. An event that was cut off is
// dropped, so that the stream can go on after the last whole one.
func (t *task) stream(ctx context.Context, a *exchange.Answer, p *placement.Place) error {
	flush := http.NewResponseController(t.w)
	if !a.Head.Sealed {
		a.Abort()
		return errors.New("the answer does not come from the service")
	}
	if !t.begun {
		// Errors show up when the events are written.
		_ = flush.SetWriteDeadline(t.arrival.Add(t.limit + writeTime))
	}
	buffer := make([]byte, streamBuffer)
	var pending []byte
	first := true
	t.h.streams.Add(1)
	defer t.h.streams.Add(-1)
	for {
		if !first {
			t.gather(ctx, int(t.h.streams.Load()))
		}
		n, err := a.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if first && n > 0 {
			first = false
			t.h.Table.First(time.Now(), p)
			if t.decision.First == 0 {
				t.decision.First = time.Since(t.arrival)
			}
		}
		events := whole(pending)
		if errors.Is(err, io.EOF) {
			events = pending
		}
		if len(events) > 0 || errors.Is(err, io.EOF) {
			if !t.begun {
				t.head(a, -1)
			}
			if e := t.pass(events, flush); e != nil {
				a.Abort()
				return e
			}
			pending = pending[len(events):]
		}
		switch {
		case errors.Is(err, io.EOF):
			a.Close()
			t.h.Events.Ended(t.call.ID, t.decision, a.Status, nil)
			return nil
		case err != nil:
			a.Abort()
			return errors.Join(context.Cause(ctx), fmt.Errorf("stream after event %q: %w", t.last, err))
		case len(pending) > maxEvent:
			a.Abort()
			return fmt.Errorf("an event of the stream is longer than %d bytes", maxEvent)
		}
	}
}

// gather waits for more events of a stream when the router forwards many, so
// that it reads and writes them together. The wait is a small part of the
// time within which an event must be passed on.
func (t *task) gather(ctx context.Context, streams int) {
	wait := time.Duration(streams-fewStreams) * gatherStep
	if limit := t.h.PassLimit / gatherShare; wait > limit {
		wait = limit
	}
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// pass sends events to the caller and remembers the id of the last one.
func (t *task) pass(events []byte, flush *http.ResponseController) error {
	if len(events) == 0 {
		return nil
	}
	if _, err := t.w.Write(events); err != nil {
		return galenalatch.KindCallerGone.Errorf("%w", err)
	}
	if err := flush.Flush(); err != nil {
		return galenalatch.KindCallerGone.Errorf("%w", err)
	}
	if id, ok := lastID(events); ok {
		t.last = id
	}
	return nil
}

// whole returns the part of a stream that ends with a whole event.
func whole(b []byte) []byte {
	end := -1
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(separator)); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return b[:max(end, 0)]
}

// lastID returns the id of the last event that has one.
func lastID(b []byte) (string, bool) {
	for len(b) > 0 {
		i := bytes.LastIndexByte(b[:len(b)-1], '\n') + 1
		if v, ok := bytes.CutPrefix(b[i:], []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
		b = b[:i]
	}
	return "", false
}
