package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/broken"
	"github.com/galenalatch/galenalatch/internal/standin/headers"
)

const brokenFields = headers.Request + ": r-1\r\n" + headers.Seal + ": 1\r\n"

// expectError sends a request for each of the answers on one connection. The last one must
// be an error, after which the request may have run.
func expectError(t *testing.T, name string, answers ...string) {
	t.Helper()
	s, err := broken.New(broken.CloseWrite, answers...)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	c := New(Options{Dial: (&net.Dialer{}).DialContext, Headers: headers.Headers{}, DialTimeout: time.Second, MaxIdle: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for i := range answers {
		a, err := c.Send(ctx, &Request{
			ID: "r-1", Server: "s1", Address: s.Address(), Method: "GET", URI: "/", Host: "a.example", Header: http.Header{headers.Request: {"r-1"}},
		})
		if i == len(answers)-1 {
			var unsent *NotSentError
			assert.Assert(t, err != nil, "%s: the response is accepted", name)
			assert.Assert(t, !errors.As(err, &unsent), "%s: %v", name, err)
			assert.NilError(t, ctx.Err(), name)
			return
		}
		assert.NilError(t, err)
		body, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "body")
		a.Close()
	}
}

// expectErrors expects an error for each of the answers: as the first one of a connection,
// on a kept connection, and right after a response to another request, with which it is
// read together.
func expectErrors(t *testing.T, answers []broken.Answer) {
	t.Helper()
	other := broken.Sound(headers.Request+": r-2\r\n", "other")
	for _, a := range answers {
		expectError(t, a.Name, a.Bytes)
		expectError(t, a.Name+" on a kept connection", broken.Sound(brokenFields, "body"), a.Bytes)
		expectError(t, a.Name+" after another response", other+a.Bytes)
	}
}

// Guards against a response with the status 000, which was taken for an interim one, or
// with another broken status line.
func TestBrokenStatus(t *testing.T) {
	expectErrors(t, broken.BrokenStatus(brokenFields, "body"))
}

// Guards against a response with a blank or a control byte in the name of a field, or with
// a line that continues the one before. Its body may have another length than the server
// meant.
func TestBrokenField(t *testing.T) {
	expectErrors(t, broken.BrokenField(brokenFields, "body"))
}
