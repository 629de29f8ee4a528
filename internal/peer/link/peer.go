package link

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/peer/wire"
)

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// shortLife is the life of a connection that counts as a failed attempt,
	// so that a peer that closes each connection at once is not flooded.
	shortLife = time.Second
)

// errBothDial says that the peer is dialling too and its connection counts.
var errBothDial = errors.New("the peer dials at the same time")

// peer is another router with the messages that wait for it.
type peer struct {
	mesh    *Mesh
	id      galenalatch.RouterID
	wake    chan struct{}
	turn    chan struct{}
	blocked atomic.Bool
	in, out atomic.Int64
	sent    atomic.Int64

	mu       sync.Mutex
	address  string
	queue    [][]byte
	bytes    int
	session  *session
	dialling bool
	writing  bool
	holds    int
	failures int
	retryAt  time.Time
}

func newPeer(m *Mesh, id galenalatch.RouterID) *peer {
	return &peer{mesh: m, id: id, wake: make(chan struct{}, 1), turn: make(chan struct{}, 1)}
}

// setAddress reports whether the peer is unused and may be forgotten.
func (p *peer) setAddress(a string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != a {
		p.failures, p.retryAt = 0, time.Time{}
	}
	p.address = a
	return a == "" && p.session == nil && !p.dialling && p.holds == 0 && !p.blocked.Load()
}

// hold counts the users that need the peer to stay known.
func (p *peer) hold(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds += n
}

func (p *peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0 || p.writing
}

// push reports whether the message was queued, and otherwise whether the
// queue is full.
func (p *peer) push(b []byte) (queued, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) >= p.mesh.MaxQueued || p.bytes+len(b) > p.mesh.MaxQueuedBytes {
		return false, true
	}
	if p.session == nil && !p.dialling {
		if p.address == "" || time.Now().Before(p.retryAt) {
			return false, false
		}
		ctx, ok := p.mesh.spawn()
		if !ok {
			return false, false
		}
		p.dialling = true
		go p.run(ctx)
	}
	p.queue = append(p.queue, b)
	p.bytes += len(b)
	signal(p.wake)
	return true, false
}

// take returns the oldest messages that fit into one frame, for the current
// session only.
func (p *peer) take(s *session) [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != s {
		return nil
	}
	n, size := 0, 0
	for n < len(p.queue) && size+len(p.queue[n]) <= wire.MaxEnvelope {
		size += len(p.queue[n])
		n++
	}
	p.writing = n > 0
	batch := p.queue[:n:n]
	p.queue = p.queue[n:]
	p.bytes -= size
	if len(p.queue) == 0 {
		p.queue = nil
	}
	return batch
}

// run dials the peer and serves the connection.
func (p *peer) run(ctx context.Context) {
	defer p.mesh.group.Done()
	s, err := p.connect(ctx)
	p.mu.Lock()
	p.dialling = false
	if err != nil && p.session == nil {
		p.fail()
	}
	p.mu.Unlock()
	if err != nil {
		p.failed(err)
		return
	}
	s.run()
}

// connect dials until there is a connection. It goes on only when the peer
// answered that it is dialling too.
func (p *peer) connect(ctx context.Context) (*session, error) {
	deadline := time.Now().Add(2 * p.mesh.DialTimeout)
	for {
		s, err := p.mesh.dial(ctx, p)
		if !errors.Is(err, errBothDial) || time.Now().After(deadline) {
			return s, err
		}
		t := time.NewTimer(jitter(firstBackoff))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil, ctx.Err()
		case <-t.C:
		}
		if p.connected() {
			return nil, errBothDial
		}
	}
}

// fail drops the waiting messages and sets the time of the next attempt.
// p.mu is held.
func (p *peer) fail() {
	p.queue, p.bytes = nil, 0
	p.retryAt = time.Now().Add(jitter(min(maxBackoff, firstBackoff<<min(p.failures, 10))))
	p.failures++
}

// failed tells why there is no connection. A connection that was closed in
// favour of another one is no failure.
func (p *peer) failed(err error) {
	if (errors.Is(err, errBothDial) || errors.Is(err, errReplaced)) && p.connected() {
		return
	}
	p.mesh.Failed(p.id, err)
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

func (p *peer) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session != nil
}

func (p *peer) isDialling() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialling && p.session == nil
}

// adopt makes s the current connection unless the current one survives.
func (p *peer) adopt(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.session; old != nil {
		same := old.start == s.start && old.dialler != s.dialler
		if same && old.dialler == min(p.id, p.mesh.Self) && old.ctx.Err() == nil {
			return false
		}
		old.end(errReplaced)
	}
	p.session = s
	p.retryAt = time.Time{}
	return true
}

// ended forgets a connection. A connection that was replaced leaves the
// queue to its successor.
func (p *peer) ended(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != s {
		return
	}
	p.session, p.writing = nil, false
	if time.Since(s.since) < shortLife {
		p.fail()
		return
	}
	p.queue, p.bytes = nil, 0
	p.failures = 0
}

func (p *peer) traffic() Traffic {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Traffic{In: p.in.Load(), Out: p.out.Load(), Sent: p.sent.Load(), Queued: len(p.queue), Connected: p.session != nil}
}
