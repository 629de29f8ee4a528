// Package reply writes answers to callers so that no client can take a
// broken answer for a whole one, and no error lacks its outcome.
package reply

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
)

// OutcomeHeader and RequestHeader name the headers of our own answers.
const (
	OutcomeHeader = "X-Outcome"
	RequestHeader = "X-Request-Id"
)

// writeTimeout bounds one write. A caller that stops reading for longer is
// taken to be gone, so that it cannot hold a slot of a backend server.
const writeTimeout = time.Minute

// maxHeld bounds the body that is held back for an HTTP/1.0 client.
const maxHeld = 64 << 20

// Writer writes one answer. It is used by one goroutine.
type Writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	request *http.Request
	id      galenalatch.RequestID
	events  bool
	head    bool
	stream  bool
	// hold is set for bodies to HTTP/1.0 clients. Such a client takes the
	// end of the connection for the end of the body, so an abort would look
	// like a whole answer. The body is sent only when it is complete.
	hold   bool
	status int
	held   bytes.Buffer
}

// New returns the writer of the answer to r. The id is sent as X-Request-Id.
// With events set, an answer of type text/event-stream is a stream that ends
// with [DONE] or with an error event; otherwise it is a body like any other.
func New(w http.ResponseWriter, r *http.Request, id galenalatch.RequestID, events bool) *Writer {
	w.Header().Set(RequestHeader, string(id))
	return &Writer{w: w, control: http.NewResponseController(w), request: r, id: id, events: events}
}

// Sent reports whether the caller can still get an error answer.
func (w *Writer) Sent() bool { return w.head && !w.hold }

// Stream reports whether the answer is a stream of events.
func (w *Writer) Stream() bool { return w.stream }

// Head sends the status and header, but for those of the connection. Calls after the first change nothing.
func (w *Writer) Head(status int, header http.Header) error {
	if w.head {
		return nil
	}
	if status < 200 || status > 999 {
		return galenalatch.KindServerBroke.Errorf("the backend server answered with status %d", status)
	}
	w.head, w.status = true, status
	kind, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	w.stream = w.events && kind == "text/event-stream"
	w.hold = !w.stream && !w.request.ProtoAtLeast(1, 1)
	h := w.w.Header()
	drop := hopByHop(header)
	for k, v := range header {
		if !slices.Contains(drop, k) {
			h[k] = slices.Clone(v)
		}
	}
	if w.stream {
		h.Set("Cache-Control", "no-cache")
		h.Set("X-Accel-Buffering", "no")
		h.Del("Content-Length")
	}
	if w.hold {
		return nil
	}
	w.extend()
	w.w.WriteHeader(status)
	return w.flush()
}

// hopByHop returns the headers that belong to the connection to the backend
// server, and those that only this package sets.
func hopByHop(header http.Header) []string {
	drop := []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Date", OutcomeHeader, RequestHeader}
	for _, v := range header.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			drop = append(drop, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return drop
}

// Body sends a part of a body.
func (w *Writer) Body(data []byte) error {
	if w.hold {
		if w.held.Len()+len(data) > maxHeld {
			return galenalatch.KindTooLarge.Errorf("the answer has more than %d bytes, use HTTP/1.1", maxHeld)
		}
		w.held.Write(data)
		return nil
	}
	w.extend()
	if _, err := w.w.Write(data); err != nil {
		return galenalatch.KindCallerGone.Errorf("write the answer: %w", err)
	}
	return w.flush()
}

// Event sends one event of a stream.
func (w *Writer) Event(data []byte) error {
	var b bytes.Buffer
	b.Grow(len(data) + 8)
	for l := range bytes.SplitSeq(data, []byte("\n")) {
		b.WriteString("data: ")
		b.Write(bytes.TrimSuffix(l, []byte("\r")))
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
	return w.Body(b.Bytes())
}

// End completes the answer after all of it was sent. A stream ends with
// [DONE] when done is set.
func (w *Writer) End(done bool) error {
	// The server writes the end of a body after the handler has returned,
	// maybe long after the last piece.
	w.extend()
	switch {
	case w.hold:
		w.hold = false
		w.w.Header().Set("Content-Length", strconv.Itoa(w.held.Len()))
		w.w.WriteHeader(w.status)
		if w.held.Len() == 0 {
			return nil
		}
		return w.Body(w.held.Bytes())
	case w.stream && done:
		return w.Event([]byte("[DONE]"))
	}
	return nil
}

// Fail ends the answer with an error. Before the head was sent it is an
// error answer. After that a stream ends with an error event and without
// [DONE], and for other bodies Fail panics with http.ErrAbortHandler, by
// which net/http closes the connection before the end of the body.
func (w *Writer) Fail(err error) {
	if !w.Sent() {
		w.answer(err)
		return
	}
	if !w.stream {
		panic(http.ErrAbortHandler)
	}
	// A write error means that the caller is gone and cannot be told.
	_ = w.Event(body(err, w.id))
}

func (w *Writer) answer(err error) {
	w.head, w.hold = true, false
	kind := galenalatch.KindOf(err)
	reply := kind.Reply()
	h := w.w.Header()
	for k := range h {
		if k != RequestHeader && k != "Allow" && k != "Www-Authenticate" {
			h.Del(k)
		}
	}
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(OutcomeHeader, string(galenalatch.OutcomeOf(err)))
	if reply.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(reply.RetryAfter.Seconds()))))
	}
	if kind == galenalatch.KindUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	data := append(body(err, w.id), '\n')
	w.extend()
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.w.WriteHeader(reply.Status)
	// A write error means that the caller is gone and cannot be told.
	_, _ = w.w.Write(data)
}

// extend moves the deadline of writes. Writers without deadlines, such as
// recorders, do not block.
func (w *Writer) extend() {
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

func (w *Writer) flush() error {
	if err := w.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return galenalatch.KindCallerGone.Errorf("flush the answer: %w", err)
	}
	return nil
}

// body returns the error in OpenAI's format, with kind and outcome added.
func body(err error, id galenalatch.RequestID) []byte {
	var b struct {
		Error struct {
			Message string                `json:"message"`
			Type    string                `json:"type"`
			Param   *string               `json:"param"`
			Code    galenalatch.Kind      `json:"code"`
			Kind    galenalatch.Kind      `json:"kind"`
			Outcome galenalatch.Outcome   `json:"outcome"`
			Request galenalatch.RequestID `json:"requestId,omitempty"`
		} `json:"error"`
	}
	kind := galenalatch.KindOf(err)
	b.Error.Message = message(err)
	b.Error.Type = typeOf(kind)
	b.Error.Code = kind
	b.Error.Kind = kind
	b.Error.Outcome = galenalatch.OutcomeOf(err)
	b.Error.Request = id
	data, err := json.Marshal(b)
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"internal","kind":"internal","outcome":"outcomeUnknown"}}`)
	}
	return data
}
