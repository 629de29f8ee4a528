package assignment

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slightTolerance is the part by which the slots of a version may differ from its
	// weight, and slackSlots the number of them beyond that. Each move makes versions
	// unknown for a time. From largeTolerance on the difference is large.
	slightTolerance = 0.25
	largeTolerance  = 0.6
	slackSlots      = 1
)

// Imbalance tells how far slots differ from the weights.
type Imbalance int

// The imbalances. Stranded means that a version has slots and no weight.
const (
	Balanced Imbalance = iota
	Slight
	Large
	Stranded
)

// Weights are the parts of new streams that versions should get. They need not add up to 1.
type Weights map[string]float64

// slots returns how many slots each version with a weight should have.
func (w Weights) slots() map[string]int {
	total := 0.0
	for _, x := range w {
		total += x
	}
	wanted := make(map[string]int, len(w))
	if total <= 0 {
		return wanted
	}
	left := slotCount
	versions := slices.SortedFunc(maps.Keys(w), func(a, b string) int {
		// The heaviest version gets what rounding leaves.
		if w[a] != w[b] {
			return int(math.Copysign(1, w[a]-w[b]))
		}
		if a < b {
			return -1
		}
		return 1
	})
	for i, v := range versions {
		n := int(math.Round(slotCount * w[v] / total))
		if w[v] > 0 {
			n = max(n, 1)
		}
		if i == len(versions)-1 {
			n = left
		}
		wanted[v] = min(n, left)
		left -= wanted[v]
	}
	return wanted
}

// First returns the first plan of a service at a time of the store's clock. It is settled
// if no stream can have begun before it. It reports false without weights.
func First(at time.Duration, w Weights, settled bool) (Plan, bool) {
	wanted := w.slots()
	if len(wanted) == 0 {
		return Plan{}, false
	}
	p := Plan{Edition: 1}
	i := 0
	for _, v := range slices.Sorted(maps.Keys(wanted)) {
		for range wanted[v] {
			p.slots[i] = slot{version: v, at: at, settled: settled}
			i++
		}
	}
	return p, true
}

// Imbalance returns how far the slots differ from the weights. Without weights they do not.
func (p Plan) Imbalance(w Weights) Imbalance {
	wanted, have := w.slots(), p.counts()
	if len(wanted) == 0 {
		return Balanced
	}
	worst := Balanced
	for v, n := range have {
		if n > 0 && w[v] <= 0 {
			return Stranded
		}
	}
	for v, n := range wanted {
		worst = max(worst, imbalance(n, have[v]))
	}
	return worst
}

// imbalance compares two numbers of slots.
func imbalance(a, b int) Imbalance {
	larger, smaller := float64(max(a, b)), float64(min(a, b))
	switch {
	case larger > (1+largeTolerance)*smaller+slackSlots:
		return Large
	case larger > (1+slightTolerance)*smaller+slackSlots:
		return Slight
	}
	return Balanced
}

// WithWeights returns the plan of the next edition, at a time of the store's clock, whose
// slots match the weights, with as few of them moved as possible. Without weights none is.
func (p Plan) WithWeights(at time.Duration, w Weights) Plan {
	wanted, have := w.slots(), p.counts()
	p.Edition++
	if len(wanted) == 0 {
		return p
	}
	for _, i := range p.unsettledFirst() {
		from := p.slots[i].version
		if have[from] <= wanted[from] {
			continue
		}
		to := neediest(have, wanted)
		have[from]--
		have[to]++
		p.slots[i] = slot{version: to, at: at}
	}
	return p
}

// counts returns the number of slots of each version.
func (p Plan) counts() map[string]int {
	counts := make(map[string]int)
	for _, s := range p.slots {
		counts[s.version]++
	}
	return counts
}

// neediest returns the version that lacks most slots.
func neediest(have, wanted map[string]int) string {
	most, lacks := "", math.MinInt
	for _, v := range slices.Sorted(maps.Keys(wanted)) {
		if n := wanted[v] - have[v]; n > lacks {
			most, lacks = v, n
		}
	}
	return most
}

// unsettledFirst returns the slots in the order in which they should move: one that has
// moved lately makes no further version unknown.
func (p Plan) unsettledFirst() []int {
	var unsettled, settled []int
	for i, s := range p.slots {
		if s.settled {
			settled = append(settled, i)
		} else {
			unsettled = append(unsettled, i)
		}
	}
	return append(unsettled, settled...)
}
