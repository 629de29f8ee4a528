// Package hitrate estimates how often an expectation holds, from outcomes that come
// one at a time. Few outcomes change little, and old ones are forgotten, so that the
// estimate follows servers that lose what they kept. The package reads no clock.
package hitrate

const (
	// priorWeight is the number of outcomes that weigh as much as the prior.
	priorWeight = 8
	// maxWeight bounds the number of outcomes. Beyond it older ones are forgotten.
	maxWeight = 64
)

// Rate is the estimate of a share between 0 and 1. The zero value has no outcomes.
type Rate struct {
	hits     float64
	outcomes float64
}

// With returns the estimate with one more outcome.
func (r Rate) With(hit bool) Rate {
	if r.outcomes >= maxWeight {
		r.hits *= (maxWeight - 1) / r.outcomes
		r.outcomes = maxWeight - 1
	}
	r.outcomes++
	if hit {
		r.hits++
	}
	return r
}

// Mean returns the estimated share. It is the prior without outcomes.
func (r Rate) Mean(prior float64) float64 {
	return (prior*priorWeight + r.hits) / (priorWeight + r.outcomes)
}
