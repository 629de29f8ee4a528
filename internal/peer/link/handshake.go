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
	"github.com/galenalatch/galenalatch/internal/http1/transport"
	"github.com/galenalatch/galenalatch/internal/peer/wire"
)

const (
	peerPath = "/peer"
	// routerHeader carries the id of the dialling router. A router that is
	// dialling it at the same time can then refuse before the upgrade.
	routerHeader = "Galenalatch-Router"
	// maxHelloBytes bounds the size of the first frame, which holds the Hello.
	maxHelloBytes = 4 << 10
	// maxResponseHeaderBytes bounds the header of the response to the
	// WebSocket handshake.
	maxResponseHeaderBytes = 16 << 10
)

// Handler returns the handler that accepts connections of other routers on
// the path /peer. It refuses them while Run is not running.
func (m *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+peerPath, m.serve)
	return mux
}

func (m *Mesh) serve(w http.ResponseWriter, r *http.Request) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(sum[:], m.token[:]) != 1 {
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		m.HandshakeRejected(galenalatch.RouterID(r.Header.Get(routerHeader)), fmt.Errorf("connection from %s without a valid token", r.RemoteAddr))
		return
	}
	id := galenalatch.RouterID(r.Header.Get(routerHeader))
	if id == "" || id == m.Self || len(id) > 256 {
		http.Error(w, "bad router id", http.StatusBadRequest)
		return
	}
	p, ok := m.acquirePeer(id)
	if !ok {
		http.Error(w, "too many routers", http.StatusServiceUnavailable)
		return
	}
	defer p.addRefs(-1)
	if p.blocked.Load() {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	if m.Self < id && p.isDialling() {
		http.Error(w, "dialling too", http.StatusConflict)
		return
	}
	ctx, ok := m.joinGroup()
	if !ok {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	defer m.group.Done()

	s := newSession(ctx, p, id)
	c, err := websocket.Accept(&countingHijacker{w, s}, r, &websocket.AcceptOptions{InsecureSkipVerify: true})
	if err == nil {
		s.conn = c
		err = s.answerHello()
	}
	if err == nil && !p.setSession(s) {
		err = errReplaced
	}
	if err != nil {
		s.discard(err)
		p.reportError(err)
		return
	}
	s.run()
}

// dial connects to a peer, exchanges Hellos and makes the new session the
// current one of the peer.
func (m *Mesh) dial(ctx context.Context, p *peer) (*session, error) {
	s := newSession(ctx, p, m.Self)
	err := s.connect()
	if err == nil && !p.setSession(s) {
		err = errReplaced
	}
	if err != nil {
		s.discard(err)
		return nil, err
	}
	return s, nil
}

func (s *session) connect() error {
	m := s.peer.mesh
	ctx, cancel := context.WithTimeout(s.ctx, m.DialTimeout)
	defer cancel()
	if s.peer.blocked.Load() {
		return errors.New("link is blocked")
	}
	s.peer.mu.Lock()
	address := s.peer.address
	s.peer.mu.Unlock()
	client := &http.Client{Transport: transport.New(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := m.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{c, s}, nil
		},
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		// The transport is used for one dial only; a refused connection must
		// not stay open.
		DisableKeepAlives: true,
	})}
	header := http.Header{}
	header.Set("Authorization", "Bearer "+m.Token)
	header.Set(routerHeader, string(m.Self))
	c, resp, err := websocket.Dial(ctx, "ws://"+address+peerPath, &websocket.DialOptions{HTTPClient: client, HTTPHeader: header})
	if err != nil {
		if resp != nil && resp.StatusCode == http.StatusConflict {
			return errSimultaneousDial
		}
		if resp != nil && resp.StatusCode == http.StatusUnauthorized {
			m.HandshakeRejected(s.peer.id, errors.New("peer rejected the token of this router"))
		}
		return fmt.Errorf("dialling: %w", err)
	}
	s.conn = c
	if err := s.sendHello(ctx); err != nil {
		return err
	}
	return s.readHello(ctx)
}

// answerHello reads the dialling peer's Hello and sends this router's.
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
	s.conn.SetReadLimit(maxHelloBytes)
	_, b, err := s.conn.Read(ctx)
	if err != nil {
		return fmt.Errorf("reading hello: %w", err)
	}
	messages, err := s.peer.mesh.codec.DecodeFrame(b)
	if err != nil {
		return err
	}
	if len(messages) != 1 {
		return errors.New("first frame does not hold exactly one message")
	}
	h, ok := messages[0].(galenalatch.Hello)
	switch {
	case !ok:
		return errors.New("first message is not a hello")
	case h.Protocol != Protocol:
		err := fmt.Errorf("peer uses protocol version %d, expected %d", h.Protocol, Protocol)
		s.peer.mesh.HandshakeRejected(s.peer.id, err)
		return err
	case h.Router != s.peer.id || h.Start == "":
		return fmt.Errorf("hello names router %.64q, or has no start", h.Router)
	}
	s.start = h.Start
	s.setPeerHeartbeat(time.Duration(h.HeartbeatMillis) * time.Millisecond)
	s.conn.SetReadLimit(wire.MaxFrame)
	return nil
}

// countingHijacker wraps the hijacked connection of the response writer in a
// countingConn for the WebSocket library.
type countingHijacker struct {
	http.ResponseWriter
	session *session
}

// Hijack implements http.Hijacker.
func (h *countingHijacker) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, rw, err := http.NewResponseController(h.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	// The reader may have buffered the first bytes of the peer's Hello. The
	// library reads the buffered bytes before it reads from the connection.
	n := &countingConn{c, h.session}
	return n, bufio.NewReadWriter(rw.Reader, bufio.NewWriter(n)), nil
}
