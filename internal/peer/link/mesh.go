// Package link maintains the connections between routers: one WebSocket for
// each pair of routers that exchange messages.
//
// A connection is dialled when the first message for a peer is sent, and is
// closed when it has been idle. The dialling side sends the token, and both
// sides send a Hello before any other message. When both sides dial at the
// same time, the connection dialled by the router with the smaller id is
// kept; both sides decide this from the ids alone.
//
// Delivery is at most once: messages still queued when a connection ends are
// dropped. Disconnected and Connected report the end and the start of a
// connection, so that the user of the package can send its state again.
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

// maxPeers bounds the memory used by connections that present ever new router
// ids.
const maxPeers = 4096

// flushInterval is the time between two checks of Flush.
const flushInterval = 2 * time.Millisecond

// Options configure a Mesh. The first group is required, except DataCentre.
type Options struct {
	// Self is the id of this router.
	Self galenalatch.RouterID
	// Start identifies the run of this process. A peer that presents another
	// value has restarted.
	Start      string
	DataCentre galenalatch.DataCentre
	// Token is the shared secret of the routers.
	Token string
	// Handle is called for each message. Calls for one peer are sequential
	// and in order; calls for different peers are concurrent. While Handle
	// blocks, nothing is read from the peer, and after ReceiveTimeout the
	// connection is closed.
	Handle func(from galenalatch.RouterID, m galenalatch.Message)

	// Connected is called when a connection is usable, before its first message.
	Connected func(r galenalatch.RouterID, start string)
	// Disconnected is called after the last message of a connection.
	Disconnected func(r galenalatch.RouterID)
	// ConnectionError is called with the reason when a connection ended or could
	// not be made, and when a message could not be encoded.
	ConnectionError func(r galenalatch.RouterID, err error)
	// HandshakeRejected is called with the reason when this router rejected a peer
	// in the handshake, or the peer rejected this router. Without a valid token, r
	// is what the peer claims.
	HandshakeRejected func(r galenalatch.RouterID, err error)
	// QueueFull is called for each message that was dropped because the send queue
	// of the router is full.
	QueueFull func(r galenalatch.RouterID)
	// DialContext dials a peer. Default: (&net.Dialer{}).DialContext.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	// MaxQueued and MaxQueuedBytes bound the send queue of one peer.
	// Defaults: 4096 messages, 1 MiB.
	MaxQueued      int
	MaxQueuedBytes int
	// Heartbeat is the time without sending after which an empty frame is
	// sent. Default: 1 s, and 4 s on connections that are made while more than
	// 64 peers are known.
	Heartbeat time.Duration
	// ReceiveTimeout is the time without receiving after which a connection
	// is closed. It is raised to three times the heartbeat interval of the
	// peer if that is longer. Default: 3 s.
	ReceiveTimeout time.Duration
	// IdleTimeout is the time without messages after which a connection is
	// closed. Default: 1 min.
	IdleTimeout time.Duration
	// DialTimeout bounds the time for dialling and the exchange of Hellos.
	// Default: 2 s.
	DialTimeout time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.Connected, func(galenalatch.RouterID, string) {}, o.Connected == nil)
	setDefault(&o.Disconnected, func(galenalatch.RouterID) {}, o.Disconnected == nil)
	setDefault(&o.ConnectionError, func(galenalatch.RouterID, error) {}, o.ConnectionError == nil)
	setDefault(&o.HandshakeRejected, func(galenalatch.RouterID, error) {}, o.HandshakeRejected == nil)
	setDefault(&o.QueueFull, func(galenalatch.RouterID) {}, o.QueueFull == nil)
	setDefault(&o.DialContext, (&net.Dialer{}).DialContext, o.DialContext == nil)
	setDefault(&o.MaxQueued, 4096, o.MaxQueued <= 0)
	setDefault(&o.MaxQueuedBytes, 1<<20, o.MaxQueuedBytes <= 0)
	setDefault(&o.ReceiveTimeout, 3*time.Second, o.ReceiveTimeout <= 0)
	setDefault(&o.IdleTimeout, time.Minute, o.IdleTimeout <= 0)
	setDefault(&o.DialTimeout, 2*time.Second, o.DialTimeout <= 0)
	return o
}

const (
	// With defaultHeartbeat, small fleets detect the loss of a connection
	// within 3 s.
	defaultHeartbeat = time.Second
	// largeFleetPeers is the number of peers above which largeFleetHeartbeat
	// is used. With 400 routers, heartbeats each second would take 18 ms/s of
	// CPU time on a router.
	largeFleetPeers     = 64
	largeFleetHeartbeat = 4 * time.Second
	// maxHeartbeat bounds the heartbeat interval that a peer may state.
	maxHeartbeat = time.Minute
)

// heartbeatInterval returns the heartbeat interval of a new connection.
func (m *Mesh) heartbeatInterval() time.Duration {
	if m.Heartbeat > 0 {
		return m.Heartbeat
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.peers) > largeFleetPeers {
		return largeFleetHeartbeat
	}
	return defaultHeartbeat
}

func setDefault[T any](field *T, value T, missing bool) {
	if missing {
		*field = value
	}
}

// Mesh holds the connections of one router. Its methods may be called
// concurrently.
type Mesh struct {
	Options
	codec    *wire.Codec
	token    [sha256.Size]byte
	loopback *loopback

	mu    sync.Mutex
	peers map[galenalatch.RouterID]*peer

	// lifecycle protects the fields below. It is locked after mu and after a
	// peer's mutex.
	lifecycle sync.Mutex
	ctx       context.Context
	closed    bool
	group     sync.WaitGroup
}

// New returns a mesh. It makes and accepts connections only while Run is
// running. It returns an error when a required option is missing.
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
		Options:  o,
		codec:    c,
		token:    sha256.Sum256([]byte(o.Token)),
		loopback: newLoopback(o),
		peers:    make(map[galenalatch.RouterID]*peer),
	}, nil
}

// Run maintains the connections until ctx ends. It then closes them, waits for
// their goroutines and returns the error of ctx. A second call returns an
// error at once.
func (m *Mesh) Run(ctx context.Context) error {
	m.lifecycle.Lock()
	if m.ctx != nil {
		m.lifecycle.Unlock()
		return errors.New("link: mesh is already running")
	}
	m.ctx = ctx
	m.lifecycle.Unlock()

	m.loopback.run(ctx)

	m.lifecycle.Lock()
	m.closed = true
	m.lifecycle.Unlock()
	m.group.Wait()
	return ctx.Err()
}

// joinGroup adds one goroutine to the group that Run waits for and returns the
// context of Run. It reports false when Run is not running.
func (m *Mesh) joinGroup() (context.Context, bool) {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	if m.ctx == nil || m.closed {
		return nil, false
	}
	m.group.Add(1)
	return m.ctx, true
}

// SetPeers replaces the list of routers and their addresses. Connections to
// routers that are no longer listed stay until they end, and are not dialled
// again.
func (m *Mesh) SetPeers(instances []galenalatch.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[galenalatch.RouterID]bool, len(instances))
	for _, i := range instances {
		id := galenalatch.RouterID(i.ID)
		if i.Role != galenalatch.RouterRole || id == m.Self {
			continue
		}
		if p, ok := m.findOrAddPeer(id); ok {
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

// findOrAddPeer returns the peer and adds it if it is missing. It reports
// false when there are maxPeers peers already. m.mu must be held.
func (m *Mesh) findOrAddPeer(id galenalatch.RouterID) (*peer, bool) {
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

func (m *Mesh) findPeer(id galenalatch.RouterID) (*peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[id]
	return p, ok
}

// acquirePeer returns the peer and adds a reference to it. The caller releases
// it by addRefs(-1).
func (m *Mesh) acquirePeer(id galenalatch.RouterID) (*peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.findOrAddPeer(id)
	if ok {
		p.addRefs(1)
	}
	return p, ok
}

// Send queues a message and never blocks. It reports false when the message
// was not queued: it cannot be encoded, the queue is full, the peer is unknown
// or has no address, or the backoff after a failed dial has not passed. A
// message for the router itself is delivered by another goroutine, in order.
func (m *Mesh) Send(to galenalatch.RouterID, message galenalatch.Message) bool {
	if to == m.Self {
		return m.loopback.push(message)
	}
	p, ok := m.findPeer(to)
	if !ok {
		return false
	}
	b, err := m.codec.Encode(message)
	if err != nil {
		m.ConnectionError(to, err)
		return false
	}
	queued, full := p.push(b)
	if full {
		m.QueueFull(to)
	}
	return queued
}

// Broadcast encodes a message once and queues it for several other routers. It
// drops the message for a router where Send would report false.
func (m *Mesh) Broadcast(to []galenalatch.RouterID, message galenalatch.Message) {
	b, err := m.codec.Encode(message)
	for _, r := range to {
		if err != nil {
			m.ConnectionError(r, err)
			continue
		}
		if p, ok := m.findPeer(r); ok {
			if _, full := p.push(b); full {
				m.QueueFull(r)
			}
		}
	}
}

// Traffic describes the connection with one peer.
type Traffic struct {
	// BytesIn and BytesOut count the bytes received from and sent to the peer
	// since the start of the process. They include the WebSocket framing and the
	// part of the handshake after the request, and exclude TCP and IP headers.
	BytesIn, BytesOut int64
	// Sent is the number of messages written to the connection.
	Sent int64
	// Queued is the number of messages in the send queue.
	Queued int
	// Connected reports whether there is a connection now.
	Connected bool
}

// Stats returns the traffic of each known peer.
func (m *Mesh) Stats() map[galenalatch.RouterID]Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := make(map[galenalatch.RouterID]Traffic, len(m.peers))
	for id, p := range m.peers {
		stats[id] = p.traffic()
	}
	return stats
}

// SetPartitioned simulates a network partition between this router and another
// one, or ends it: while blocked, data from the router is discarded, nothing is
// sent to it, new connections fail, and an open one stays until it times out.
func (m *Mesh) SetPartitioned(r galenalatch.RouterID, blocked bool) {
	if p, ok := m.acquirePeer(r); ok {
		p.blocked.Store(blocked)
		p.addRefs(-1)
	}
}

// Flush waits until all queued messages have been written or dropped. It
// returns the error of ctx if ctx ends first. A process that stops calls it
// before it ends the context of Run.
func (m *Mesh) Flush(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for m.hasUnsent() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

func (m *Mesh) hasUnsent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.hasUnsent() {
			return true
		}
	}
	return false
}
