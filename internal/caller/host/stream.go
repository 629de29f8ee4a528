package host

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
)

const (
	// maxUnbatchedStreams is the number of open streams up to which events are
	// forwarded as they arrive. Each further stream adds batchWaitPerStream to
	// the wait for a batch, up to PassLimit/batchWaitDivisor.
	maxUnbatchedStreams = 24
	batchWaitPerStream  = time.Millisecond
	batchWaitDivisor    = 3
	// streamBufferSize is the largest read from a stream, in bytes.
	streamBufferSize = 8 << 10
	// maxEventSize bounds one event of a stream, in bytes.
	maxEventSize = 64 << 10
	// writeGrace is how long after the time limit of its request a caller may
	// take to read the end of the stream.
	writeGrace = 2 * time.Second
)

// forwardStream forwards complete events as they arrive. An incomplete event is
// dropped when the response is cut off, so that another attempt can resume the
// stream after the last complete one.
func (t *transaction) forwardStream(ctx context.Context, a *exchange.Response, p *placement.Reservation) error {
	flush := http.NewResponseController(t.w)
	if !a.Head.Sealed {
		a.Abort()
		return errUnsealed
	}
	if !t.headSent {
		// If the deadline cannot be set, writing the events fails as well.
		_ = flush.SetWriteDeadline(t.arrival.Add(t.timeLimit + writeGrace))
	}
	t.h.openStreams.Add(1)
	defer t.h.openStreams.Add(-1)
	err := t.copyEvents(ctx, a, p, flush)
	if err == nil {
		err = t.checkEnd(ctx, a, p)
	}
	if err != nil {
		a.Abort()
		return err
	}
	a.Close()
	t.streamComplete = true
	t.h.Events.Ended(t.call.ID, t.decision, a.Status, nil)
	return nil
}

// errTornEvent means that a stream ended inside an event. Its body may have neither a
// length nor chunks, so that its end does not show that it is complete.
var errTornEvent = errors.New("the stream ended inside an event")

// copyEvents forwards events until the end of the stream. It sends the head with
// the first ones, unless an earlier attempt has sent it.
func (t *transaction) copyEvents(ctx context.Context, a *exchange.Response, p *placement.Reservation, flush *http.ResponseController) error {
	buffer := make([]byte, streamBufferSize)
	pending := eventBuffer{account: t.account}
	defer pending.release()
	for first := true; ; {
		if !first {
			t.waitForBatch(ctx, int(t.h.openStreams.Load()))
		}
		n, err := a.Body.Read(buffer)
		if first && n > 0 {
			first = false
			t.answer.first = time.Now()
			t.recordFirstBytes(p)
		}
		if !pending.add(buffer[:n]) {
			return fmt.Errorf("there is no memory for an event of more than %d bytes", len(pending.bytes))
		}
		end := errors.Is(err, io.EOF)
		events := completeEvents(pending.bytes)
		if t.choice.Compared() {
			t.answer.countEvents(events)
		}
		end = end && len(events) == len(pending.bytes)
		if !t.headSent && (end || len(events) > 0) {
			t.recordFirstEvent()
			t.sendHead(a, -1)
		}
		if err := t.sendEvents(events, flush); err != nil {
			return err
		}
		pending.drop(len(events))
		switch {
		case end:
			return nil
		case errors.Is(err, io.EOF):
			return fmt.Errorf("stream after event %q: %w", t.lastEventID, errTornEvent)
		case err != nil:
			return errors.Join(context.Cause(ctx), fmt.Errorf("stream after event %q: %w", t.lastEventID, err))
		case len(pending.bytes) > maxEventSize:
			return fmt.Errorf("an event of the stream is longer than %d bytes", maxEventSize)
		}
	}
}

// recordFirstBytes records the first bytes of a stream.
func (t *transaction) recordFirstBytes(p *placement.Reservation) {
	t.h.Table.RecordFirstToken(time.Now(), p)
	if t.decision.FirstByte == 0 {
		t.decision.FirstByte = time.Since(t.arrival)
	}
}

// waitForBatch waits for more events when the router forwards many streams, so
// that several events are read and written together, which saves processor
// time. The wait is at most PassLimit/batchWaitDivisor.
func (t *transaction) waitForBatch(ctx context.Context, streams int) {
	wait := time.Duration(streams-maxUnbatchedStreams) * batchWaitPerStream
	if limit := t.h.PassLimit / batchWaitDivisor; wait > limit {
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

// sendEvents sends events to the caller and records the id of the last one.
func (t *transaction) sendEvents(events []byte, flush *http.ResponseController) error {
	if len(events) == 0 {
		return nil
	}
	if _, err := t.w.Write(events); err != nil {
		return galenalatch.KindCallerClosed.Errorf("%w", err)
	}
	if err := flush.Flush(); err != nil {
		return galenalatch.KindCallerClosed.Errorf("%w", err)
	}
	if id, ok := lastEventID(events); ok {
		t.lastEventID = id
	}
	return nil
}

// completeEvents returns the longest prefix of a stream that ends with a
// complete event.
func completeEvents(b []byte) []byte {
	end := -1
	for _, separator := range []string{"\n\n", "\r\r", "\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(separator)); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return b[:max(end, 0)]
}

// lastEventID returns the id of the last event that has one. It reports false
// if there is none.
func lastEventID(b []byte) (string, bool) {
	for len(b) > 0 {
		i := bytes.LastIndexByte(b[:len(b)-1], '\n') + 1
		if v, ok := bytes.CutPrefix(b[i:], []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
		b = b[:i]
	}
	return "", false
}
