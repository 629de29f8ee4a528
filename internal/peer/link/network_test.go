package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// network connects meshes by pipes, which synctest can control, unlike sockets.
type network struct {
	t         *testing.T
	mu        sync.Mutex
	listeners map[string]*listener
}

type listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[strings.TrimSuffix(address, ":80")]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	select {
	case l.conns <- b:
		return a, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// node is a mesh on the network. It records the calls of its callbacks.
type node struct {
	*Mesh
	stop func()

	mu     sync.Mutex
	events []string
}

func (n *node) addEvent(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, fmt.Sprintf(format, args...))
}

// takeEvents returns and clears the recorded events.
func (n *node) takeEvents() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.events
	n.events = nil
	return e
}

func (n *network) start(id galenalatch.RouterID, start string, change ...func(*Options)) *node {
	d := &node{}
	o := Options{
		Self: id, Start: start, DataCentre: "a", Token: "token",
		Handle: func(r galenalatch.RouterID, m galenalatch.Message) {
			if a, ok := m.(galenalatch.ChangesRequest); ok {
				d.addEvent("%s %d", r, a.After)
			}
		},
		Connected:         func(r galenalatch.RouterID, s string) { d.addEvent("up %s %s", r, s) },
		ConnectionError:   func(r galenalatch.RouterID, err error) { n.t.Logf("%s-%s: %v", id, r, err) },
		HandshakeRejected: func(r galenalatch.RouterID, _ error) { d.addEvent("rejected %s", r) },
		Disconnected:      func(r galenalatch.RouterID) { d.addEvent("down %s", r) },
		DialContext:       n.dial,
	}
	for _, f := range change {
		f(&o)
	}
	m, err := New(o)
	assert.NilError(n.t, err)
	d.Mesh = m
	ctx, cancel := context.WithCancel(n.t.Context())
	l := &listener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	n.listeners[string(id)] = l
	n.mu.Unlock()
	s := &http.Server{Handler: m.Handler()}
	var g sync.WaitGroup
	g.Go(func() { _ = s.Serve(l) })
	g.Go(func() { _ = m.Run(ctx) })
	d.stop = func() {
		cancel()
		_ = s.Close()
		g.Wait()
	}
	n.t.Cleanup(d.stop)
	synctest.Wait()
	return d
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, listeners: make(map[string]*listener)}
}

// routers returns router instances whose addresses are their ids.
func routers(ids ...string) []galenalatch.Instance {
	var list []galenalatch.Instance
	for _, id := range ids {
		list = append(list, galenalatch.Instance{ID: id, Role: galenalatch.RouterRole, Address: id})
	}
	return list
}

func changesAsk(v int) galenalatch.ChangesRequest {
	return galenalatch.ChangesRequest{After: galenalatch.Version(v)}
}
