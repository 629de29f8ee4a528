// Package headers names the HTTP headers of the stand-ins. A platform has
// names of its own; the tests of the product do not depend on them.
package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
)

// The headers of requests and answers.
const (
	Request   = "Galenalatch-Request"
	Deadline  = "Galenalatch-Deadline"
	Key       = "Galenalatch-Key"
	LastEvent = "Galenalatch-Last-Event"
	Prompt    = "Galenalatch-Prompt"
	Server    = "Galenalatch-Server"
	Workspace = "Galenalatch-Workspace"
	Seal      = "Galenalatch-Seal"
	NotRun    = "Galenalatch-Not-Run"
	Return    = "Galenalatch-Return"
)

// Headers implements galenalatch.Headers.
type Headers struct{}

// Call implements galenalatch.Headers.
func (Headers) Call(h http.Header) (galenalatch.Call, error) {
	c := galenalatch.Call{ID: galenalatch.RequestID(h.Get(Request)), Key: h.Get(Key), LastEvent: h.Get(LastEvent)}
	if v := h.Get(Deadline); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return c, galenalatch.KindBadRequest.Errorf("header %s: %w", Deadline, err)
		}
		c.Deadline = d
	}
	for p := range strings.FieldsSeq(h.Get(Prompt)) {
		id, tokens, _ := strings.Cut(p, ":")
		n, err := strconv.Atoi(tokens)
		if err != nil {
			return c, galenalatch.KindBadRequest.Errorf("header %s: %w", Prompt, err)
		}
		c.Prompt = append(c.Prompt, galenalatch.PromptPart{ID: id, Tokens: n})
		c.PromptTokens += n
	}
	return c, nil
}

// Forward implements galenalatch.Headers.
func (Headers) Forward(h http.Header, f galenalatch.Forwarding) http.Header {
	out := h.Clone()
	for _, k := range []string{Key, "Connection", "Content-Length", "Transfer-Encoding"} {
		out.Del(k)
	}
	out.Set(Server, string(f.Server))
	out.Set(Workspace, string(f.Workspace))
	out.Set(Deadline, f.Left.String())
	if f.LastEvent != "" {
		out.Set(LastEvent, f.LastEvent)
	}
	return out
}

// Answer implements galenalatch.Headers.
func (Headers) Answer(status int, h http.Header) galenalatch.AnswerHead {
	return galenalatch.AnswerHead{
		ID: galenalatch.RequestID(h.Get(Request)), Sealed: h.Get(Seal) != "", NotRun: h.Get(NotRun) != "",
		Misdirected: status == http.StatusMisdirectedRequest,
	}
}

// Return implements galenalatch.Headers.
func (Headers) Return(h http.Header) http.Header {
	out := h.Clone()
	for _, k := range []string{"Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive"} {
		out.Del(k)
	}
	return out
}

// RetryAfter implements galenalatch.Headers.
func (Headers) RetryAfter(h http.Header, d time.Duration) {
	h.Set(Return, d.String())
}
