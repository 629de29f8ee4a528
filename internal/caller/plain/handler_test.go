package plain_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/inflight"
	"github.com/galenalatch/galenalatch/internal/caller/plain"
	"github.com/galenalatch/galenalatch/internal/caller/request"
)

// recordingSubmitter is a Submitter that records requests and sends the start
// of an event stream.
type recordingSubmitter struct {
	received []galenalatch.Request
	err      error
}

func (f *recordingSubmitter) Submit(_ context.Context, r galenalatch.Request, s galenalatch.Sink) error {
	f.received = append(f.received, r)
	if err := s.Header(201, http.Header{"Content-Type": {"text/event-stream"}, "Location": {"/pickups/1"}}); err != nil {
		return err
	}
	if err := s.Data([]byte("data: 1\n\n")); err != nil {
		return err
	}
	return f.err
}

func catalogue() galenalatch.Catalogue {
	return galenalatch.Catalogue{Pools: []galenalatch.Pool{
		{Name: "records", Kind: galenalatch.PlainPool, Routes: []galenalatch.Route{{Method: "POST", PathPrefix: "/status/", Repeatable: true}}},
		{Name: "model", Kind: galenalatch.ModelPool, Models: []string{"x"}},
	}}
}

func workspace(r *http.Request) (galenalatch.WorkspaceName, error) {
	if r.Header.Get("Authorization") == "" {
		return "", galenalatch.KindUnauthorized.Errorf("no key")
	}
	return "market", nil
}

func start(t *testing.T, f *recordingSubmitter, options ...request.Option) *httptest.Server {
	s := httptest.NewServer(plain.New(request.New(f, catalogue, workspace, options...)))
	t.Cleanup(s.Close)
	return s
}

func call(t *testing.T, s *httptest.Server, method, target string, header ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, s.URL+target, strings.NewReader("body"))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(header); i += 2 {
		r.Header[header[i]] = append(r.Header[header[i]], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	return resp
}

// Guards against a request that is submitted with another path or method than
// the caller sent, as repeatable although it is not, or without its idempotency
// key.
func TestCalls(t *testing.T) {
	f := &recordingSubmitter{}
	s := start(t, f)
	var b strings.Builder
	for _, c := range []struct {
		method, target string
		header         []string
	}{
		{"POST", "/services/records/pickups?x=1&y=%2F", []string{"Idempotency-Key", "k 1~", "X-Class", "batch"}},
		{"POST", "/services/records/status/7", []string{"X-Http-Method-Override", "DELETE", "Cookie", "c", "X-Inner", "1", "Connection", "X-Inner"}},
		{"POST", "/services/records/status", nil},
		{"GET", "/services/records/", []string{"X-Request-Id", "mine", "Accept-Language", "fil"}},
		{"DELETE", "/services/records/pickups/caf%C3%A9%20/", nil},
		{"PATCH", "/services/records/a..b/.c", nil},
	} {
		resp := call(t, s, c.method, c.target, c.header...)
		data, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "data: 1\n\n")
		assert.Equal(t, resp.StatusCode, 201)
		q := f.received[len(f.received)-1]
		assert.Equal(t, resp.Header.Get("X-Request-Id"), string(q.ID))
		assert.Equal(t, q.Header.Get("X-Request-Id"), string(q.ID))
		assert.Equal(t, string(q.Body), "body")
		q.Header.Del("X-Request-Id")
		q.Header.Del("User-Agent")
		q.Header.Del("Accept-Encoding")
		fmt.Fprintf(&b, "%s %s\n  %s %s %s pool=%s class=%s repeatable=%t key=%q header=%v\n", c.method, c.target,
			q.Workspace, q.Method, q.Path, q.Pool, q.Class, q.Repeatable, q.Key, q.Header)
	}
	golden.Assert(t, b.String(), "calls.golden")
}

// Guards against invalid requests that are submitted.
func TestBadCalls(t *testing.T) {
	f := &recordingSubmitter{}
	s := start(t, f, request.WithBodyLimit(3))
	var b strings.Builder
	for _, c := range []struct {
		method, target string
		header         []string
	}{
		{"OPTIONS", "/services/records/x", nil},
		{"CONNECT", "/services/records/x", nil},
		{"GET", "/services/", nil},
		{"GET", "/services/records", nil},
		{"GET", "/services//x", nil},
		{"GET", "/services/none/x", nil},
		{"GET", "/services/model/x", nil},
		{"POST", "/services/records/status/../pickups", nil},
		{"POST", "/services/records/status/%2e%2e/pickups", nil},
		{"POST", "/services/records/status/..%2fpickups", nil},
		{"POST", "/services/records/status/..%5Cpickups", nil},
		{"POST", "/services/records/status/..;/pickups", nil},
		{"POST", "/services/records/status//x", nil},
		{"POST", "/services/records/./x", nil},
		{"POST", "/services/records/status/..", nil},
		{"POST", "/services/records/x%00", nil},
		{"POST", "/services/records/x", []string{"X-Class", "urgent"}},
		{"POST", "/services/records/x", []string{"Idempotency-Key", ""}},
		{"POST", "/services/records/x", []string{"Idempotency-Key", strings.Repeat("k", 256)}},
		{"POST", "/services/records/x", []string{"Idempotency-Key", "caf\xc3\xa9"}},
		{"POST", "/services/records/x", []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}},
		{"POST", "/services/records/x", nil},
	} {
		resp := call(t, s, c.method, c.target, c.header...)
		data, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get("X-Outcome"), "notRun", "%s: %s", c.target, data)
		_, text, _ := strings.Cut(string(data), `"message":`)
		text, _, _ = strings.Cut(text, `,"type"`)
		fmt.Fprintf(&b, "%s %s %.40q: %d %s\n", c.method, c.target, c.header, resp.StatusCode, text)
	}
	golden.Assert(t, b.String(), "bad.golden")
	assert.Equal(t, len(f.received), 0)
}

// Guards against an incomplete body that looks complete. This includes event
// streams, which have no end marker in plain services.
func TestBrokenResponse(t *testing.T) {
	s := start(t, &recordingSubmitter{err: galenalatch.KindServerFailed.Errorf("reset")})
	resp := call(t, s, "GET", "/services/records/x")
	_, err := io.ReadAll(resp.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a workspace with more requests or body bytes in progress than
// its limit, and against a limit that counts requests that have ended.
func TestWorkspaceLimit(t *testing.T) {
	l := inflight.New(2, 10)
	s := start(t, &recordingSubmitter{}, request.WithLimiter(l), request.WithBodyLimit(8))
	status := func() int {
		resp := call(t, s, "GET", "/services/records/x")
		_, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode
	}
	first, err := l.Acquire("market")
	assert.NilError(t, err)
	second, err := l.Acquire("market")
	assert.NilError(t, err)
	_, err = l.Acquire("other")
	assert.NilError(t, err)
	assert.Equal(t, status(), 429)
	first.Release()
	first.Release()
	for range 3 {
		assert.Equal(t, status(), 201)
	}
	assert.NilError(t, second.Resize(7))
	assert.Equal(t, status(), 429)
	assert.NilError(t, second.Resize(-1))
	assert.Equal(t, status(), 201)
	second.Release()
	assert.Equal(t, status(), 201)
}
