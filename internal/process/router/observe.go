package router

import (
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// occasionalEvery is the time between two log lines of the same cause.
const occasionalEvery = time.Minute

// maxOccasional bounds the causes that are remembered.
const maxOccasional = 10_000

// occasional bounds log lines that callers or peers can cause at any rate.
type occasional struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// due reports whether the cause may be logged now.
func (o *occasional) due(now time.Time, cause string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at, ok := o.last[cause]; ok && now.Sub(at) < occasionalEvery {
		return false
	}
	if o.last == nil {
		o.last = make(map[string]time.Time)
	}
	if len(o.last) >= maxOccasional {
		for c, at := range o.last {
			if now.Sub(at) >= occasionalEvery {
				delete(o.last, c)
			}
		}
		if len(o.last) >= maxOccasional {
			return false
		}
	}
	o.last[cause] = now
	return true
}

// onEnded counts the end of a caller's request.
func (r *Router) onEnded(q galenalatch.Request, err error, first, total time.Duration) {
	r.metrics.Ended(q, err, first, total)
	if err == nil {
		return
	}
	switch galenalatch.KindOf(err) {
	case galenalatch.KindUnauthorized:
		r.log.Event(events.CallerRejected, "error", err)
	case galenalatch.KindQueueFull:
		if r.occasional.due(time.Now(), "queue "+string(q.Workspace)) {
			r.log.Event(events.QueueFull, "workspace", q.Workspace, "pool", q.Pool, "error", err)
		}
	}
}

// onUnused logs why a grant was not used.
func (r *Router) onUnused(q galenalatch.Request, g galenalatch.Grant, err error) {
	n := events.GrantRejected
	if galenalatch.KindOf(err) == galenalatch.KindServerUnreached {
		n = events.ServerUnreached
	}
	r.log.Event(n, "request", q.ID, "cell", g.Cell, "epoch", g.Epoch, "server", g.Server, "error", err)
}

// onRetried logs that a request runs again.
func (r *Router) onRetried(q galenalatch.Request, g galenalatch.Grant, err error) {
	r.log.Event(events.RequestRetried, "request", q.ID, "workspace", q.Workspace, "server", g.Server, "error", err)
}

// onRejected logs that a peer was rejected or rejects this router.
func (r *Router) onRejected(p galenalatch.RouterID, err error) {
	if r.occasional.due(time.Now(), "rejected "+string(p)) {
		r.log.Event(events.PeerRejected, "peer", p, "error", err)
	}
}

// onFull logs that messages to a peer are dropped.
func (r *Router) onFull(p galenalatch.RouterID) {
	if r.occasional.due(time.Now(), "full "+string(p)) {
		r.log.Event(events.PeerQueueFull, "peer", p)
	}
}

// onService logs what a newer catalogue takes out of service or back in. A
// router that starts reads the history, which is not logged: it logs what is
// out of service when it is ready for the first time.
func (r *Router) onService(c galenalatch.Catalogue) {
	r.mu.Lock()
	before := r.applied
	if c.Version < before.Version {
		r.mu.Unlock()
		return
	}
	if !r.served.Load() {
		r.applied = galenalatch.Catalogue{Version: c.Version}
		r.mu.Unlock()
		return
	}
	r.applied = c
	r.mu.Unlock()
	note(r.log, "dataCentre", before.OutOfService, c.OutOfService)
	note(r.log, "server", before.ServersOut, c.ServersOut)
}

func note[T comparable](l *events.Log, what string, before, now []T) {
	was := make(map[T]bool)
	for _, x := range before {
		was[x] = true
	}
	for _, x := range now {
		if !was[x] {
			l.Event(events.OutOfService, what, x)
		}
		delete(was, x)
	}
	for _, x := range before {
		if was[x] {
			l.Event(events.BackInService, what, x)
		}
	}
}

// cellObserver logs what happens in the cells of this router.
type cellObserver struct {
	log *events.Log
}

// ServerChanged implements dispatch.Observer.
func (o cellObserver) ServerChanged(c galenalatch.CellID, before, now warmup.Status) {
	l := o.log.With("cell", c, "server", now.Server)
	if before.Server == "" {
		l.Event(events.ServerFound)
		return
	}
	if before.Boot != "" && before.Boot != now.Boot {
		l.Event(events.ServerRestarted, "boot", now.Boot)
	}
	if before.State == now.State {
		return
	}
	n := events.ServerState
	switch now.State {
	case warmup.Leaving:
		n = events.ServerLeaving
	case warmup.Suspect:
		n = events.ServerReportLost
	}
	l.Event(n, "from", before.State, "to", now.State)
}

// RouterGone implements dispatch.Observer.
func (o cellObserver) RouterGone(c galenalatch.CellID, r galenalatch.RouterID) {
	o.log.Event(events.EntryGone, "cell", c, "peer", r)
}

// Granting implements dispatch.Observer.
func (o cellObserver) Granting(c galenalatch.CellID, e galenalatch.Epoch, after time.Duration) {
	o.log.Event(events.CellRebuilt, "cell", c, "epoch", e, "after", after.Round(time.Millisecond))
}

// endEvent returns the event for a request that failed.
func endEvent(err error) events.Number {
	switch {
	case galenalatch.KindOf(err) == galenalatch.KindInProgress:
		return events.ClaimUnfinished
	case galenalatch.OutcomeOf(err) == galenalatch.OutcomeUnknown:
		return events.OutcomeUnknown
	case galenalatch.OutcomeOf(err) == galenalatch.Broken:
		return events.StreamBroken
	}
	return events.RequestRefused
}
