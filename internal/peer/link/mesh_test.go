package link

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/peer/wire"
)

// wait lets the time pass in the bubble.
func wait(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// pair starts two routers that know each other.
func pair(t *testing.T, change ...func(*Options)) (n *network, a, b *node) {
	n = newNetwork(t)
	a, b = n.start("a", "s1", change...), n.start("b", "s1", change...)
	a.SetPeers(routers("a", "b"))
	b.SetPeers(routers("a", "b"))
	return n, a, b
}

// Guards against lost, reordered or misattributed messages, and against a
// connection that is used in one direction only.
func TestBothDirectionsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := pair(t)
		for i := range 3 {
			assert.Assert(t, a.Send("b", ask(i)))
			assert.Assert(t, a.Send("a", ask(10+i)))
		}
		assert.Assert(t, !a.Send("c", ask(0)))
		assert.NilError(t, a.Flush(t.Context()))
		synctest.Wait()
		assert.Assert(t, b.Send("a", ask(7)))
		synctest.Wait()
		assert.DeepEqual(t, b.take(), []string{"up a s1", "a 0", "a 1", "a 2"})
		got := a.take()
		slices.Sort(got)
		assert.DeepEqual(t, got, []string{"a 10", "a 11", "a 12", "b 7", "up b s1"})
		assert.Assert(t, a.Stats()["b"].In > 0 && a.Stats()["b"].Connected)
	})
}

// Guards against two connections for one pair, and against a pair that
// closes both.
func TestBothDialAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			_, a, b := pair(t)
			assert.Assert(t, a.Send("b", ask(1)))
			assert.Assert(t, b.Send("a", ask(2)))
			wait(time.Second)
			// A message may be lost with the connection that was closed.
			a.take()
			b.take()
			assert.Assert(t, a.Send("b", ask(3)))
			assert.Assert(t, b.Send("a", ask(4)))
			wait(10 * time.Second)
			assert.DeepEqual(t, b.take(), []string{"a 3"})
			assert.DeepEqual(t, a.take(), []string{"b 4"})
			a.stop()
			b.stop()
		}
	})
}

// Guards against sides that keep different connections of the two that they
// dialled, whatever the order in which each side sees them.
func TestSurvivorIsDerivedByBoth(t *testing.T) {
	for _, self := range []galenalatch.RouterID{"a", "b"} {
		for _, order := range [][]galenalatch.RouterID{{"a", "b"}, {"b", "a"}} {
			m, err := New(Options{Self: self, Start: "s", Token: "t", Handle: func(galenalatch.RouterID, galenalatch.Message) {}})
			assert.NilError(t, err)
			p := newPeer(m, map[galenalatch.RouterID]galenalatch.RouterID{"a": "b", "b": "a"}[self])
			for _, dialler := range order {
				s := newSession(t.Context(), p, dialler)
				s.start = "s"
				assert.Equal(t, p.adopt(s), dialler == "a" || order[0] == "b")
			}
			assert.Equal(t, p.session.dialler, galenalatch.RouterID("a"))
			s := newSession(t.Context(), p, "b")
			s.start = "s2"
			assert.Assert(t, p.adopt(s), "a restarted peer replaces its old connection")
		}
	}
}

// Guards against a cut that is noticed late or by one side only, and against
// a link that does not come back.
func TestCutAndRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := pair(t)
		assert.Assert(t, a.Send("b", ask(1)))
		wait(10 * time.Second)
		assert.DeepEqual(t, a.take(), []string{"up b s1"})
		assert.DeepEqual(t, b.take(), []string{"up a s1", "a 1"})

		a.Block("b", true)
		assert.Assert(t, a.Send("b", ask(2)))
		wait(2 * time.Second)
		assert.Equal(t, len(a.take())+len(b.take()), 0)
		wait(1100 * time.Millisecond)
		assert.DeepEqual(t, a.take(), []string{"down b"})
		assert.DeepEqual(t, b.take(), []string{"down a"})
		b.Send("a", ask(3))
		wait(5 * time.Second)
		assert.Equal(t, len(a.take())+len(b.take()), 0)

		a.Block("b", false)
		assert.Assert(t, b.Send("a", ask(4)))
		wait(time.Second)
		assert.DeepEqual(t, a.take(), []string{"up b s1", "b 4"})
	})
}

// Guards against a peer that does not read and thereby blocks the sender,
// its other links or its memory.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		n := newNetwork(t)
		full := 0
		limit := func(o *Options) {
			o.MaxQueued, o.MaxQueuedBytes = 100, 64<<10
			o.Full = func(galenalatch.RouterID) { full++ }
		}
		a := n.start("a", "s1", limit)
		n.start("b", "s1", func(o *Options) {
			o.Handle = func(galenalatch.RouterID, galenalatch.Message) { <-release }
		})
		c := n.start("c", "s1")
		a.SetPeers(routers("a", "b", "c"))
		refused := 0
		for range 400 {
			if !a.Send("b", galenalatch.Changes{Changes: [][]byte{make([]byte, 1000)}}) {
				refused++
			}
			synctest.Wait()
			assert.Assert(t, a.Stats()["b"].Queued <= 65)
		}
		assert.Assert(t, refused > 100, "refused %d", refused)
		assert.Equal(t, full, refused)
		assert.Assert(t, a.Send("c", ask(1)))
		wait(time.Millisecond)
		assert.DeepEqual(t, c.take(), []string{"up a s1", "a 1"})
		wait(5 * time.Second)
		assert.DeepEqual(t, a.take()[2:], []string{"down b"})
		assert.Equal(t, a.Stats()["b"].Queued, 0)
		close(release)
	})
}

// Guards against a flooding peer that delays the messages of others.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		a, b, c := n.start("a", "s1"), n.start("b", "s1"), n.start("c", "s1")
		b.SetPeers(routers("a"))
		c.SetPeers(routers("a"))
		for i := range 20000 {
			b.Send("a", ask(i))
			if i == 10000 {
				assert.Assert(t, c.Send("a", ask(1)))
			}
		}
		synctest.Wait()
		got := a.take()
		assert.Assert(t, slices.Contains(got, "c 1"))
		assert.Assert(t, b.Stats()["a"].Queued <= 4096)
		got = slices.DeleteFunc(got, func(s string) bool { return !strings.HasPrefix(s, "b ") })
		assert.Assert(t, len(got) >= 4096)
	})
}

// Guards against the connection of a killed process that hides its
// successor.
func TestRestartWithNewStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := pair(t)
		assert.Assert(t, a.Send("b", ask(1)))
		wait(2 * time.Second)
		// The old process hangs: its connections stay open but silent.
		b.Block("a", true)
		c := n.start("b", "s2")
		c.SetPeers(routers("a"))
		assert.Assert(t, c.Send("a", ask(2)))
		wait(100 * time.Millisecond)
		assert.DeepEqual(t, a.take(), []string{"up b s1", "down b", "up b s2", "b 2"})
		assert.Assert(t, a.Send("b", ask(3)))
		wait(10 * time.Second)
		assert.DeepEqual(t, c.take(), []string{"up a s1", "a 3"})
		assert.Equal(t, len(a.take()), 0)
	})
}

// Guards against connections that are never released, and against one that
// is not made again.
func TestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := pair(t)
		assert.Assert(t, a.Send("b", ask(1)))
		wait(59 * time.Second)
		assert.DeepEqual(t, a.take(), []string{"up b s1"})
		wait(3 * time.Second)
		assert.DeepEqual(t, a.take(), []string{"down b"})
		assert.Assert(t, a.Send("b", ask(2)))
		synctest.Wait()
		assert.DeepEqual(t, b.take(), []string{"up a s1", "a 1", "down a", "up a s1", "a 2"})
	})
}

// Guards against an unreachable peer that is dialled again and again without
// a pause, and against waiting messages that are kept for it.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := 0
		n := newNetwork(t)
		a := n.start("a", "s1", func(o *Options) {
			o.Failed = func(galenalatch.RouterID, error) { failed++ }
		})
		a.SetPeers(routers("b"))
		for range 6000 {
			a.Send("b", ask(1))
			wait(10 * time.Millisecond)
		}
		assert.Assert(t, failed > 25 && failed < 80, "attempts in a minute: %d", failed)
		assert.Equal(t, a.Stats()["b"].Queued, 0)
	})
}

// Guards against a Hello that is lost when it arrives together with the
// request. On a busy machine its first byte did.
func TestHelloWithRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		a := n.start("a", "s1")
		codec, err := wire.New()
		assert.NilError(t, err)
		hello, err := codec.Encode(galenalatch.Hello{Router: "x", Start: "s1", Protocol: Protocol})
		assert.NilError(t, err)
		frame := codec.AppendFrame(nil, [][]byte{hello})
		c, err := n.dial(t.Context(), "tcp", "a")
		assert.NilError(t, err)
		go func() { _, _ = io.Copy(io.Discard, c) }()
		_, err = c.Write(slices.Concat([]byte("GET /peer HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer token\r\n"+
			"Galenalatch-Router: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"+
			"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"),
			[]byte{0x82, 0x80 | byte(len(frame)), 0, 0, 0, 0}, frame))
		assert.NilError(t, err)
		synctest.Wait()
		assert.DeepEqual(t, a.take(), []string{"up x s1"})
		assert.NilError(t, c.Close())
	})
}

// Guards against peers that are accepted without the token, with another
// protocol, or whose frames break the rules.
func TestRejected(t *testing.T) {
	hello := galenalatch.Hello{Router: "x", Start: "s1", Protocol: Protocol}
	old, other := hello, hello
	old.Protocol++
	other.Router = "y"
	large := hello
	large.Start = strings.Repeat("s", maxHello)
	codec, err := wire.New()
	assert.NilError(t, err)
	frame := func(messages ...galenalatch.Message) []byte {
		var list [][]byte
		for _, m := range messages {
			b, err := codec.Encode(m)
			assert.NilError(t, err)
			list = append(list, b)
		}
		return codec.AppendFrame(nil, list)
	}
	for _, c := range []struct {
		name, token, router string
		frames              [][]byte
		status              int
		up                  bool
	}{
		{name: "wrong token", token: "other", router: "x", status: http.StatusUnauthorized},
		{name: "no token", router: "x", status: http.StatusUnauthorized},
		{name: "no router", token: "token", status: http.StatusBadRequest},
		{name: "own name", token: "token", router: "a", status: http.StatusBadRequest},
		{name: "protocol", token: "token", router: "x", frames: [][]byte{frame(old)}},
		{name: "other router", token: "token", router: "x", frames: [][]byte{frame(other)}},
		{name: "no hello", token: "token", router: "x", frames: [][]byte{frame(ask(1))}},
		{name: "two", token: "token", router: "x", frames: [][]byte{frame(hello, ask(1))}},
		{name: "large hello", token: "token", router: "x", frames: [][]byte{frame(large)}},
		{name: "second hello", token: "token", router: "x", frames: [][]byte{frame(hello), frame(hello)}, up: true},
		{name: "garbage", token: "token", router: "x", frames: [][]byte{frame(hello), {0xff}}, up: true},
		{name: "oversize", token: "token", router: "x", frames: [][]byte{frame(hello), make([]byte, wire.MaxFrame+2)}, up: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				a := n.start("a", "s1")
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				header := http.Header{"Authorization": {"Bearer " + c.token}, routerHeader: {c.router}}
				conn, resp, err := websocket.Dial(ctx, "ws://a"+path, &websocket.DialOptions{
					HTTPClient: &http.Client{Transport: &http.Transport{DialContext: n.dial, DisableKeepAlives: true}},
					HTTPHeader: header,
				})
				if c.status != 0 {
					assert.Equal(t, resp.StatusCode, c.status)
					got := a.take()
					if c.status == http.StatusUnauthorized {
						assert.DeepEqual(t, got, []string{"rejected " + c.router})
						return
					}
					assert.Equal(t, len(got), 0)
					return
				}
				assert.NilError(t, err)
				defer func() { _ = conn.CloseNow() }()
				for i, f := range c.frames {
					if i > 0 {
						_, _, err = conn.Read(ctx)
						assert.NilError(t, err)
					}
					// The other side may close while an oversize frame is written.
					_ = conn.Write(ctx, websocket.MessageBinary, f)
				}
				for err == nil {
					_, _, err = conn.Read(ctx)
				}
				assert.NilError(t, ctx.Err())
				synctest.Wait()
				want := []string{"up x s1", "down x"}
				switch {
				case c.name == "protocol":
					want = []string{"rejected x"}
				case !c.up:
					want = nil
				}
				assert.DeepEqual(t, a.take(), want)
			})
		})
	}
}

// Guards against links of a large fleet that count as dead because one side
// sends heartbeats more rarely than the other does.
func TestRareHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		a := n.start("a", "s1", func(o *Options) { o.Heartbeat = 4 * time.Second })
		b := n.start("b", "s1")
		a.SetPeers(routers("a", "b"))
		b.SetPeers(routers("a", "b"))
		assert.Assert(t, a.Send("b", ask(1)))
		wait(50 * time.Second)
		assert.DeepEqual(t, b.take(), []string{"up a s1", "a 1"})
		assert.DeepEqual(t, a.take(), []string{"up b s1"})
	})
}
