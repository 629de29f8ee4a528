// Package headers defines the HTTP headers that the stand-ins use. A real
// platform has other names, on which the tests of this module do not depend.
package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
)

// The headers of requests and responses.
const (
	// Request is the ID of the request. Responses repeat it.
	Request = "Galenalatch-Request"
	// Deadline is the time left for the request, in the format of
	// time.ParseDuration.
	Deadline = "Galenalatch-Deadline"
	// IdempotencyKey is the key of the caller. It is not forwarded to backend
	// servers.
	IdempotencyKey = "Galenalatch-Key"
	// LastEvent is the ID of the last event that the caller has received of
	// the stream that it resumes.
	LastEvent = "Galenalatch-Last-Event"
	// FirstAttempt is the ID of the attempt that brought the first event of that stream.
	FirstAttempt = "Galenalatch-First-Attempt"
	// Prompt lists the parts of a prompt as ID:TOKENS, separated by spaces.
	Prompt = "Galenalatch-Prompt"
	// Server is the ID of the backend server to which a request is forwarded.
	Server = "Galenalatch-Server"
	// Workspace is the workspace of the caller.
	Workspace = "Galenalatch-Workspace"
	// Seal is set in responses that come from the service itself.
	Seal = "Galenalatch-Seal"
	// NotRun is set in responses of a server that did not run the request.
	NotRun = "Galenalatch-Not-Run"
	// Limit is the number of requests per second that the server takes from all
	// routers together.
	Limit = "Galenalatch-Limit"
	// Cold is the time for which a server stays cold, in answers about its health, in the
	// format of time.ParseDuration.
	Cold = "Galenalatch-Cold"
	// Leaving is set in all responses of a server that leaves.
	Leaving = "Galenalatch-Leaving"
	// Return is the time after which a refused caller may retry, in the
	// format of time.Duration.
	Return = "Galenalatch-Return"
)

// Headers implements galenalatch.Headers with the headers of this package.
type Headers struct{}

// Call implements galenalatch.Headers. It returns an error of kind
// galenalatch.KindBadRequest for a malformed deadline or prompt.
func (Headers) Call(h http.Header) (galenalatch.Call, error) {
	c := galenalatch.Call{ID: galenalatch.RequestID(h.Get(Request)), Key: h.Get(IdempotencyKey), LastEvent: h.Get(LastEvent), FirstAttempt: galenalatch.RequestID(h.Get(FirstAttempt))}
	if v := h.Get(Deadline); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return c, galenalatch.KindBadRequest.Errorf("header %s: %w", Deadline, err)
		}
		c.Deadline = d
	}
	for p := range strings.FieldsSeq(h.Get(Prompt)) {
		id, count, _ := strings.Cut(p, ":")
		n, err := strconv.Atoi(count)
		if err != nil {
			return c, galenalatch.KindBadRequest.Errorf("header %s: %w", Prompt, err)
		}
		c.Prompt = append(c.Prompt, galenalatch.PromptPart{ID: id, Tokens: n})
		c.PromptTokens += n
	}
	return c, nil
}

// ForwardRequest implements galenalatch.Headers.
func (Headers) ForwardRequest(h http.Header, f galenalatch.Forwarding) http.Header {
	out := h.Clone()
	for _, k := range []string{IdempotencyKey, "Connection", "Content-Length", "Transfer-Encoding"} {
		out.Del(k)
	}
	out.Set(Server, string(f.Server))
	out.Set(Workspace, string(f.Workspace))
	out.Set(Deadline, f.Remaining.String())
	if f.LastEvent != "" {
		out.Set(LastEvent, f.LastEvent)
	}
	return out
}

// Response implements galenalatch.Headers.
func (Headers) Response(status int, h http.Header) galenalatch.ResponseHead {
	limit, err := strconv.ParseFloat(h.Get(Limit), 64)
	// Without a valid time there is no pause.
	pause, _ := time.ParseDuration(h.Get(Return))
	cold, _ := time.ParseDuration(h.Get(Cold))
	return galenalatch.ResponseHead{
		Server: galenalatch.ServerID(h.Get(Server)), ColdFor: max(cold, 0),
		Leaving: h.Get(Leaving) != "", Pause: max(pause, 0),
		Limit: limit, Limited: err == nil,
		ID: galenalatch.RequestID(h.Get(Request)), Sealed: h.Get(Seal) != "", NotRun: h.Get(NotRun) != "",
		Misdirected: status == http.StatusMisdirectedRequest,
	}
}

// ForwardResponse implements galenalatch.Headers.
func (Headers) ForwardResponse(h http.Header) http.Header {
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

// Report is the request target of the report of a server.
const Report = "/galenalatch-report"

// RunReports implements galenalatch.RunReports. A report lists the ids of the running
// requests, separated by spaces.
type RunReports struct{}

// Target implements galenalatch.RunReports.
func (RunReports) Target() string { return Report }

// Runs implements galenalatch.RunReports.
func (RunReports) Runs(report []byte) ([]galenalatch.RequestID, bool) {
	var ids []galenalatch.RequestID
	for id := range strings.FieldsSeq(string(report)) {
		ids = append(ids, galenalatch.RequestID(id))
	}
	return ids, true
}
