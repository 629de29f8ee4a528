// Package health asks backend servers for their health while the store does not tell of
// changes. A server that becomes cold then can say so only in its health answer.
//
// Each server is asked by the few routers that may send to it while it is cold. They tell
// the others, whose requests would otherwise crash it.
package health

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
)

const (
	// interval is the time between two questions to a server. With the exchange of load
	// between routers it bounds the requests that a server gets after it has become cold.
	interval = 250 * time.Millisecond
	// timeout bounds one question. A busy server answers when a slot is free.
	timeout = time.Second
)

// Options configure a Watcher. All fields are required.
type Options struct {
	Table   *placement.Table
	Client  *exchange.Client
	Headers galenalatch.Headers
	// Stale reports whether the store does not tell of changes of the servers.
	Stale  func() bool
	Events Events
}

// Events receives what health answers tell. Its methods must not block.
type Events interface {
	// ColdByHealth is called when a server that did not count as cold is cold for d.
	ColdByHealth(s galenalatch.ServerID, d time.Duration)
	// LeavingAnnounced is called when a server has said that it leaves.
	LeavingAnnounced(s galenalatch.ServerID)
}

// Watcher asks servers for their health.
type Watcher struct {
	Options
	mu sync.Mutex
	// asked holds the servers that have not answered yet.
	asked map[galenalatch.ServerID]bool
}

// New returns a watcher.
func New(o Options) *Watcher {
	return &Watcher{Options: o, asked: make(map[galenalatch.ServerID]bool)}
}

// Run asks until ctx ends, while the store does not tell of changes. It returns the
// cause of the end of ctx.
func (w *Watcher) Run(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case now := <-t.C:
			if !w.Stale() {
				continue
			}
			for _, target := range w.Table.HealthTargets(now) {
				if w.begin(target.Server) {
					go w.run(ctx, target)
				}
			}
		}
	}
}

// begin reports whether the server may be asked: no earlier question is open.
func (w *Watcher) begin(s galenalatch.ServerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asked[s] {
		return false
	}
	w.asked[s] = true
	return true
}

// run asks one server and records its answer.
func (w *Watcher) run(ctx context.Context, target placement.HealthTarget) {
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.asked, target.Server)
	}()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := w.Client.Send(ctx, &exchange.Request{
		Server: target.Server, Address: target.Address, Method: http.MethodGet, URI: target.Path, Host: target.Address,
		Header: w.Headers.ForwardRequest(make(http.Header), galenalatch.Forwarding{Server: target.Server, Remaining: timeout}),
	})
	if err != nil {
		// Whether a server can be reached is found out by requests.
		return
	}
	a.Discard()
	w.record(target, a.Head)
}

// record records what an answer tells, if it is surely of that server.
func (w *Watcher) record(target placement.HealthTarget, head galenalatch.ResponseHead) {
	now := time.Now()
	if !head.Misdirected && head.Pause > 0 {
		w.Table.RecordPause(now, target.Server, target.Started, head.Pause)
	}
	if head.Misdirected || head.Server != target.Server {
		return
	}
	w.Table.RecordLoad(now, target.Server, target.Started, head)
	if head.ColdFor > 0 && w.Table.RecordCold(now, target.Server, target.Started, head.ColdFor) {
		w.Events.ColdByHealth(target.Server, head.ColdFor)
	}
	if head.Leaving && w.Table.RecordLeaving(now, target.Server, target.Started) {
		w.Events.LeavingAnnounced(target.Server)
	}
}
