package router

import (
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// logLimitInterval is the minimum time between two log lines with the same
// cause.
const logLimitInterval = time.Minute

// maxLogCauses bounds the causes that a logLimiter stores.
const maxLogCauses = 10_000

// logLimiter limits the rate of log lines that callers or peers can cause. Its
// zero value is ready for use.
type logLimiter struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// allow reports whether a line for the cause may be logged now. When
// maxLogCauses other causes were logged within the interval, it may not.
func (l *logLimiter) allow(now time.Time, cause string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.last[cause]; ok && now.Sub(at) < logLimitInterval {
		return false
	}
	if l.last == nil {
		l.last = make(map[string]time.Time)
	}
	if len(l.last) >= maxLogCauses {
		for c, at := range l.last {
			if now.Sub(at) >= logLimitInterval {
				delete(l.last, c)
			}
		}
		if len(l.last) >= maxLogCauses {
			return false
		}
	}
	l.last[cause] = now
	return true
}

// onRequestEnded counts the end of a caller's request and logs some of the
// refusals.
func (r *Router) onRequestEnded(q galenalatch.Request, err error, first, total time.Duration) {
	r.metrics.Ended(q, err, first, total)
	if err == nil {
		return
	}
	switch galenalatch.KindOf(err) {
	case galenalatch.KindUnauthorized:
		r.log.Event(events.CallerRejected, "error", err)
	case galenalatch.KindQueueFull:
		if r.logLimiter.allow(time.Now(), "queue "+string(q.Workspace)) {
			r.log.Event(events.QueueFull, "workspace", q.Workspace, "pool", q.Pool, "error", err)
		}
	}
}

// onUnusedGrant logs the reason why a grant was not used.
func (r *Router) onUnusedGrant(q galenalatch.Request, g galenalatch.Grant, err error) {
	n := events.GrantRejected
	if galenalatch.KindOf(err) == galenalatch.KindServerUnreachable {
		n = events.ServerUnreachable
	}
	r.log.Event(n, "request", q.ID, "cell", g.Cell, "epoch", g.Epoch, "server", g.Server, "error", err)
}

// onRetry logs that a request is sent again.
func (r *Router) onRetry(q galenalatch.Request, g galenalatch.Grant, err error) {
	r.log.Event(events.RequestRetried, "request", q.ID, "workspace", q.Workspace, "server", g.Server, "error", err)
}

// onPeerRejected logs that this router rejected a peer or was rejected by it.
func (r *Router) onPeerRejected(p galenalatch.RouterID, err error) {
	if r.logLimiter.allow(time.Now(), "rejected "+string(p)) {
		r.log.Event(events.PeerRejected, "peer", p, "error", err)
	}
}

// onPeerQueueFull logs that messages to a peer are dropped because its queue is
// full.
func (r *Router) onPeerQueueFull(p galenalatch.RouterID) {
	if r.logLimiter.allow(time.Now(), "full "+string(p)) {
		r.log.Event(events.PeerQueueFull, "peer", p)
	}
}

// logServiceChanges logs the data centres and servers that a newer catalogue
// takes out of service or back into it. Before the router is ready for the first
// time it reads old versions, whose changes are not logged; updateReady then logs
// all that is out of service.
func (r *Router) logServiceChanges(c galenalatch.Catalogue) {
	r.mu.Lock()
	before := r.loggedCatalogue
	if c.Version < before.Version {
		r.mu.Unlock()
		return
	}
	if !r.hasBeenReady.Load() {
		r.loggedCatalogue = galenalatch.Catalogue{Version: c.Version}
		r.mu.Unlock()
		return
	}
	r.loggedCatalogue = c
	r.mu.Unlock()
	logListChanges(r.log, "dataCentre", before.OutOfService, c.OutOfService)
	logListChanges(r.log, "server", before.ServersOut, c.ServersOut)
}

// logListChanges logs the elements that were added to a list of things out of
// service and those that were removed from it. what is the key of the log field.
func logListChanges[T comparable](l *events.Log, what string, before, now []T) {
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

// cellObserver logs the events of the cells that this router holds.
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

// RouterExpired implements dispatch.Observer.
func (o cellObserver) RouterExpired(c galenalatch.CellID, r galenalatch.RouterID) {
	o.log.Event(events.EntryRouterLost, "cell", c, "peer", r)
}

// GrantingStarted implements dispatch.Observer.
func (o cellObserver) GrantingStarted(c galenalatch.CellID, e galenalatch.Epoch, after time.Duration) {
	o.log.Event(events.CellRebuilt, "cell", c, "epoch", e, "after", after.Round(time.Millisecond))
}

// failureEvent returns the event for the error of a request.
func failureEvent(err error) events.Number {
	switch {
	case galenalatch.KindOf(err) == galenalatch.KindInProgress:
		return events.ClaimUnfinished
	case galenalatch.OutcomeOf(err) == galenalatch.OutcomeUnknown:
		return events.OutcomeUnknown
	case galenalatch.OutcomeOf(err) == galenalatch.StreamBroken:
		return events.StreamBroken
	}
	return events.RequestRefused
}
