package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/galenalatch/galenalatch"
)

var (
	errReplaced       = errors.New("replaced by another connection")
	errReceiveTimeout = errors.New("no data received within the timeout")
	errIdle           = errors.New("idle")
)

// session is one connection with a peer.
type session struct {
	peer         *peer
	ctx          context.Context
	cancel       context.CancelCauseFunc
	dialler      galenalatch.RouterID
	start        string
	created      time.Time
	conn         *websocket.Conn
	receiveTimer *time.Timer
	lastUsed     atomic.Int64
	// heartbeat is the time without sending after which an empty frame is
	// sent, receiveTimeout the time without receiving after which the
	// connection is closed. Both are set before the session runs.
	heartbeat      time.Duration
	receiveTimeout time.Duration
	writerDone     chan struct{}
}

func newSession(ctx context.Context, p *peer, dialler galenalatch.RouterID) *session {
	m := p.mesh
	s := &session{peer: p, dialler: dialler, created: time.Now(), writerDone: make(chan struct{}), heartbeat: m.heartbeatInterval(), receiveTimeout: m.ReceiveTimeout}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.receiveTimer = time.AfterFunc(s.receiveTimeout, func() { s.cancel(errReceiveTimeout) })
	return s
}

// setPeerHeartbeat raises the receive timeout to three times the heartbeat
// interval of the peer, so that one late heartbeat does not end the connection.
func (s *session) setPeerHeartbeat(heartbeat time.Duration) {
	s.receiveTimeout = max(s.receiveTimeout, 3*min(heartbeat, maxHeartbeat))
	s.receiveTimer.Reset(s.receiveTimeout)
}

// discard closes a session that was not run.
func (s *session) discard(err error) {
	s.cancel(err)
	s.receiveTimer.Stop()
	if s.conn != nil {
		_ = s.conn.CloseNow()
	}
}

// run reads until the connection ends. It first waits until the session that
// it replaces has delivered its last message.
func (s *session) run() {
	select {
	case <-s.ctx.Done():
		s.discard(context.Cause(s.ctx))
		s.peer.removeSession(s)
		return
	case s.peer.sessionLock <- struct{}{}:
	}
	defer func() { <-s.peer.sessionLock }()

	m := s.peer.mesh
	s.markUsed()
	m.Connected(s.peer.id, s.start)
	go s.loop()
	err := s.read()
	s.cancel(err)
	s.receiveTimer.Stop()
	_ = s.conn.CloseNow()
	<-s.writerDone
	// Remove the session first: a message that is sent in Disconnected must be
	// queued for the next connection.
	s.peer.removeSession(s)
	m.Disconnected(s.peer.id)
	m.ConnectionError(s.peer.id, context.Cause(s.ctx))
}

func (s *session) read() error {
	for {
		_, b, err := s.conn.Read(s.ctx)
		if err != nil {
			return err
		}
		if s.peer.blocked.Load() {
			continue
		}
		if err := s.handle(b); err != nil {
			return err
		}
	}
}

// handle handles the messages of one frame. A panic ends the connection and not the
// process: the peer may send the same frame to every router.
func (s *session) handle(frame []byte) (err error) {
	defer func() {
		if e := recover(); e != nil {
			err = fmt.Errorf("handling a message panicked: %v", e)
		}
	}()
	messages, err := s.peer.mesh.codec.DecodeFrame(frame)
	if err != nil {
		return err
	}
	if len(messages) > 0 {
		s.markUsed()
	}
	for _, g := range messages {
		if _, ok := g.(galenalatch.Hello); ok {
			return errors.New("unexpected second hello")
		}
		s.peer.mesh.Handle(s.peer.id, g)
	}
	return nil
}

// loop writes the queued messages, and an empty frame as a heartbeat when
// nothing was written for the heartbeat interval.
func (s *session) loop() {
	defer close(s.writerDone)
	m := s.peer.mesh
	heartbeat := time.NewTimer(s.heartbeat)
	defer heartbeat.Stop()
	var frame []byte
	for {
		batch := s.peer.takeBatch(s)
		if len(batch) > 0 {
			s.markUsed()
			frame = m.codec.AppendFrame(frame[:0], batch)
			if !s.write(frame) {
				return
			}
			s.peer.sent.Add(int64(len(batch)))
			heartbeat.Reset(s.heartbeat)
			continue
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.peer.wake:
		case <-heartbeat.C:
			if s.idle() {
				s.cancel(errIdle)
				return
			}
			if !s.write(m.codec.AppendFrame(nil, nil)) {
				return
			}
			heartbeat.Reset(s.heartbeat)
		}
	}
}

func (s *session) write(frame []byte) bool {
	if s.peer.blocked.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.receiveTimeout)
	defer cancel()
	if err := s.conn.Write(ctx, websocket.MessageBinary, frame); err != nil {
		s.cancel(err)
		return false
	}
	return true
}

func (s *session) markUsed() {
	s.lastUsed.Store(int64(time.Since(s.created)))
}

func (s *session) idle() bool {
	return time.Since(s.created)-time.Duration(s.lastUsed.Load()) >= s.peer.mesh.IdleTimeout
}

// countingConn counts the bytes of a connection and resets the receive timer of
// the session when data arrives.
type countingConn struct {
	net.Conn
	session *session
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.session.peer.bytesIn.Add(int64(n))
		if !c.session.peer.blocked.Load() && c.session.ctx.Err() == nil {
			c.session.receiveTimer.Reset(c.session.receiveTimeout)
		}
	}
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.session.peer.bytesOut.Add(int64(n))
	return n, err
}
