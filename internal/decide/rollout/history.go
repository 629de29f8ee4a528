package rollout

import (
	"maps"
	"time"
)

// sliceTime is the length of the parts of a step in which the versions are compared, since
// the share of the new version and the load of both change in a step.
const sliceTime = 2 * time.Second

// recentSlices is the number of the last slices that replace those of a step in which the
// old version has too few answers.
const recentSlices = 3

// maxSlices bounds the number of slices of a step; then each two of them become one, so
// that long steps cost no more than others.
const maxSlices = 32

// History holds the evidence of an order by its steps. It is immutable.
type History struct {
	// current is that of the step, earlier that of all steps before, and recent that of
	// their last slices.
	current, earlier, recent Evidence
	// closed holds the slices of the step that have ended, and atClose their sum.
	closed  []Evidence
	atClose Evidence
	opened  time.Time
}

// WithCurrent returns a history with the evidence of the step up to now.
func (h History) WithCurrent(now time.Time, e Evidence) History {
	h.current = e
	if h.opened.IsZero() {
		h.opened = now
	}
	if now.Sub(h.opened) >= sliceTime {
		h.closed = append(h.closed[:len(h.closed):len(h.closed)], e.minus(h.atClose))
		if len(h.closed) >= maxSlices {
			h.closed = merged(h.closed)
		}
		h.atClose, h.opened = e, now
	}
	return h
}

// merged returns the sums of each two slices but the last ones.
func merged(closed []Evidence) []Evidence {
	var half []Evidence
	last := len(closed) - recentSlices
	for i := 0; i < last; i += 2 {
		sum := maps.Clone(closed[i])
		if i+1 < last {
			sum.Add(closed[i+1])
		}
		half = append(half, sum)
	}
	return append(half, closed[last:]...)
}

// Advanced returns the history at the beginning of the next step.
func (h History) Advanced() History {
	earlier := maps.Clone(h.earlier)
	if earlier == nil {
		earlier = make(Evidence)
	}
	earlier.Add(h.current)
	return History{earlier: earlier, recent: h.lastSlices()}
}

// lastSlices returns the evidence of the last slices, also those of earlier steps.
func (h History) lastSlices() Evidence {
	slices := h.slices()
	recent := make(Evidence)
	for _, s := range slices[max(len(slices)-recentSlices, 0):] {
		recent.Add(s)
	}
	if len(slices) < recentSlices {
		recent.Add(h.recent)
	}
	return recent
}

// slices returns the evidence of the step by its parts.
func (h History) slices() []Evidence {
	return append(h.closed[:len(h.closed):len(h.closed)], h.current.minus(h.atClose))
}

// newAnswers returns the number of answers of the new version on a route in all steps.
func (h History) newAnswers(route uint32) float64 {
	return h.current[route].New.count() + h.earlier[route].New.count()
}

// baseline returns the answers of the old version before this step with which those of the
// new one are compared when the old one gets too few requests. Its answers in the step are
// then the slow ones of the step before.
func (h History) baseline(route uint32) (Answers, bool) {
	p := h.current[route]
	if p.Old.count() >= max(minOldAnswers, p.New.count()) {
		return Answers{}, false
	}
	old := h.recent[route].Old
	return old, old.count() >= minOldAnswers
}
