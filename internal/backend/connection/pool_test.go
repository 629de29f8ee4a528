package connection

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/network"
	"github.com/galenalatch/galenalatch/internal/standin/process"
	standin "github.com/galenalatch/galenalatch/internal/standin/service"
	"gotest.tools/v3/assert"
)

// start serves s on a loopback address until the test ends. It returns the
// address.
func start(t testing.TB, s *standin.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serve(t, s, l)
	return l.Addr().String()
}

func serve(t testing.TB, s *standin.Server, l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() {
		if err := s.Serve(ctx, l); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		cancel()
		g.Wait()
	})
}

// send sends one request and reads the whole response.
func send(ctx context.Context, p *Pool, o galenalatch.Attempt) error {
	c, err := p.Get(ctx, o.Address, o.Boot)
	if err != nil {
		return err
	}
	if o.BeforeSend != nil {
		if err := o.BeforeSend(); err != nil {
			return err
		}
	}
	resp, err := c.Send(ctx, o, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.Close()
		return galenalatch.KindStreamBroken.Errorf("read the response: %w", err)
	}
	if err := resp.Body.Close(); err != nil {
		return err
	}
	c.Release()
	return nil
}

func newAttempt(address string, boot galenalatch.BootID, id, method, body string) galenalatch.Attempt {
	return galenalatch.Attempt{
		Request: galenalatch.RequestID(id), Address: address, Boot: boot,
		Method: method, Path: "/pickups/1", Body: []byte(body),
		Header: http.Header{"Idempotency-Key": {"key-" + id}},
	}
}

// TestNoReplay guards against a transport that retries a request after the
// server ran it and closed the connection without a response. net/http does so
// on a reused connection, which the test shows first.
func TestNoReplay(t *testing.T) {
	calls := []struct{ name, method, body string }{
		{"get", http.MethodGet, ""},
		{"head", http.MethodHead, ""},
		{"post", http.MethodPost, "household 9"},
		{"emptyPost", http.MethodPost, ""},
		{"longPut", http.MethodPut, strings.Repeat("x", 1<<20)},
	}
	for _, c := range calls {
		t.Run(c.name, func(t *testing.T) {
			s := standin.New(standin.Settings{})
			address := start(t, s)
			plain := &http.Client{Transport: &http.Transport{}}
			defer plain.CloseIdleConnections()
			for i, id := range []string{"first", "plain"} {
				s.SetFailures(process.Failures{CloseAfterRun: i})
				r, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+address+"/", strings.NewReader(c.body))
				assert.NilError(t, err)
				r.Header.Set("X-Request-Id", id)
				r.Header.Set("Idempotency-Key", id)
				resp, err := plain.Do(r)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
			}
			assert.Equal(t, s.Stats().Runs["plain"], 2)

			p := New()
			defer p.Close()
			for _, f := range []process.Failures{{CloseAfterRun: 1}, {CloseBeforeRead: 1}} {
				s.SetFailures(process.Failures{})
				assert.NilError(t, send(t.Context(), p, newAttempt(address, s.Boot(), "kept", c.method, c.body)))
				assert.Equal(t, p.Idle(), 1)
				s.SetFailures(f)
				id := fmt.Sprintf("%+v", f)
				err := send(t.Context(), p, newAttempt(address, s.Boot(), id, c.method, c.body))
				assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindServerFailed)
				assert.Equal(t, galenalatch.OutcomeOf(err), galenalatch.OutcomeUnknown)
				assert.Equal(t, s.Stats().Received[id], 1)
				assert.Equal(t, s.Stats().Runs[id], f.CloseAfterRun)
			}
		})
	}
}

// TestRestartBeforeSend guards against a request that reaches the next process
// of a server, which is cold: the server restarts between the boot check and
// the request, on a new and on a reused connection.
func TestRestartBeforeSend(t *testing.T) {
	for _, reused := range []bool{false, true} {
		t.Run(fmt.Sprintf("reused=%t", reused), func(t *testing.T) {
			s := standin.New(standin.Settings{})
			address := start(t, s)
			p := New()
			defer p.Close()
			if reused {
				assert.NilError(t, send(t.Context(), p, newAttempt(address, s.Boot(), "0", http.MethodGet, "")))
			}
			o := newAttempt(address, s.Boot(), "1", http.MethodPost, "x")
			o.BeforeSend = func() error {
				s.Restart()
				return nil
			}
			assert.Check(t, send(t.Context(), p, o) != nil)
			assert.Equal(t, s.Stats().Received["1"], 0)
		})
	}
}

// TestBootMismatchOfIdleConnection guards against a request on an idle
// connection to a process other than the requested one or to one that has
// ended, and against reporting it as a failure of the server.
func TestBootMismatchOfIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New()
		l, err := n.Listen("a:1")
		assert.NilError(t, err)
		s := standin.New(standin.Settings{})
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { assert.Check(t, s.Serve(ctx, l)) })
		p := New(WithDial(n.Dial))
		o := newAttempt("a:1", s.Boot(), "1", http.MethodPost, "x")
		assert.NilError(t, send(t.Context(), p, newAttempt("a:1", s.Boot(), "0", http.MethodGet, "")))
		// The idle connection leads to a newer process than the requested one.
		err = send(t.Context(), p, newAttempt("a:1", "17", "2", http.MethodGet, ""))
		assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindBootMismatch)
		assert.Equal(t, s.Stats().Received["2"], 0)
		assert.NilError(t, send(t.Context(), p, newAttempt("a:1", s.Boot(), "0", http.MethodGet, "")))
		s.Restart()
		synctest.Wait()
		err = send(t.Context(), p, o)
		assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindBootMismatch)
		assert.Equal(t, galenalatch.OutcomeOf(err), galenalatch.NotRun)
		assert.Equal(t, s.Stats().Received["1"], 0)
		p.Close()
		cancel()
		g.Wait()
	})
}

// TestRestartsUnderLoad guards against requests that reach another process than
// the requested one, that run twice, or that run although their outcome is
// notRun: many requests run while the server restarts repeatedly. It compares
// the outcomes with the runs that the server has counted.
func TestRestartsUnderLoad(t *testing.T) {
	const senders, requests, restarts = 16, 150, 200
	s := standin.New(standin.Settings{WriteTime: 100 * time.Microsecond})
	address := start(t, s)
	p := New()
	defer p.Close()
	var mu sync.Mutex
	sent := make(map[string]galenalatch.BootID)
	failed := make(map[string]error)
	var g sync.WaitGroup
	done := make(chan struct{})
	for i := range senders {
		g.Go(func() {
			for j := range requests {
				id := fmt.Sprintf("%d-%d", i, j)
				o := newAttempt(address, s.Boot(), id, http.MethodPost, id)
				err := send(t.Context(), p, o)
				mu.Lock()
				sent[id], failed[id] = o.Boot, err
				mu.Unlock()
			}
		})
	}
	var r sync.WaitGroup
	r.Go(func() {
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for range restarts {
			select {
			case <-tick.C:
				s.Restart()
			case <-done:
				return
			}
		}
	})
	g.Wait()
	close(done)
	r.Wait()
	st := s.Stats()
	outcomes := make(map[galenalatch.Outcome]int)
	for id, boot := range sent {
		boots := st.RunBoots[id]
		assert.Check(t, len(boots) <= 1, "%s ran %d times", id, len(boots))
		for _, b := range boots {
			assert.Check(t, b == boot, "%s for %s ran on %s", id, boot, b)
		}
		if failed[id] == nil {
			outcomes[galenalatch.Answered]++
			assert.Check(t, len(boots) == 1, id)
			continue
		}
		o := galenalatch.OutcomeOf(failed[id])
		outcomes[o]++
		if o == galenalatch.NotRun {
			assert.Check(t, st.Received[id] == 0, "%s: %v", id, failed[id])
		}
	}
	t.Logf("restarts %d, outcomes %v", st.Boots-1, outcomes)
	assert.Check(t, outcomes[galenalatch.Answered] > 0 && outcomes[galenalatch.NotRun] > 0)
}

// TestGetFailsWithNotRun guards against an outcome other than notRun when Get
// returns no connection, and against waiting longer than the timeouts.
func TestGetFailsWithNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New()
		p := New(WithDial(n.Dial), WithTimeouts(time.Second, 2*time.Second))
		defer p.Close()
		check := func(ctx context.Context, kind galenalatch.Kind, after time.Duration) {
			t.Helper()
			began := time.Now()
			_, err := p.Get(ctx, "a:1", "1")
			assert.Equal(t, galenalatch.KindOf(err), kind)
			assert.Equal(t, galenalatch.OutcomeOf(err), galenalatch.NotRun)
			assert.Equal(t, time.Since(began), after)
		}
		check(t.Context(), galenalatch.KindServerUnreachable, 0)
		l, err := n.Listen("a:1")
		assert.NilError(t, err)
		// The server does not accept connections yet.
		check(t.Context(), galenalatch.KindServerUnreachable, time.Second)
		s := standin.New(standin.Settings{})
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { assert.Check(t, s.Serve(ctx, l)) })
		check(t.Context(), galenalatch.KindBootMismatch, 0)
		s.SetFailures(process.Failures{HangReports: true})
		check(t.Context(), galenalatch.KindServerUnreachable, 2*time.Second)
		short, stop := context.WithTimeout(t.Context(), time.Second)
		check(short, galenalatch.KindCallerClosed, time.Second)
		stop()
		cancel()
		g.Wait()
	})
}

// TestBootCheckFallback guards against a boot check that fails because the
// server does not support the shortened metrics page.
func TestBootCheckFallback(t *testing.T) {
	s := standin.New(standin.Settings{})
	for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.RawQuery, "name") {
				w.WriteHeader(status)
				return
			}
			s.ServeHTTP(w, r)
		}))
		p := New()
		address := server.Listener.Addr().String()
		assert.NilError(t, send(t.Context(), p, newAttempt(address, s.Boot(), "1", http.MethodGet, "")))
		p.Close()
		server.Close()
	}
}

// TestIdleConnections guards against idle connections beyond the limits or the
// timeout, and against reusing one that the server has closed.
func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New()
		l, err := n.Listen("a:1")
		assert.NilError(t, err)
		s := standin.New(standin.Settings{})
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { assert.Check(t, s.Serve(ctx, l)) })
		dials := 0
		p := New(WithIdle(4*time.Second, 2, 3), WithDial(func(ctx context.Context, nw, a string) (net.Conn, error) {
			dials++
			return n.Dial(ctx, nw, a)
		}))
		var used []*Connection
		for range 3 {
			c, err := p.Get(t.Context(), "a:1", s.Boot())
			assert.NilError(t, err)
			used = append(used, c)
		}
		for _, c := range used {
			c.Release()
		}
		assert.Equal(t, p.Idle(), 2)
		<-time.After(4 * time.Second)
		synctest.Wait()
		assert.Equal(t, p.Idle(), 0)
		assert.NilError(t, send(t.Context(), p, newAttempt("a:1", s.Boot(), "1", http.MethodGet, "")))
		assert.NilError(t, send(t.Context(), p, newAttempt("a:1", s.Boot(), "2", http.MethodGet, "")))
		assert.Equal(t, dials, 4)
		s.Restart()
		synctest.Wait()
		assert.Equal(t, p.Idle(), 0)
		assert.NilError(t, send(t.Context(), p, newAttempt("a:1", s.Boot(), "3", http.MethodGet, "")))
		assert.Equal(t, dials, 5)
		p.Close()
		assert.Equal(t, p.Idle(), 0)
		cancel()
		g.Wait()
	})
}
