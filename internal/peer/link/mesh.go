// Package link keeps the connections between routers: one WebSocket per pair
// of routers that need it.
//
// A connection is dialled when the first message for a peer is sent and kept
// until it is idle. Both sides present the token and a Hello before any other
// message. When both sides dial at once, the connection dialled by the router
// with the smaller id survives; both sides derive this from the ids alone.
//
// Delivery is at most once: messages that wait when a connection ends are
// dropped, and Down and Up tell the user to send its state again.
package link

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/peer/wire"
)

// Protocol is the version of the protocol between routers. Routers with
// different versions do not connect.
const Protocol = 1

// maxPeers bounds the memory that connections with changing names can take.
const maxPeers = 4096

const flushInterval = 2 * time.Millisecond

// Options configure a Mesh. The first group is required.
type Options struct {
	Self       galenalatch.RouterID
	Start      string
	DataCentre galenalatch.DataCentre
	Token      string
	// Handle receives the messages. Messages of one peer arrive in order
	// from one goroutine at a time, different peers concurrently. A Handle
	// that blocks stops reading from the peer; after DeadAfter the link
	// counts as down.
	Handle func(from galenalatch.RouterID, m galenalatch.Message)

	// Up is called when a connection is usable, before its first message.
	Up func(r galenalatch.RouterID, start string)
	// Down is called after the last message of a connection.
	Down func(r galenalatch.RouterID)
	// Failed is told why a connection ended or could not be made.
	Failed func(r galenalatch.RouterID, err error)
	// Rejected is told why another router was rejected or rejected this
	// one. The name of a router without a valid token is not confirmed.
	Rejected func(r galenalatch.RouterID, err error)
	// Full is called for each message that was dropped because too many
	// wait for the router.
	Full func(r galenalatch.RouterID)
	// DialContext replaces the TCP dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	// MaxQueued and MaxQueuedBytes bound the messages that wait for one
	// peer. Defaults: 4096 messages, 1 MB.
	MaxQueued      int
	MaxQueuedBytes int
	// Heartbeat is the longest time without sending. Default: 1 s, and 4 s
	// on connections that are made while more than 64 peers are listed.
	Heartbeat time.Duration
	// DeadAfter is the time without receiving after which a connection
	// counts as down. Default: 3 s.
	DeadAfter time.Duration
	// IdleAfter closes a connection without messages. Default: 1 min.
	IdleAfter time.Duration
	// DialTimeout bounds dialling and the exchange of Hellos. Default: 2 s.
	DialTimeout time.Duration
}

func (o Options) withDefaults() Options {
	set(&o.Up, func(galenalatch.RouterID, string) {}, o.Up == nil)
	set(&o.Down, func(galenalatch.RouterID) {}, o.Down == nil)
	set(&o.Failed, func(galenalatch.RouterID, error) {}, o.Failed == nil)
	set(&o.Rejected, func(galenalatch.RouterID, error) {}, o.Rejected == nil)
	set(&o.Full, func(galenalatch.RouterID) {}, o.Full == nil)
	set(&o.DialContext, (&net.Dialer{}).DialContext, o.DialContext == nil)
	set(&o.MaxQueued, 4096, o.MaxQueued <= 0)
	set(&o.MaxQueuedBytes, 1<<20, o.MaxQueuedBytes <= 0)
	set(&o.DeadAfter, 3*time.Second, o.DeadAfter <= 0)
	set(&o.IdleAfter, time.Minute, o.IdleAfter <= 0)
	set(&o.DialTimeout, 2*time.Second, o.DialTimeout <= 0)
	return o
}

const (
	// heartbeat keeps the loss of a link known within 3 s in small fleets.
	heartbeat = time.Second
	// manyPeers is the number of peers above which heartbeats are rarer. At
	// 400 routers, heartbeats each second would take 18 ms/s of a node.
	manyPeers     = 64
	heartbeatMany = 4 * time.Second
	maxHeartbeat  = time.Minute
)

// interval returns the longest time without sending on a new connection.
func (m *Mesh) interval() time.Duration {
	if m.Heartbeat > 0 {
		return m.Heartbeat
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.peers) > manyPeers {
		return heartbeatMany
	}
	return heartbeat
}

func set[T any](field *T, value T, missing bool) {
	if missing {
		*field = value
	}
}

// Mesh holds the connections of one router.
type Mesh struct {
	Options
	codec *wire.Codec
	token [sha256.Size]byte
	local *local

	mu    sync.Mutex
	peers map[galenalatch.RouterID]*peer

	// life is locked after mu and after a peer's mutex.
	life   sync.Mutex
	ctx    context.Context
	closed bool
	group  sync.WaitGroup
}

// New returns a mesh. It connects after Run was called.
func New(o Options) (*Mesh, error) {
	if o.Self == "" || o.Start == "" || o.Token == "" || o.Handle == nil {
		return nil, errors.New("link: self, start, token and handle are required")
	}
	c, err := wire.New()
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	o = o.withDefaults()
	return &Mesh{
		Options: o,
		codec:   c,
		token:   sha256.Sum256([]byte(o.Token)),
		local:   newLocal(o),
		peers:   make(map[galenalatch.RouterID]*peer),
	}, nil
}

// Run keeps the connections until ctx ends, then closes them and waits for
// their goroutines.
func (m *Mesh) Run(ctx context.Context) error {
	m.life.Lock()
	if m.ctx != nil {
		m.life.Unlock()
		return errors.New("link: mesh runs already")
	}
	m.ctx = ctx
	m.life.Unlock()

	m.local.run(ctx)

	m.life.Lock()
	m.closed = true
	m.life.Unlock()
	m.group.Wait()
	return ctx.Err()
}

// spawn reserves a place in the group that Run waits for. It reports false
// when the mesh does not run.
func (m *Mesh) spawn() (context.Context, bool) {
	m.life.Lock()
	defer m.life.Unlock()
	if m.ctx == nil || m.closed {
		return nil, false
	}
	m.group.Add(1)
	return m.ctx, true
}

// SetPeers replaces the addresses of the routers. Connections to routers
// that are no longer listed stay until they end.
func (m *Mesh) SetPeers(instances []galenalatch.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[galenalatch.RouterID]bool, len(instances))
	for _, i := range instances {
		id := galenalatch.RouterID(i.ID)
		if i.Role != galenalatch.RouterRole || id == m.Self {
			continue
		}
		if p, ok := m.peer(id); ok {
			p.setAddress(i.Address)
			listed[id] = true
		}
	}
	for id, p := range m.peers {
		if !listed[id] && p.setAddress("") {
			delete(m.peers, id)
		}
	}
}

// peer returns the peer and adds it when there is room. m.mu is held.
func (m *Mesh) peer(id galenalatch.RouterID) (*peer, bool) {
	p := m.peers[id]
	if p == nil {
		if len(m.peers) >= maxPeers {
			return nil, false
		}
		p = newPeer(m, id)
		m.peers[id] = p
	}
	return p, true
}

func (m *Mesh) find(id galenalatch.RouterID) (*peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[id]
	return p, ok
}

// accept returns the peer and keeps it known until its release.
func (m *Mesh) accept(id galenalatch.RouterID) (*peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peer(id)
	if ok {
		p.hold(1)
	}
	return p, ok
}

// Send queues a message and never blocks. It reports false when the message
// cannot be queued: the queue is full, the peer has no address, or the last
// attempt to reach it failed a moment ago. A message for the router itself
// is delivered by another goroutine, in order.
func (m *Mesh) Send(to galenalatch.RouterID, message galenalatch.Message) bool {
	if to == m.Self {
		return m.local.push(message)
	}
	p, ok := m.find(to)
	if !ok {
		return false
	}
	b, err := m.codec.Encode(message)
	if err != nil {
		m.Failed(to, err)
		return false
	}
	queued, full := p.push(b)
	if full {
		m.Full(to)
	}
	return queued
}

// Broadcast queues a message for several routers, which it encodes once. It
// drops the message where Send would report false.
func (m *Mesh) Broadcast(to []galenalatch.RouterID, message galenalatch.Message) {
	b, err := m.codec.Encode(message)
	for _, r := range to {
		if err != nil {
			m.Failed(r, err)
			continue
		}
		if p, ok := m.find(r); ok {
			if _, full := p.push(b); full {
				m.Full(r)
			}
		}
	}
}

// Traffic describes the connection with one peer.
type Traffic struct {
	// In and Out are the bytes on the connections with the peer since the
	// start, with the framing of the WebSocket and the handshake's bytes
	// after the request, without the headers of TCP and IP.
	In, Out int64
	// Sent is the number of messages that were written.
	Sent int64
	// Queued is the number of messages that wait.
	Queued    int
	Connected bool
}

// Stats returns the traffic by peer.
func (m *Mesh) Stats() map[galenalatch.RouterID]Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := make(map[galenalatch.RouterID]Traffic, len(m.peers))
	for id, p := range m.peers {
		stats[id] = p.traffic()
	}
	return stats
}

// Block cuts the link with a router without any sign on the network, or
// restores it. Tests use it as a network partition.
func (m *Mesh) Block(r galenalatch.RouterID, blocked bool) {
	if p, ok := m.accept(r); ok {
		p.blocked.Store(blocked)
		p.hold(-1)
	}
}

// Flush waits until no message waits for a connected peer or is being
// written. A process that stops calls it before it ends the context of Run.
func (m *Mesh) Flush(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for m.busy() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

func (m *Mesh) busy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.busy() {
			return true
		}
	}
	return false
}
