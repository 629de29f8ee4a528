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

// wait advances the fake clock by d and waits until all goroutines are blocked.
func wait(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// startPair starts two routers that list each other as peers.
func startPair(t *testing.T, change ...func(*Options)) (n *network, a, b *node) {
	n = newNetwork(t)
	a, b = n.start("a", "s1", change...), n.start("b", "s1", change...)
	a.SetPeers(routers("a", "b"))
	b.SetPeers(routers("a", "b"))
	return n, a, b
}

// Guards against messages that are lost, reordered or reported with the wrong
// sender, and against a connection that carries messages in one direction only.
func TestBothDirectionsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startPair(t)
		for i := range 3 {
			assert.Assert(t, a.Send("b", changesAsk(i)))
			assert.Assert(t, a.Send("a", changesAsk(10+i)))
		}
		assert.Assert(t, !a.Send("c", changesAsk(0)))
		assert.NilError(t, a.Flush(t.Context()))
		synctest.Wait()
		assert.Assert(t, b.Send("a", changesAsk(7)))
		synctest.Wait()
		assert.DeepEqual(t, b.takeEvents(), []string{"up a s1", "a 0", "a 1", "a 2"})
		got := a.takeEvents()
		slices.Sort(got)
		assert.DeepEqual(t, got, []string{"a 10", "a 11", "a 12", "b 7", "up b s1"})
		assert.Assert(t, a.Stats()["b"].BytesIn > 0 && a.Stats()["b"].Connected)
	})
}

// Guards against a message that ends the process of every router which handles it: a
// panic ends the connection only.
func TestPanicInHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := make(map[galenalatch.RouterID]int)
		_, a, b := startPair(t, func(o *Options) {
			o.Handle = func(r galenalatch.RouterID, _ galenalatch.Message) {
				if received[r]++; received[r] == 1 {
					panic("unexpected")
				}
			}
		})
		// First the message is handled where the connection was accepted, then where
		// it was dialled.
		assert.Assert(t, a.Send("b", changesAsk(1)))
		synctest.Wait()
		assert.DeepEqual(t, b.takeEvents(), []string{"up a s1", "down a"})
		wait(10 * time.Second)
		assert.Assert(t, a.Send("b", changesAsk(2)))
		synctest.Wait()
		assert.Assert(t, b.Send("a", changesAsk(3)))
		synctest.Wait()
		wait(10 * time.Second)
		assert.Assert(t, b.Send("a", changesAsk(4)))
		synctest.Wait()
		assert.DeepEqual(t, received, map[galenalatch.RouterID]int{"a": 2, "b": 2})
	})
}

// Guards against two connections for one pair of routers that dial each other
// at the same time, and against a pair that closes both.
func TestSimultaneousDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			_, a, b := startPair(t)
			assert.Assert(t, a.Send("b", changesAsk(1)))
			assert.Assert(t, b.Send("a", changesAsk(2)))
			wait(time.Second)
			// The messages may be lost with the connection that was closed.
			a.takeEvents()
			b.takeEvents()
			assert.Assert(t, a.Send("b", changesAsk(3)))
			assert.Assert(t, b.Send("a", changesAsk(4)))
			wait(10 * time.Second)
			assert.DeepEqual(t, b.takeEvents(), []string{"a 3"})
			assert.DeepEqual(t, a.takeEvents(), []string{"b 4"})
			a.stop()
			b.stop()
		}
	})
}

// Guards against two routers that each keep a different one of their two
// connections when they see the connections in different order.
func TestBothSidesKeepSameConnection(t *testing.T) {
	for _, self := range []galenalatch.RouterID{"a", "b"} {
		for _, order := range [][]galenalatch.RouterID{{"a", "b"}, {"b", "a"}} {
			m, err := New(Options{Self: self, Start: "s", Token: "t", Handle: func(galenalatch.RouterID, galenalatch.Message) {}})
			assert.NilError(t, err)
			p := newPeer(m, map[galenalatch.RouterID]galenalatch.RouterID{"a": "b", "b": "a"}[self])
			for _, dialler := range order {
				s := newSession(t.Context(), p, dialler)
				s.start = "s"
				assert.Equal(t, p.setSession(s), dialler == "a" || order[0] == "b")
			}
			assert.Equal(t, p.session.dialler, galenalatch.RouterID("a"))
			s := newSession(t.Context(), p, "b")
			s.start = "s2"
			assert.Assert(t, p.setSession(s), "a restarted peer replaces its old connection")
		}
	}
}

// Guards against a network partition that is detected late or by one side only,
// and against a connection that is not made again after the partition.
func TestPartitionAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startPair(t)
		assert.Assert(t, a.Send("b", changesAsk(1)))
		wait(10 * time.Second)
		assert.DeepEqual(t, a.takeEvents(), []string{"up b s1"})
		assert.DeepEqual(t, b.takeEvents(), []string{"up a s1", "a 1"})

		a.SetPartitioned("b", true)
		assert.Assert(t, a.Send("b", changesAsk(2)))
		wait(2 * time.Second)
		assert.Equal(t, len(a.takeEvents())+len(b.takeEvents()), 0)
		wait(1100 * time.Millisecond)
		assert.DeepEqual(t, a.takeEvents(), []string{"down b"})
		assert.DeepEqual(t, b.takeEvents(), []string{"down a"})
		b.Send("a", changesAsk(3))
		wait(5 * time.Second)
		assert.Equal(t, len(a.takeEvents())+len(b.takeEvents()), 0)

		a.SetPartitioned("b", false)
		assert.Assert(t, b.Send("a", changesAsk(4)))
		wait(time.Second)
		assert.DeepEqual(t, a.takeEvents(), []string{"up b s1", "b 4"})
	})
}

// Guards against a peer that stops reading and thereby blocks the sender or
// its other connections, or makes its send queue grow without bound.
func TestBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		n := newNetwork(t)
		full := 0
		limit := func(o *Options) {
			o.MaxQueued, o.MaxQueuedBytes = 100, 64<<10
			o.QueueFull = func(galenalatch.RouterID) { full++ }
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
		assert.Assert(t, a.Send("c", changesAsk(1)))
		wait(time.Millisecond)
		assert.DeepEqual(t, c.takeEvents(), []string{"up a s1", "a 1"})
		wait(5 * time.Second)
		assert.DeepEqual(t, a.takeEvents()[2:], []string{"down b"})
		assert.Equal(t, a.Stats()["b"].Queued, 0)
		close(release)
	})
}

// Guards against a flooding peer that blocks the messages of other peers.
func TestFloodingPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		a, b, c := n.start("a", "s1"), n.start("b", "s1"), n.start("c", "s1")
		b.SetPeers(routers("a"))
		c.SetPeers(routers("a"))
		for i := range 20000 {
			b.Send("a", changesAsk(i))
			if i == 10000 {
				assert.Assert(t, c.Send("a", changesAsk(1)))
			}
		}
		synctest.Wait()
		got := a.takeEvents()
		assert.Assert(t, slices.Contains(got, "c 1"))
		assert.Assert(t, b.Stats()["a"].Queued <= 4096)
		got = slices.DeleteFunc(got, func(s string) bool { return !strings.HasPrefix(s, "b ") })
		assert.Assert(t, len(got) >= 4096)
	})
}

// Guards against a restarted peer that is refused because the connection of
// its old process still counts.
func TestPeerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := startPair(t)
		assert.Assert(t, a.Send("b", changesAsk(1)))
		wait(2 * time.Second)
		// The old process hangs: its connections stay open without traffic.
		b.SetPartitioned("a", true)
		c := n.start("b", "s2")
		c.SetPeers(routers("a"))
		assert.Assert(t, c.Send("a", changesAsk(2)))
		wait(100 * time.Millisecond)
		assert.DeepEqual(t, a.takeEvents(), []string{"up b s1", "down b", "up b s2", "b 2"})
		assert.Assert(t, a.Send("b", changesAsk(3)))
		wait(10 * time.Second)
		assert.DeepEqual(t, c.takeEvents(), []string{"up a s1", "a 3"})
		assert.Equal(t, len(a.takeEvents()), 0)
	})
}

// Guards against idle connections that are never closed, and against a closed
// one that is not made again for the next message.
func TestIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startPair(t)
		assert.Assert(t, a.Send("b", changesAsk(1)))
		wait(59 * time.Second)
		assert.DeepEqual(t, a.takeEvents(), []string{"up b s1"})
		wait(3 * time.Second)
		assert.DeepEqual(t, a.takeEvents(), []string{"down b"})
		assert.Assert(t, a.Send("b", changesAsk(2)))
		synctest.Wait()
		assert.DeepEqual(t, b.takeEvents(), []string{"up a s1", "a 1", "down a", "up a s1", "a 2"})
	})
}

// Guards against an unreachable peer that is dialled again without a pause, and
// against messages that stay queued for it.
func TestDialBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := 0
		n := newNetwork(t)
		a := n.start("a", "s1", func(o *Options) {
			o.ConnectionError = func(galenalatch.RouterID, error) { failed++ }
		})
		a.SetPeers(routers("b"))
		for range 6000 {
			a.Send("b", changesAsk(1))
			wait(10 * time.Millisecond)
		}
		assert.Assert(t, failed > 25 && failed < 80, "attempts in a minute: %d", failed)
		assert.Equal(t, a.Stats()["b"].Queued, 0)
	})
}

// Guards against a Hello that is lost when it arrives together with the
// request. On a busy machine the first byte of a Hello was lost this way.
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
		assert.DeepEqual(t, a.takeEvents(), []string{"up x s1"})
		assert.NilError(t, c.Close())
	})
}

// Guards against peers that are accepted without the token or with another
// protocol version, and against invalid frames that do not end the connection.
func TestInvalidPeerRejected(t *testing.T) {
	hello := galenalatch.Hello{Router: "x", Start: "s1", Protocol: Protocol}
	old, other := hello, hello
	old.Protocol++
	other.Router = "y"
	large := hello
	large.Start = strings.Repeat("s", maxHelloBytes)
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
		{name: "no router id", token: "token", status: http.StatusBadRequest},
		{name: "own router id", token: "token", router: "a", status: http.StatusBadRequest},
		{name: "protocol", token: "token", router: "x", frames: [][]byte{frame(old)}},
		{name: "hello of another router", token: "token", router: "x", frames: [][]byte{frame(other)}},
		{name: "no hello", token: "token", router: "x", frames: [][]byte{frame(changesAsk(1))}},
		{name: "hello and another message in the first frame", token: "token", router: "x", frames: [][]byte{frame(hello, changesAsk(1))}},
		{name: "large hello", token: "token", router: "x", frames: [][]byte{frame(large)}},
		{name: "second hello", token: "token", router: "x", frames: [][]byte{frame(hello), frame(hello)}, up: true},
		{name: "invalid frame", token: "token", router: "x", frames: [][]byte{frame(hello), {0xff}}, up: true},
		{name: "frame too large", token: "token", router: "x", frames: [][]byte{frame(hello), make([]byte, wire.MaxFrame+2)}, up: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				a := n.start("a", "s1")
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				header := http.Header{"Authorization": {"Bearer " + c.token}, routerHeader: {c.router}}
				conn, resp, err := websocket.Dial(ctx, "ws://a"+peerPath, &websocket.DialOptions{
					HTTPClient: &http.Client{Transport: &http.Transport{DialContext: n.dial, DisableKeepAlives: true}},
					HTTPHeader: header,
				})
				if c.status != 0 {
					assert.Equal(t, resp.StatusCode, c.status)
					got := a.takeEvents()
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
					// The other side may close the connection while a frame that is
					// too large is written.
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
				assert.DeepEqual(t, a.takeEvents(), want)
			})
		})
	}
}

// Guards against a connection that times out because one side has a longer
// heartbeat interval than the other, as happens in a large fleet.
func TestDifferentHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		a := n.start("a", "s1", func(o *Options) { o.Heartbeat = 4 * time.Second })
		b := n.start("b", "s1")
		a.SetPeers(routers("a", "b"))
		b.SetPeers(routers("a", "b"))
		assert.Assert(t, a.Send("b", changesAsk(1)))
		wait(50 * time.Second)
		assert.DeepEqual(t, b.takeEvents(), []string{"up a s1", "a 1"})
		assert.DeepEqual(t, a.takeEvents(), []string{"up b s1"})
	})
}
