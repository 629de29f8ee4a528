package reply_test

import (
	"bufio"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/reply"
)

// kinds returns all error kinds, read from the constants in kind.go.
func kinds(t *testing.T) []galenalatch.Kind {
	f, err := parser.ParseFile(token.NewFileSet(), "../../../kind.go", nil, 0)
	assert.NilError(t, err)
	var list []galenalatch.Kind
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(v.Names[0].Name, "Kind") {
			return true
		}
		s, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
		assert.NilError(t, err)
		list = append(list, galenalatch.Kind(s))
		return true
	})
	assert.Assert(t, len(list) >= 25)
	return list
}

const internalDetail = "detail with 10.0.0.7:9101"

func serve(t *testing.T, f func(w *reply.Writer)) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f(reply.New(w, r, "request-1", true))
	}))
	t.Cleanup(s.Close)
	return s
}

// Guards against an error kind without an answer, against changes of the status,
// headers and body fields that callers rely on, and against internal addresses
// in answers.
func TestErrorAnswers(t *testing.T) {
	var b strings.Builder
	record := func(name string, err error) {
		w := httptest.NewRecorder()
		reply.New(w, httptest.NewRequest("GET", "/", nil), "request-1", true).Fail(err)
		fmt.Fprintf(&b, "%s: %d\n", name, w.Code)
		for _, h := range []string{"Content-Type", "X-Outcome", "X-Request-Id", "Retry-After", "Www-Authenticate"} {
			if v := w.Header().Get(h); v != "" {
				fmt.Fprintf(&b, "  %s: %s\n", h, v)
			}
		}
		fmt.Fprintf(&b, "  %s", w.Body)
	}
	for _, k := range kinds(t) {
		record(string(k), k.Errorf(internalDetail))
	}
	record("no kind", errors.New(internalDetail))
	var e *galenalatch.Error
	assert.Assert(t, errors.As(galenalatch.KindServerFailed.Errorf(internalDetail), &e))
	record("other outcome", e.WithOutcome(galenalatch.NotRun))
	golden.Assert(t, b.String(), "answers.golden")
}

// Guards against an incomplete stream that looks complete, and against line
// breaks in an event that break the framing of the stream.
func TestStream(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want string
	}{
		"complete":   {nil, "data: a\ndata: b\n\ndata: [DONE]\n\n"},
		"incomplete": {galenalatch.KindStreamBroken.Errorf(internalDetail), "data: a\ndata: b\n\ndata: {\"error\":{"},
	} {
		s := serve(t, func(w *reply.Writer) {
			assert.Check(t, w.Header(200, http.Header{"Content-Type": {"text/event-stream"}, "Content-Length": {"5"}}))
			assert.Check(t, w.Event([]byte("a\r\nb")))
			if c.err != nil {
				w.Fail(c.err)
				return
			}
			assert.Check(t, w.End(true))
		})
		r, err := http.Get(s.URL)
		assert.NilError(t, err)
		data, err := io.ReadAll(r.Body)
		assert.NilError(t, err, name)
		assert.Assert(t, strings.HasPrefix(string(data), c.want), "%s: %s", name, data)
		assert.Equal(t, strings.Contains(string(data), "[DONE]"), c.err == nil, name)
	}
}

// Guards against a body that ends early without an error at the client, with
// HTTP/1.1 and with HTTP/1.0, where the end of the connection ends the body.
func TestBody(t *testing.T) {
	startServer := func(err error) *httptest.Server {
		return serve(t, func(w *reply.Writer) {
			assert.Check(t, w.Header(200, http.Header{"Content-Type": {"application/json"}}))
			assert.Check(t, w.Body([]byte(`{"half":`)))
			if err != nil {
				w.Fail(err)
				return
			}
			assert.Check(t, w.Body([]byte(`1}`)))
			assert.Check(t, w.End(false))
		})
	}
	broken := startServer(galenalatch.KindServerFailed.Errorf(internalDetail))
	r, err := http.Get(broken.URL)
	assert.NilError(t, err)
	_, err = io.ReadAll(r.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)

	code, body := getHTTP10(t, broken)
	assert.Equal(t, code, 502)
	assert.Assert(t, strings.Contains(body, `"outcome":"outcomeUnknown"`), body)
	code, body = getHTTP10(t, startServer(nil))
	assert.Equal(t, code, 200)
	assert.Equal(t, body, `{"half":1}`)
}

func getHTTP10(t *testing.T, s *httptest.Server) (int, string) {
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return r.StatusCode, string(data)
}

// Guards against a backend server that sets headers reserved for the router,
// against hop-by-hop headers that are passed on, and against a status that
// net/http does not accept.
func TestHeaders(t *testing.T) {
	s := serve(t, func(w *reply.Writer) {
		assert.Check(t, w.Header(0, nil) != nil && w.Header(101, nil) != nil && w.Header(1000, nil) != nil)
		assert.Check(t, w.Header(200, http.Header{
			"X-Outcome": {"notRun"}, "X-Request-Id": {"other"}, "Connection": {"close, X-Inner"}, "X-Inner": {"1"},
			"Keep-Alive": {"1"}, "Etag": {"x"},
		}))
	})
	r, err := http.Get(s.URL)
	assert.NilError(t, err)
	assert.NilError(t, r.Body.Close())
	assert.Equal(t, r.Header.Get("X-Request-Id"), "request-1")
	assert.Equal(t, r.Header.Get("Etag"), "x")
	for _, h := range []string{"X-Outcome", "X-Inner", "Keep-Alive"} {
		assert.Equal(t, r.Header.Get(h), "", h)
	}
}
