package engine

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/broken"
)

const (
	// startTime is the answer with the boot identity "1", which a client reads first.
	startTime = "HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\nprocess_start_time_seconds 1\n"
	// longPrompt is more than the kernel buffers for a connection, in bytes.
	longPrompt = 16 << 20
	jsonFields = "X-Request-Id: r-1\r\nContent-Type: application/json\r\n"
	jsonBody   = `{"choices":[{"message":{"content":"a"}}]}`
	// streamFields and streamBody are those of a whole stream.
	streamFields = "X-Request-Id: r-1\r\nContent-Type: text/event-stream\r\n"
	streamBody   = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\ndata: [DONE]\n\n"
)

// runBroken sends a request to an engine that gives the answer.
func runBroken(t *testing.T, e broken.Ending, answer, prompt string) (*recorder, error) {
	t.Helper()
	s, err := broken.New(e, startTime, answer)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	var r recorder
	_, err = newClient(t).Run(t.Context(), newAttempt(s.Address(), "1", "r-1", prompt, 1, true), &r)
	return &r, err
}

// Guards against a part of an answer that is passed on as whole: its engine has reset the
// connection while it got the request.
func TestResetDuringUpload(t *testing.T) {
	cut := strings.Replace(streamBody, "data: [DONE]\n\n", "", 1)
	tests := []struct{ name, answer string }{
		{"body without length", "HTTP/1.1 200 OK\r\n" + jsonFields + "\r\n" + jsonBody},
		{"a part of the length", "HTTP/1.1 200 OK\r\n" + jsonFields + "Content-Length: 100\r\n\r\n" + jsonBody},
		{"stream without length", "HTTP/1.1 200 OK\r\n" + streamFields + "\r\n" + cut},
		{"a part of the chunks", "HTTP/1.1 200 OK\r\n" + streamFields + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + cut[:16] + "\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := runBroken(t, broken.Reset, tt.answer, strings.Repeat("u", longPrompt))
			assert.Assert(t, err != nil)
			assert.Assert(t, galenalatch.OutcomeOf(err) != galenalatch.NotRun, "%v", err)
		})
	}
}

// expectNothing expects that nothing of the answers is passed on.
func expectNothing(t *testing.T, answers []broken.Answer) {
	t.Helper()
	for _, a := range answers {
		r, err := runBroken(t, broken.CloseWrite, a.Bytes, "prompt")
		assert.Assert(t, err != nil, "%s: the answer is accepted", a.Name)
		assert.Assert(t, galenalatch.OutcomeOf(err) != galenalatch.NotRun, "%s: %v", a.Name, err)
		assert.Equal(t, r.heads, 0, "%s: status %d", a.Name, r.status)
	}
}

// Guards against the answer of an engine in trouble that is passed on: its status is 000,
// or its status line is broken in another way.
func TestBrokenStatus(t *testing.T) {
	expectNothing(t, broken.BrokenStatus(jsonFields, jsonBody))
	expectNothing(t, broken.BrokenStatus(streamFields, streamBody))
}

// Guards against the answer of an engine in trouble that is passed on: the name of a field
// has a blank or a control byte, or a line continues the one before.
func TestBrokenField(t *testing.T) {
	expectNothing(t, broken.BrokenField(jsonFields, jsonBody))
	expectNothing(t, broken.BrokenField(streamFields, streamBody))
}
