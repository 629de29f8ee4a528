// Package use tells the other routers what this one has under way, and
// receives the same from them, over one WebSocket per pair of routers.
package use

import (
	"context"
	"errors"
	"math"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/peer/link"
)

const (
	// interval is the time between two messages to each router in a small
	// fleet. perRouter is added for each router, so that the messages that a
	// router sends and receives in a second stay bounded.
	interval  = 100 * time.Millisecond
	perRouter = 6 * time.Millisecond
	// repeatAfter is the longest time without a message while nothing
	// changes but something is under way.
	repeatAfter = 500 * time.Millisecond
	// idleAfter is the longest time without a message.
	idleAfter = 10 * time.Second
	// tokenUnit is the unit of tokens in messages.
	tokenUnit = 1000
)

// Options configure an Exchange.
type Options struct {
	Self       galenalatch.RouterID
	Start      string
	DataCentre galenalatch.DataCentre
	Table      *placement.Table
	Ledger     *share.Ledger
	// Answered takes the answers of the store that other routers pass on.
	Answered func(galenalatch.StoreAnswer)
	// Connected and Lost are told of connections with other routers.
	Connected func(r galenalatch.RouterID)
	Lost      func(r galenalatch.RouterID, err error)
}

// Exchange keeps the connections with the other routers.
type Exchange struct {
	Options
	mu    sync.Mutex
	mesh  *link.Mesh
	peers []galenalatch.RouterID
	// near are the peers of the own data centre.
	near  []galenalatch.RouterID
	heard map[galenalatch.RouterID]time.Time
	ready chan struct{}

	last   galenalatch.RouterUse
	lastAt time.Time
}

// New returns an exchange without peers.
func New(o Options) *Exchange {
	return &Exchange{Options: o, heard: make(map[galenalatch.RouterID]time.Time), ready: make(chan struct{})}
}

// SetPeers replaces the list of routers. The token of the first call stays.
func (e *Exchange) SetPeers(list []galenalatch.Instance, token string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token == "" {
		return nil
	}
	if e.mesh == nil {
		m, err := link.New(link.Options{
			Self: e.Self, Start: e.Start, DataCentre: e.DataCentre, Token: token,
			Handle: e.receive,
			Up:     func(r galenalatch.RouterID, _ string) { e.hear(r); e.Connected(r) },
			Failed: e.Lost,
		})
		if err != nil {
			return err
		}
		e.mesh = m
		close(e.ready)
	}
	e.mesh.SetPeers(list)
	e.peers, e.near = nil, nil
	now := time.Now()
	heard := make(map[galenalatch.RouterID]time.Time, len(list))
	for _, i := range list {
		id := galenalatch.RouterID(i.ID)
		if id == e.Self {
			continue
		}
		e.peers = append(e.peers, id)
		if i.DataCentre == e.DataCentre {
			e.near = append(e.near, id)
		}
		heard[id] = now
		if at, ok := e.heard[id]; ok {
			heard[id] = at
		}
	}
	e.heard = heard
	return nil
}

// ServeHTTP accepts the connections of other routers.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	m := e.mesh
	e.mu.Unlock()
	if m == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.Handler().ServeHTTP(w, r)
}

// Run exchanges messages until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-e.ready:
	}
	done := make(chan error, 1)
	go e.run(ctx, done)
	e.loop(ctx)
	return errors.Join(<-done, context.Cause(ctx))
}

// run keeps the connections.
func (e *Exchange) run(ctx context.Context, done chan<- error) {
	err := e.mesh.Run(ctx)
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	done <- err
}

// loop sends what is under way at intervals.
func (e *Exchange) loop(ctx context.Context) {
	for {
		e.mu.Lock()
		pause := interval + time.Duration(len(e.peers))*perRouter
		e.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
			e.send(time.Now())
		}
	}
}

func (e *Exchange) send(now time.Time) {
	m := galenalatch.RouterUse{}
	for k, l := range e.Table.Own(now) {
		m.Servers = append(m.Servers, galenalatch.ServerUse{
			Server: k, Running: clamp(l.Running), ReadingMillis: clamp(int(l.Reading / time.Millisecond)),
		})
	}
	for k, u := range e.Ledger.Own(now) {
		m.Workspaces = append(m.Workspaces, galenalatch.WorkspaceUse{
			Workspace: k, Asked: uint32(u.Asked / tokenUnit), Begun: uint32(u.Begun / tokenUnit),
		})
	}
	idle := len(m.Servers)+len(m.Workspaces) == 0
	wasIdle := len(e.last.Servers)+len(e.last.Workspaces) == 0
	limit := repeatAfter
	if idle && wasIdle {
		limit = idleAfter
	}
	if now.Sub(e.lastAt) < limit && reflect.DeepEqual(m, e.last) {
		return
	}
	e.last, e.lastAt = m, now
	e.mu.Lock()
	peers, mesh := e.peers, e.mesh
	e.mu.Unlock()
	mesh.Broadcast(peers, m)
}

// Pass passes an answer of the store on to the routers of the data centre.
func (e *Exchange) Pass(a galenalatch.StoreAnswer) {
	e.mu.Lock()
	near, mesh := e.near, e.mesh
	e.mu.Unlock()
	if mesh != nil {
		mesh.Broadcast(near, a)
	}
}

func clamp(n int) uint16 {
	return uint16(min(max(n, 0), math.MaxUint16))
}

func (e *Exchange) hear(r galenalatch.RouterID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.heard[r]; ok {
		e.heard[r] = time.Now()
	}
}

// receive takes the message of another router.
func (e *Exchange) receive(from galenalatch.RouterID, m galenalatch.Message) {
	e.hear(from)
	if a, ok := m.(galenalatch.StoreAnswer); ok {
		e.Answered(a)
		return
	}
	u, ok := m.(galenalatch.RouterUse)
	if !ok {
		return
	}
	now := time.Now()
	loads := make(map[uint32]placement.Load, len(u.Servers))
	for _, s := range u.Servers {
		loads[s.Server] = placement.Load{Running: int(s.Running), Reading: time.Duration(s.ReadingMillis) * time.Millisecond}
	}
	uses := make(map[uint32]share.Use, len(u.Workspaces))
	for _, w := range u.Workspaces {
		uses[w.Workspace] = share.Use{Asked: float64(w.Asked) * tokenUnit, Begun: float64(w.Begun) * tokenUnit}
	}
	e.Table.SetRemote(now, from, loads)
	e.Ledger.SetRemote(now, from, uses)
}

// Silent returns the routers that were not heard for a time, and whether any
// other router was heard within it.
func (e *Exchange) Silent(now time.Time, limit time.Duration) (silent []galenalatch.RouterID, connected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mesh == nil {
		return nil, false
	}
	for r, t := range e.mesh.Stats() {
		if _, ok := e.heard[r]; ok && t.Connected {
			e.heard[r] = now
		}
	}
	for r, at := range e.heard {
		if now.Sub(at) < limit {
			connected = true
			continue
		}
		silent = append(silent, r)
	}
	return silent, connected
}
