// Package reply writes answers to callers. A client can always distinguish an
// incomplete answer from a complete one, and each error states its outcome.
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

// OutcomeHeader and RequestHeader are headers that only the router sets. The
// first is sent with errors, the second with every answer.
const (
	OutcomeHeader = "X-Outcome"
	RequestHeader = "X-Request-Id"
)

// writeTimeout bounds one write. A caller that does not read for longer counts
// as disconnected, so that it cannot occupy a slot of a backend server.
const writeTimeout = time.Minute

// maxBufferedBytes bounds the body that is buffered for an HTTP/1.0 client.
const maxBufferedBytes = 64 << 20

// Writer writes one answer. It must not be used concurrently.
type Writer struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	request     *http.Request
	id          galenalatch.RequestID
	allowStream bool
	headWritten bool
	stream      bool
	// buffering is set for bodies to HTTP/1.0 clients. For such a client the
	// end of the connection is the end of the body, so an aborted body would
	// look complete. The body is sent only when it is complete.
	buffering bool
	status    int
	buffer    bytes.Buffer
}

// New returns the writer of the answer to r. The id is sent as X-Request-Id.
// If allowStream is set, an answer of type text/event-stream is a stream that ends
// with [DONE] or with an error event; otherwise it is written like any other
// body.
func New(w http.ResponseWriter, r *http.Request, id galenalatch.RequestID, allowStream bool) *Writer {
	w.Header().Set(RequestHeader, string(id))
	return &Writer{w: w, control: http.NewResponseController(w), request: r, id: id, allowStream: allowStream}
}

// HeadSent reports whether the status and header have been sent, so that an
// error answer is no longer possible.
func (w *Writer) HeadSent() bool { return w.headWritten && !w.buffering }

// Stream reports whether the answer is a stream of events. It is false before
// Header was called.
func (w *Writer) Stream() bool { return w.stream }

// Header sends the status and header without the headers of the connection to
// the backend server. Only the first call has an effect. Errors are of
// KindServerFailed for a status outside 200 to 999, or of KindCallerClosed.
func (w *Writer) Header(status int, header http.Header) error {
	if w.headWritten {
		return nil
	}
	if status < 200 || status > 999 {
		return galenalatch.KindServerFailed.Errorf("the backend server answered with status %d", status)
	}
	w.headWritten, w.status = true, status
	mediaType, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	w.stream = w.allowStream && mediaType == "text/event-stream"
	w.buffering = !w.stream && !w.request.ProtoAtLeast(1, 1)
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
	if w.buffering {
		return nil
	}
	w.extendWriteDeadline()
	w.w.WriteHeader(status)
	return w.flush()
}

// hopByHop returns the names of the headers that are not passed on: those that
// belong to the connection to the backend server, and those that only this
// package or net/http sets.
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

// Body sends a part of a body. Errors are of KindCallerClosed, or of
// KindTooLarge when the body for an HTTP/1.0 client exceeds 64 MiB.
func (w *Writer) Body(data []byte) error {
	if w.buffering {
		if w.buffer.Len()+len(data) > maxBufferedBytes {
			return galenalatch.KindTooLarge.Errorf("the answer has more than %d bytes, use HTTP/1.1", maxBufferedBytes)
		}
		w.buffer.Write(data)
		return nil
	}
	w.extendWriteDeadline()
	if _, err := w.w.Write(data); err != nil {
		return galenalatch.KindCallerClosed.Errorf("write the answer: %w", err)
	}
	return w.flush()
}

// Event sends one event of a stream. Each line of data becomes one data line of
// the event.
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

// End completes the answer after all of its data. If done is set, a stream ends
// with [DONE].
func (w *Writer) End(done bool) error {
	// net/http writes the end of a body after the handler has returned, which
	// may be long after the last write.
	w.extendWriteDeadline()
	switch {
	case w.buffering:
		w.buffering = false
		w.w.Header().Set("Content-Length", strconv.Itoa(w.buffer.Len()))
		w.w.WriteHeader(w.status)
		if w.buffer.Len() == 0 {
			return nil
		}
		return w.Body(w.buffer.Bytes())
	case w.stream && done:
		return w.Event([]byte("[DONE]"))
	}
	return nil
}

// Fail ends the answer with an error. If the head has not been sent, it sends an
// error answer. Otherwise a stream ends with an error event and without [DONE];
// for other bodies Fail panics with http.ErrAbortHandler, so that net/http closes
// the connection before the end of the body.
func (w *Writer) Fail(err error) {
	if !w.HeadSent() {
		w.writeError(err)
		return
	}
	if !w.stream {
		panic(http.ErrAbortHandler)
	}
	// After a write error the caller is disconnected; there is no one to report
	// the error to.
	_ = w.Event(errorBody(err, w.id))
}

func (w *Writer) writeError(err error) {
	w.headWritten, w.buffering = true, false
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
	data := append(errorBody(err, w.id), '\n')
	w.extendWriteDeadline()
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.w.WriteHeader(reply.Status)
	// After a write error the caller is disconnected; there is no one to report
	// the error to.
	_, _ = w.w.Write(data)
}

// extendWriteDeadline sets the write deadline to writeTimeout from now. Response
// writers without deadlines, such as recorders, do not block.
func (w *Writer) extendWriteDeadline() {
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

func (w *Writer) flush() error {
	if err := w.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return galenalatch.KindCallerClosed.Errorf("flush the answer: %w", err)
	}
	return nil
}

// errorBody returns the JSON of the error in OpenAI's format, with kind, outcome
// and request id added.
func errorBody(err error, id galenalatch.RequestID) []byte {
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
	b.Error.Message = callerMessage(err)
	b.Error.Type = errorType(kind)
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
