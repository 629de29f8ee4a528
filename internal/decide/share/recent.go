package share

import (
	"math"
	"time"
)

const (
	// recentPeriod is the time constant with which recent usage decays. It is
	// about as long as the reports of other routers are old.
	recentPeriod = time.Second
	// priorRequests is the number of requests at the fleet's mean that are
	// added to the recent ones, so that a single request has little effect.
	// growthPriorRequests is the same for the growth.
	priorRequests       = 4
	growthPriorRequests = 8
)

// recent is the usage of a workspace on this router with exponential decay.
type recent struct {
	at       time.Time
	requests float64
	usage    Usage
}

func (r *recent) add(now time.Time, u Usage) {
	r.decay(now)
	if u.Requested > 0 {
		r.requests++
	}
	r.usage.Requested += u.Requested
	r.usage.Started += u.Started
}

// takeBack undoes the start of tokens at an earlier time.
func (r *recent) takeBack(now, at time.Time, tokens float64) {
	r.decay(now)
	left := tokens * math.Exp(-now.Sub(at).Seconds()/recentPeriod.Seconds())
	r.usage.Started = max(r.usage.Started-left, 0)
}

// decay reduces the usage to its value at the given time.
func (r *recent) decay(now time.Time) {
	if now.After(r.at) {
		factor := math.Exp(-now.Sub(r.at).Seconds() / recentPeriod.Seconds())
		r.requests *= factor
		r.usage.Requested *= factor
		r.usage.Started *= factor
		r.at = now
	}
}

// startedPart returns the part of the requested tokens that was started. fleet
// is that of all routers.
func (r *recent) startedPart(fleet float64) float64 {
	if r.requests == 0 {
		return fleet
	}
	prior := priorRequests * r.usage.Requested / r.requests
	return (r.usage.Started + prior*fleet) / (r.usage.Requested + prior)
}
