// Package admission decides which requests are admitted while engines are
// overloaded.
//
// Engines run requests in order of arrival, so requests that wait at an engine
// cannot be reordered. A request whose first token would be late is therefore
// refused at once, unless its workspace is below its share, and requests of
// workspaces above their share are refused first.
package admission

import (
	"math"
	"time"

	"github.com/galenalatch/galenalatch/internal/decide/share"
)

// excessExponent is the power of its excess by which the limit of a workspace
// falls. What two workspaces get then differs by about the ninth root of what
// they request. With a limit that falls in proportion it differs by the square
// root.
const excessExponent = 7.5

// yieldFrom is the part of its share from which on a workspace yields to others that
// have less than they are due. Between it and the share it yields in part.
const yieldFrom = 0.75

// spareExcess is how much more of its share than the worst served one a workspace may
// have that gets what an engine would lose. The worst served one may be on routers that
// cannot send to the engine, and others then have to leave it the rest.
const spareExcess = 1.25

// Policy holds the limits on the predicted time to the first token, and on the part of
// it that is spent in the queue of an engine, as fractions of the target latency.
type Policy struct {
	// ShareLimit is the limit for a workspace at its share. Above the share, the
	// limit falls with what the workspace has used, so that of two workspaces
	// above their share the one that has used more is refused first.
	ShareLimit float64
	// MaxLimit is the highest limit. Below the share, the limit rises up to it:
	// others fill the engines up to ShareLimit, where a long prompt cannot meet
	// the target.
	MaxLimit float64
	// MaxWait is the highest wait of any request. Callers leave when they have
	// waited four times the target.
	MaxWait float64
	// MinLimit is the lowest limit for a workspace that is not above both of
	// its shares.
	MinLimit float64
	// IdleQueue is the queue up to which an engine counts as idle. Idle engines
	// admit any request of a workspace that is not above both of its shares, if
	// its first token is not late.
	IdleQueue float64
	// MinYield is the lowest factor by which the limit falls for workspaces that
	// have what they are due, while others have less.
	MinYield float64
}

// Default returns the policy of a gateway.
func Default() Policy {
	return Policy{ShareLimit: 0.95, MaxLimit: 2.5, MaxWait: 3, MinLimit: 0.15, IdleQueue: 0.05, MinYield: 0.5}
}

// Request describes a request for the decision.
type Request struct {
	// TargetLatency is the target for the time to the first token. Requests
	// without one are always admitted.
	TargetLatency time.Duration
	// TimeLimit is the time from the arrival of the request after which its
	// caller does not wait any longer, or 0 if that is unknown.
	TimeLimit time.Duration
	// Waited is the time since the request arrived, Wait the predicted time
	// from now to the first token.
	Waited time.Duration
	Wait   time.Duration
	// Prefill is the part of Wait for the prefill of the request itself,
	// MeanPrefill the mean of that part for requests of the same route.
	Prefill     time.Duration
	MeanPrefill time.Duration
	// Overhead is the part of Wait that does not depend on the load of the
	// engines, Queue the part behind other requests at the engine.
	Overhead time.Duration
	Queue    time.Duration
	// Spare is set when what the engine takes is bounded by a number of requests,
	// and a part of it would be lost without this request.
	Spare bool
	// Fractions are what the workspace has of its shares.
	Fractions share.Fractions
}

// Admit reports whether the request is admitted.
func (p Policy) Admit(d Request) bool {
	if d.TargetLatency <= 0 {
		return true
	}
	within := func(wait time.Duration, limit float64) bool {
		return wait <= time.Duration(limit*float64(d.TargetLatency))
	}
	wait := d.Waited + d.Wait
	if d.TimeLimit > 0 && wait > d.TimeLimit || !within(wait, p.MaxWait) {
		return false
	}
	// A long prompt counts as one of mean length. With its own length the longest
	// prompts of a route would be refused at queues at which short ones are not.
	wait -= max(d.Prefill-d.MeanPrefill, 0)
	limit := p.limit(d.Fractions)
	if d.Spare && d.Fractions.OfStarted <= spareExcess*d.Fractions.Least {
		// The wait does not show that others wait for the engine.
		limit = max(limit, p.ShareLimit)
	}
	if limit >= p.ShareLimit {
		return within(wait-time.Duration(p.excused(limit)*float64(d.Overhead)), limit)
	}
	if !within(wait, p.ShareLimit) {
		return false
	}
	// The time that a request takes at an idle engine does not show that others wait.
	idle := within(d.Queue, p.IdleQueue) && p.excess(d.Fractions) <= 1
	// Overhead comes from a router that lacks processor time and does not show
	// that the engines are overloaded.
	return idle || within(wait-d.Overhead, limit)
}

// limit returns the limit for a workspace. One below its shares is served late
// rather than not at all. One that is above both of its shares has what others wait
// for, and its limit falls steeply. One above a single share only yields to others:
// the fleet starts more than the configured throughput, or less.
//
// The steep part follows the pace, which this router knows without delay, and
// not the window alone: all routers would start a workspace's requests together
// until the others report it, and none of them for the rest of the window.
func (p Policy) limit(f share.Fractions) float64 {
	above := max(f.Pace, 1) * max(f.OfRate, f.OfStarted)
	yield := p.yield(above, f.Least)
	if above <= 1 {
		return min(yield*p.ShareLimit/above, p.MaxLimit)
	}
	return max(yield*p.ShareLimit/above, p.MinLimit) / math.Pow(p.excess(f), excessExponent)
}

// excess returns how far a workspace is above both of its shares, at least 1.
func (p Policy) excess(f share.Fractions) float64 {
	return max(f.Pace*min(f.OfRate, f.OfStarted), 1)
}

// excused returns the part of a delay that comes from the router and does not count
// against a workspace with a limit above ShareLimit: one that has little of its share
// is served late rather than not at all.
func (p Policy) excused(limit float64) float64 {
	return min(limit/p.ShareLimit-1, 1)
}

// yield returns the factor by which the limit of a workspace falls because another
// one has less than it is due. It applies in full to a workspace that has its share,
// and not below yieldFrom of the share.
func (p Policy) yield(above, least float64) float64 {
	full := min(max(least, p.MinYield), 1)
	part := min(max((above-yieldFrom)/(1-yieldFrom), 0), 1)
	return 1 - part*(1-full)
}
