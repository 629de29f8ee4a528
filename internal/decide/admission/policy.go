// Package admission decides which requests are admitted while engines are
// behind.
//
// Engines run requests in order of arrival, so requests that wait at an engine
// cannot be reordered. A request whose first token would be late is therefore
// refused at once, and requests of workspaces above their share are refused
// first.
package admission

import "time"

// Policy holds the limits on the predicted time to the first token, as
// fractions of the target latency.
type Policy struct {
	// ShareLimit is the limit for workspaces up to their share. Above the
	// share, the limit falls in proportion to what the workspace has used, so
	// that of two workspaces above their share the one that has used more is
	// refused first.
	ShareLimit float64
	// MinLimit is the lowest limit: nearly idle engines admit any request. For
	// a workspace above its share of all tokens that were started, it falls in
	// proportion too. Otherwise all workspaces far above their share of the
	// throughput would have the same limit, and those with shorter prefill
	// times would take capacity from the others.
	MinLimit float64
}

// Default returns the policy of a gateway.
func Default() Policy {
	return Policy{ShareLimit: 0.95, MinLimit: 0.15}
}

// Request describes a request for the decision.
type Request struct {
	// TargetLatency is the time to the first token that the caller was promised.
	// Requests without a target are always admitted.
	TargetLatency time.Duration
	// Waited is the time since the request arrived, Wait the predicted time
	// from now to the first token.
	Waited time.Duration
	Wait   time.Duration
	// Overhead is the part of Wait that does not depend on the load of the
	// engines.
	Overhead time.Duration
	// Fraction is what was started for the workspace as a fraction of its share
	// of the throughput, StartedFraction as a fraction of its share of all tokens
	// that were started.
	Fraction        float64
	StartedFraction float64
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
	if !within(wait, p.ShareLimit) {
		return false
	}
	// The delay of a router without processor time is not a load of the
	// engines.
	return d.Fraction <= 1 || within(wait-d.Overhead, max(p.ShareLimit/d.Fraction, p.MinLimit/max(d.StartedFraction, 1)))
}
