package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/connection"
	"github.com/galenalatch/galenalatch/internal/standin/network"
	"github.com/galenalatch/galenalatch/internal/standin/process"
	standin "github.com/galenalatch/galenalatch/internal/standin/service"
	"gotest.tools/v3/assert"
)

// recorder is a sink that keeps an answer.
type recorder struct {
	status   int
	heads    int
	header   http.Header
	body     strings.Builder
	progress []galenalatch.Usage
	onData   func() error
}

func (r *recorder) Header(status int, h http.Header) error {
	r.status, r.header = status, h
	r.heads++
	return nil
}

func (r *recorder) Data(data []byte) error {
	r.body.Write(data)
	if r.onData != nil {
		return r.onData()
	}
	return nil
}

func (r *recorder) Progress(u galenalatch.Usage) {
	r.progress = append(r.progress, u)
}

func start(t testing.TB, s *standin.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() { assert.Check(t, s.Serve(ctx, l)) })
	t.Cleanup(func() {
		cancel()
		g.Wait()
	})
	return l.Addr().String()
}

func newClient(t testing.TB, opts ...Option) *Client {
	p := connection.New()
	t.Cleanup(p.Close)
	return New(p, opts...)
}

func newAttempt(address string, boot galenalatch.BootID, id, query string) galenalatch.Attempt {
	return galenalatch.Attempt{
		Request: galenalatch.RequestID(id), Address: address, Boot: boot,
		Method: http.MethodPost, Path: "/pickups/" + id + query, Body: []byte("household " + id),
		Header: http.Header{
			"Idempotency-Key": {"key-" + id}, "Authorization": {"Bearer x"},
			"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Expect": {"100-continue"},
		},
	}
}

// TestAnswers guards against answers of concurrent requests that are mixed,
// against headers that are lost, and against requests that run twice.
func TestAnswers(t *testing.T) {
	s := standin.New(standin.Settings{})
	address := start(t, s)
	c := newClient(t)
	var g sync.WaitGroup
	for i := range 40 {
		g.Go(func() {
			id := fmt.Sprint(i)
			var r recorder
			o := newAttempt(address, s.Boot(), id, []string{"", "?chunked=1"}[i%2])
			o.Repeatable = i%4 < 2
			_, err := c.Run(t.Context(), o, &r)
			assert.Check(t, err)
			var a standin.Record
			assert.Check(t, json.Unmarshal([]byte(r.body.String()), &a))
			assert.Check(t, a == standin.Record{Path: "/pickups/" + id, Method: "POST", Request: id, Body: "household " + id, Count: 1}, "%+v", a)
			assert.Check(t, r.heads == 1 && r.status == http.StatusCreated)
		})
	}
	g.Wait()
	for i := range 40 {
		assert.Equal(t, s.Stats().Keys[fmt.Sprintf("key-%d", i)], 1)
	}
}

// TestBodyCutAtEveryByte guards against a truncated body that is passed on
// without an error, with a Content-Length and with chunked encoding.
func TestBodyCutAtEveryByte(t *testing.T) {
	s := standin.New(standin.Settings{})
	address := start(t, s)
	for _, query := range []string{"", "?chunked=1"} {
		// The server closes the connection after the last answer of the
		// loop, which is complete. A kept connection may not have noticed that.
		c := newClient(t)
		var whole recorder
		s.SetFailures(process.Failures{})
		_, err := c.Run(t.Context(), newAttempt(address, s.Boot(), "000", query), &whole)
		assert.NilError(t, err)
		for cut := 1; cut <= whole.body.Len(); cut++ {
			s.SetFailures(process.Failures{BreakBytes: cut, BreakTimes: 1})
			id := fmt.Sprintf("%03d", cut)
			var r recorder
			_, err := c.Run(t.Context(), newAttempt(address, s.Boot(), id, query), &r)
			switch {
			case err == nil:
				assert.Check(t, cut == whole.body.Len() && query == "", id)
			case r.heads == 0:
				assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindServerFailed, id)
			default:
				assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindStreamBroken, id)
				assert.Check(t, r.body.Len() <= cut)
			}
		}
	}
	for id, n := range s.Stats().Runs {
		assert.Check(t, n <= 2, "%s ran %d times", id, n)
	}
}

// TestInvalidAnswers guards against passing on an answer whose end cannot be
// detected, that is too large, or that may not belong to the request.
func TestInvalidAnswers(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"noLength": func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it"))
				_ = c.Close()
			}
		},
		"idleTimeout": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestTimeout) },
		"longHeader":  func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X", strings.Repeat("x", 128<<10)) },
		"longBody":    func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1001)) },
		"longChunks": func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write(make([]byte, 1001))
		},
	}
	for name, f := range answers {
		t.Run(name, func(t *testing.T) {
			s := standin.New(standin.Settings{})
			server := httptest.NewServer(s.Wrap(f))
			defer server.Close()
			c := newClient(t, WithMaxBody(1000))
			var r recorder
			_, err := c.Run(t.Context(), newAttempt(server.Listener.Addr().String(), s.Boot(), "1", ""), &r)
			assert.Equal(t, r.body.Len(), 0)
			if name == "longChunks" {
				assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindStreamBroken)
				return
			}
			assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindServerFailed)
			assert.Equal(t, galenalatch.OutcomeOf(err), galenalatch.OutcomeUnknown)
			assert.Equal(t, r.heads, 0)
		})
	}
}

// TestKeptConnectionClosed guards against an unknown outcome of a request that
// may not be repeated. This happens when it is sent on a kept connection that
// the server is closing.
func TestKeptConnectionClosed(t *testing.T) {
	s := standin.New(standin.Settings{})
	used := make(map[string]bool)
	server := httptest.NewServer(s.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if used[r.RemoteAddr] {
			process.Abort(w)
		}
		used[r.RemoteAddr] = true
	})))
	defer server.Close()
	c := newClient(t)
	for range 3 {
		_, err := c.Run(t.Context(), newAttempt(server.Listener.Addr().String(), s.Boot(), "1", ""), &recorder{})
		assert.NilError(t, err)
	}
}

// TestHeaders guards against passing on the caller's credentials or hop-by-hop
// header fields, in both directions, and against a changed idempotency key.
func TestHeaders(t *testing.T) {
	s := standin.New(standin.Settings{})
	var got http.Header
	server := httptest.NewServer(s.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("Connection", "X-Inner")
		w.Header().Set("X-Inner", "1")
		w.Header().Set("ETag", "7")
	})))
	defer server.Close()
	o := newAttempt(server.Listener.Addr().String(), s.Boot(), "1", "")
	o.Epoch = 5
	var r recorder
	_, err := newClient(t).Run(t.Context(), o, &r)
	assert.NilError(t, err)
	for k, v := range map[string]string{
		"Idempotency-Key": "key-1", "X-Request-Id": "1", "X-Fencing-Epoch": "5", "Content-Length": "11",
		"Authorization": "", "X-Hop": "", "Expect": "", "Connection": "", "Accept-Encoding": "",
	} {
		assert.Equal(t, got.Get(k), v, k)
	}
	assert.Equal(t, r.header.Get("ETag"), "7")
	assert.Equal(t, r.header.Get("X-Inner")+r.header.Get("Connection"), "")
	assert.Equal(t, o.Header.Get("Authorization"), "Bearer x")
}

// TestUsageAndProgress guards against a wrong cost, against no progress reports
// during a long request, and against a request that continues after its caller
// has disconnected.
func TestUsageAndProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New()
		l, err := n.Listen("a:1")
		assert.NilError(t, err)
		s := standin.New(standin.Settings{WriteTime: 3500 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { assert.Check(t, s.Serve(ctx, l)) })
		p := connection.New(connection.WithDial(n.Dial))
		c := New(p)
		// The time that the caller takes to read is not charged as server time.
		r := recorder{onData: func() error { <-time.After(time.Minute); return nil }}
		u, err := c.Run(t.Context(), newAttempt("a:1", s.Boot(), "1", ""), &r)
		assert.NilError(t, err)
		assert.Equal(t, u.Millis, int64(3500))
		assert.Equal(t, len(r.progress), 3)
		assert.Equal(t, r.progress[2].Millis, int64(3000))

		short, stop := context.WithTimeoutCause(t.Context(), time.Second, errors.New("caller went away"))
		_, err = c.Run(short, newAttempt("a:1", s.Boot(), "2", ""), &recorder{})
		stop()
		assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindCallerClosed)
		assert.Equal(t, galenalatch.OutcomeOf(err), galenalatch.Cancelled)
		assert.ErrorContains(t, err, "caller went away")
		synctest.Wait()
		assert.Equal(t, s.Stats().Cancels, 1)
		p.Close()
		cancel()
		g.Wait()
	})
}
