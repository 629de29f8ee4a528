package share

import "slices"

// FairShare returns the limit up to which every workspace gets what it requests
// when capacity is shared max-min fairly. It is the capacity itself when all
// requests fit. Each workspace of the aggregate counts with their mean.
func FairShare(usage map[uint32]Usage, aggregate Aggregate, capacity float64) float64 {
	requested := make([]float64, 0, len(usage)+aggregate.Count)
	for _, u := range usage {
		requested = append(requested, u.Requested)
	}
	for range aggregate.Count {
		requested = append(requested, aggregate.Requested/float64(aggregate.Count))
	}
	slices.Sort(requested)
	remaining := capacity
	for i, a := range requested {
		equalShare := remaining / float64(len(requested)-i)
		if a > equalShare {
			return equalShare
		}
		remaining -= a
	}
	return capacity
}
