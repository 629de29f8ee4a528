package link

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/galenalatch/galenalatch"
)

var (
	errReplaced = errors.New("replaced by another connection")
	errDead     = errors.New("nothing received for too long")
	errIdle     = errors.New("idle")
)

// session is one connection with a peer.
type session struct {
	peer    *peer
	ctx     context.Context
	end     context.CancelCauseFunc
	dialler galenalatch.RouterID
	start   string
	since   time.Time
	conn    *websocket.Conn
	dead    *time.Timer
	used    atomic.Int64
	// heartbeat is the own longest time without sending, deadAfter the time
	// without receiving after which the connection counts as down. They are
	// set before the session runs.
	heartbeat time.Duration
	deadAfter time.Duration
	written   chan struct{}
}

func newSession(ctx context.Context, p *peer, dialler galenalatch.RouterID) *session {
	m := p.mesh
	s := &session{peer: p, dialler: dialler, since: time.Now(), written: make(chan struct{}), heartbeat: m.interval(), deadAfter: m.DeadAfter}
	s.ctx, s.end = context.WithCancelCause(ctx)
	s.dead = time.AfterFunc(s.deadAfter, func() { s.end(errDead) })
	return s
}

// expect takes in the peer's longest time without sending. Three times this
// leaves room for one late heartbeat.
func (s *session) expect(heartbeat time.Duration) {
	s.deadAfter = max(s.deadAfter, 3*min(heartbeat, maxHeartbeat))
	s.dead.Reset(s.deadAfter)
}

// abandon releases a session that was never run.
func (s *session) abandon(err error) {
	s.end(err)
	s.dead.Stop()
	if s.conn != nil {
		_ = s.conn.CloseNow()
	}
}

// run reads until the connection ends. It waits until the connection that
// it replaces has delivered its last message.
func (s *session) run() {
	select {
	case <-s.ctx.Done():
		s.abandon(context.Cause(s.ctx))
		s.peer.ended(s)
		return
	case s.peer.turn <- struct{}{}:
	}
	defer func() { <-s.peer.turn }()

	m := s.peer.mesh
	s.touch()
	m.Up(s.peer.id, s.start)
	go s.loop()
	err := s.read()
	s.end(err)
	s.dead.Stop()
	_ = s.conn.CloseNow()
	<-s.written
	// A message that is sent in Down belongs to the next connection.
	s.peer.ended(s)
	m.Down(s.peer.id)
	m.Failed(s.peer.id, context.Cause(s.ctx))
}

func (s *session) read() error {
	m := s.peer.mesh
	for {
		_, b, err := s.conn.Read(s.ctx)
		if err != nil {
			return err
		}
		if s.peer.blocked.Load() {
			continue
		}
		messages, err := m.codec.DecodeFrame(b)
		if err != nil {
			return err
		}
		if len(messages) > 0 {
			s.touch()
		}
		for _, g := range messages {
			if _, ok := g.(galenalatch.Hello); ok {
				return errors.New("second hello")
			}
			m.Handle(s.peer.id, g)
		}
	}
}

// loop writes the waiting messages, and an empty frame as a heartbeat when
// there was nothing to write for a while.
func (s *session) loop() {
	defer close(s.written)
	m := s.peer.mesh
	beat := time.NewTimer(s.heartbeat)
	defer beat.Stop()
	var frame []byte
	for {
		batch := s.peer.take(s)
		if len(batch) > 0 {
			s.touch()
			frame = m.codec.AppendFrame(frame[:0], batch)
			if !s.write(frame) {
				return
			}
			s.peer.sent.Add(int64(len(batch)))
			beat.Reset(s.heartbeat)
			continue
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.peer.wake:
		case <-beat.C:
			if s.idle() {
				s.end(errIdle)
				return
			}
			if !s.write(m.codec.AppendFrame(nil, nil)) {
				return
			}
			beat.Reset(s.heartbeat)
		}
	}
}

func (s *session) write(frame []byte) bool {
	if s.peer.blocked.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.deadAfter)
	defer cancel()
	if err := s.conn.Write(ctx, websocket.MessageBinary, frame); err != nil {
		s.end(err)
		return false
	}
	return true
}

func (s *session) touch() {
	s.used.Store(int64(time.Since(s.since)))
}

func (s *session) idle() bool {
	return time.Since(s.since)-time.Duration(s.used.Load()) >= s.peer.mesh.IdleAfter
}

// counted counts the bytes of a connection and postpones the time at which
// it counts as dead.
type counted struct {
	net.Conn
	session *session
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.session.peer.in.Add(int64(n))
		if !c.session.peer.blocked.Load() && c.session.ctx.Err() == nil {
			c.session.dead.Reset(c.session.deadAfter)
		}
	}
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.session.peer.out.Add(int64(n))
	return n, err
}
