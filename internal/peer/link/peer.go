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
	// minSessionDuration is the duration below which a connection counts as a
	// failed attempt. Without it, a peer that closes each connection at once
	// would be dialled without backoff.
	minSessionDuration = time.Second
)

// errSimultaneousDial reports that the peer refused the connection because it
// is dialling at the same time and its own connection takes precedence.
var errSimultaneousDial = errors.New("peer is dialling at the same time")

// peer is another router, with its send queue and its current connection.
type peer struct {
	mesh *Mesh
	id   galenalatch.RouterID
	wake chan struct{}
	// sessionLock is held while a session runs, so that the callbacks of two
	// sessions of a peer do not overlap.
	sessionLock       chan struct{}
	blocked           atomic.Bool
	bytesIn, bytesOut atomic.Int64
	sent              atomic.Int64

	mu          sync.Mutex
	address     string
	queue       [][]byte
	queuedBytes int
	session     *session
	dialling    bool
	writing     bool
	refs        int
	failures    int
	retryAt     time.Time
}

func newPeer(m *Mesh, id galenalatch.RouterID) *peer {
	return &peer{mesh: m, id: id, wake: make(chan struct{}, 1), sessionLock: make(chan struct{}, 1)}
}

// setAddress sets the address; an empty one means that the peer is not listed.
// It reports whether the peer is unused and may be deleted.
func (p *peer) setAddress(a string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != a {
		p.failures, p.retryAt = 0, time.Time{}
	}
	p.address = a
	return a == "" && p.session == nil && !p.dialling && p.refs == 0 && !p.blocked.Load()
}

// addRefs changes the number of references that keep the peer from being
// deleted.
func (p *peer) addRefs(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refs += n
}

func (p *peer) hasUnsent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0 || p.writing
}

// push appends a message to the send queue and dials the peer if there is no
// connection. It reports whether the message was queued, and otherwise whether
// the queue is full.
func (p *peer) push(b []byte) (queued, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) >= p.mesh.MaxQueued || p.queuedBytes+len(b) > p.mesh.MaxQueuedBytes {
		return false, true
	}
	if p.session == nil && !p.dialling {
		if p.address == "" || time.Now().Before(p.retryAt) {
			return false, false
		}
		ctx, ok := p.mesh.joinGroup()
		if !ok {
			return false, false
		}
		p.dialling = true
		go p.run(ctx)
	}
	p.queue = append(p.queue, b)
	p.queuedBytes += len(b)
	signal(p.wake)
	return true, false
}

// takeBatch removes the oldest messages that fit into one frame from the queue
// and returns them. It returns none if s is not the current session.
func (p *peer) takeBatch(s *session) [][]byte {
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
	p.queuedBytes -= size
	if len(p.queue) == 0 {
		p.queue = nil
	}
	return batch
}

// run dials the peer and runs the session.
func (p *peer) run(ctx context.Context) {
	defer p.mesh.group.Done()
	s, err := p.connect(ctx)
	p.mu.Lock()
	p.dialling = false
	if err != nil && p.session == nil {
		p.scheduleRetry()
	}
	p.mu.Unlock()
	if err != nil {
		p.reportError(err)
		return
	}
	s.run()
}

// connect dials the peer. It retries only when the peer answered that it is
// dialling at the same time.
func (p *peer) connect(ctx context.Context) (*session, error) {
	deadline := time.Now().Add(2 * p.mesh.DialTimeout)
	for {
		s, err := p.mesh.dial(ctx, p)
		if !errors.Is(err, errSimultaneousDial) || time.Now().After(deadline) {
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
			return nil, errSimultaneousDial
		}
	}
}

// scheduleRetry drops the queued messages and sets the time of the next
// attempt. p.mu must be held.
func (p *peer) scheduleRetry() {
	p.queue, p.queuedBytes = nil, 0
	p.retryAt = time.Now().Add(jitter(min(maxBackoff, firstBackoff<<min(p.failures, 10))))
	p.failures++
}

// reportError passes err to the ConnectionError callback, unless the connection
// was closed in favour of another one, which exists.
func (p *peer) reportError(err error) {
	if (errors.Is(err, errSimultaneousDial) || errors.Is(err, errReplaced)) && p.connected() {
		return
	}
	p.mesh.ConnectionError(p.id, err)
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

// setSession makes s the current session. It reports false when both sides
// dialled and the current session is the one to keep.
func (p *peer) setSession(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.session; old != nil {
		same := old.start == s.start && old.dialler != s.dialler
		if same && old.dialler == min(p.id, p.mesh.Self) && old.ctx.Err() == nil {
			return false
		}
		old.cancel(errReplaced)
	}
	p.session = s
	p.retryAt = time.Time{}
	return true
}

// removeSession clears the current session and drops the queued messages. If s
// was replaced already, it leaves both to the new session.
func (p *peer) removeSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != s {
		return
	}
	p.session, p.writing = nil, false
	if time.Since(s.created) < minSessionDuration {
		p.scheduleRetry()
		return
	}
	p.queue, p.queuedBytes = nil, 0
	p.failures = 0
}

func (p *peer) traffic() Traffic {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Traffic{BytesIn: p.bytesIn.Load(), BytesOut: p.bytesOut.Load(), Sent: p.sent.Load(), Queued: len(p.queue), Connected: p.session != nil}
}
