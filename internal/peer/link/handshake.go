package link

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/coder/websocket"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/peer/wire"
)

const (
	path = "/peer"
	// routerHeader names the dialling router, so that a router that is
	// dialling it too can refuse before the upgrade.
	routerHeader = "Galenalatch-Router"
	// maxHello bounds the first frame.
	maxHello = 4 << 10
	// maxHeader bounds the header of the handshake's answer.
	maxHeader = 16 << 10
)

// Handler accepts the connections of other routers on the path /peer.
func (m *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, m.serve)
	return mux
}

func (m *Mesh) serve(w http.ResponseWriter, r *http.Request) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(sum[:], m.token[:]) != 1 {
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		m.Rejected(galenalatch.RouterID(r.Header.Get(routerHeader)), fmt.Errorf("a connection from %s without a valid token", r.RemoteAddr))
		return
	}
	id := galenalatch.RouterID(r.Header.Get(routerHeader))
	if id == "" || id == m.Self || len(id) > 256 {
		http.Error(w, "bad router id", http.StatusBadRequest)
		return
	}
	p, ok := m.accept(id)
	if !ok {
		http.Error(w, "too many routers", http.StatusServiceUnavailable)
		return
	}
	defer p.hold(-1)
	if p.blocked.Load() {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	if m.Self < id && p.isDialling() {
		http.Error(w, "dialling too", http.StatusConflict)
		return
	}
	ctx, ok := m.spawn()
	if !ok {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	defer m.group.Done()

	s := newSession(ctx, p, id)
	c, err := websocket.Accept(&hijacked{w, s}, r, &websocket.AcceptOptions{InsecureSkipVerify: true})
	if err == nil {
		s.conn = c
		err = s.answerHello()
	}
	if err == nil && !p.adopt(s) {
		err = errReplaced
	}
	if err != nil {
		s.abandon(err)
		p.failed(err)
		return
	}
	s.run()
}

// dial connects to a peer. The session is the current one when dial returns.
func (m *Mesh) dial(ctx context.Context, p *peer) (*session, error) {
	s := newSession(ctx, p, m.Self)
	err := s.connect()
	if err == nil && !p.adopt(s) {
		err = errReplaced
	}
	if err != nil {
		s.abandon(err)
		return nil, err
	}
	return s, nil
}

func (s *session) connect() error {
	m := s.peer.mesh
	ctx, cancel := context.WithTimeout(s.ctx, m.DialTimeout)
	defer cancel()
	if s.peer.blocked.Load() {
		return errors.New("blocked")
	}
	s.peer.mu.Lock()
	address := s.peer.address
	s.peer.mu.Unlock()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := m.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &counted{c, s}, nil
		},
		MaxResponseHeaderBytes: maxHeader,
		// Each transport is used once; a refused connection must not stay.
		DisableKeepAlives: true,
	}}
	header := http.Header{}
	header.Set("Authorization", "Bearer "+m.Token)
	header.Set(routerHeader, string(m.Self))
	c, resp, err := websocket.Dial(ctx, "ws://"+address+path, &websocket.DialOptions{HTTPClient: client, HTTPHeader: header})
	if err != nil {
		if resp != nil && resp.StatusCode == http.StatusConflict {
			return errBothDial
		}
		if resp != nil && resp.StatusCode == http.StatusUnauthorized {
			m.Rejected(s.peer.id, errors.New("it does not accept the token of this router"))
		}
		return fmt.Errorf("dialling: %w", err)
	}
	s.conn = c
	if err := s.sendHello(ctx); err != nil {
		return err
	}
	return s.readHello(ctx)
}

// answerHello reads the dialler's Hello and answers it.
func (s *session) answerHello() error {
	ctx, cancel := context.WithTimeout(s.ctx, s.peer.mesh.DialTimeout)
	defer cancel()
	if err := s.readHello(ctx); err != nil {
		return err
	}
	return s.sendHello(ctx)
}

func (s *session) sendHello(ctx context.Context) error {
	m := s.peer.mesh
	b, err := m.codec.Encode(galenalatch.Hello{
		Router: m.Self, Start: m.Start, DataCentre: m.DataCentre, Protocol: Protocol,
		HeartbeatMillis: s.heartbeat.Milliseconds(),
	})
	if err != nil {
		return err
	}
	if err := s.conn.Write(ctx, websocket.MessageBinary, m.codec.AppendFrame(nil, [][]byte{b})); err != nil {
		return fmt.Errorf("sending hello: %w", err)
	}
	return nil
}

func (s *session) readHello(ctx context.Context) error {
	s.conn.SetReadLimit(maxHello)
	_, b, err := s.conn.Read(ctx)
	if err != nil {
		return fmt.Errorf("reading hello: %w", err)
	}
	messages, err := s.peer.mesh.codec.DecodeFrame(b)
	if err != nil {
		return err
	}
	if len(messages) != 1 {
		return errors.New("the first frame holds no single hello")
	}
	h, ok := messages[0].(galenalatch.Hello)
	switch {
	case !ok:
		return errors.New("the first message is no hello")
	case h.Protocol != Protocol:
		err := fmt.Errorf("protocol %d instead of %d", h.Protocol, Protocol)
		s.peer.mesh.Rejected(s.peer.id, err)
		return err
	case h.Router != s.peer.id || h.Start == "":
		return fmt.Errorf("hello of %.64q", h.Router)
	}
	s.start = h.Start
	s.expect(time.Duration(h.HeartbeatMillis) * time.Millisecond)
	s.conn.SetReadLimit(wire.MaxFrame)
	return nil
}

// hijacked hands the WebSocket library a connection that counts its bytes.
type hijacked struct {
	http.ResponseWriter
	session *session
}

// Hijack implements http.Hijacker.
func (h *hijacked) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, rw, err := http.NewResponseController(h.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	// The reader may hold the first bytes of the peer's Hello; the library
	// takes them from it before it reads from the connection.
	n := &counted{c, h.session}
	return n, bufio.NewReadWriter(rw.Reader, bufio.NewWriter(n)), nil
}
