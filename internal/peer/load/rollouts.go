package load

import (
	"cmp"
	"math"
	"slices"

	"github.com/galenalatch/galenalatch"
)

// rolloutSum is a sum of reports on orders. Reports of different steps are not added.
type rolloutSum map[rolloutKey]*rolloutEntry

type rolloutKey struct {
	order uint32
	step  uint8
}

// rolloutEntry is the sum of the reports of one order and step.
type rolloutEntry struct {
	report  galenalatch.RolloutReport
	answers map[answersKey]galenalatch.RouteAnswers
}

type answersKey struct {
	route      uint32
	newVersion bool
}

func (s rolloutSum) add(reports []galenalatch.RolloutReport) {
	for _, r := range reports {
		k := rolloutKey{r.Order, r.Step}
		e, ok := s[k]
		if !ok {
			e = &rolloutEntry{report: galenalatch.RolloutReport{Order: r.Order, Step: r.Step}, answers: make(map[answersKey]galenalatch.RouteAnswers)}
			s[k] = e
		}
		e.report.Routers = addUint16(e.report.Routers, r.Routers)
		e.report.Settled = addUint16(e.report.Settled, r.Settled)
		e.report.Requests += r.Requests
		e.report.Exposed += r.Exposed
		for _, a := range r.Answers {
			e.addAnswers(a)
		}
	}
}

func (e *rolloutEntry) addAnswers(a galenalatch.RouteAnswers) {
	k := answersKey{a.Route, a.New}
	sum := e.answers[k]
	sum.Route, sum.New = a.Route, a.New
	sum.Good += a.Good
	sum.Bad += a.Bad
	sum.First = addCounts(sum.First, a.First)
	sum.Pace = addCounts(sum.Pace, a.Pace)
	e.answers[k] = sum
}

// message returns the reports sorted by key, so that equal sums give equal messages.
func (s rolloutSum) message() []galenalatch.RolloutReport {
	var reports []galenalatch.RolloutReport
	for _, e := range s {
		r := e.report
		for _, a := range e.answers {
			r.Answers = append(r.Answers, a)
		}
		slices.SortFunc(r.Answers, func(a, b galenalatch.RouteAnswers) int {
			if a.Route == b.Route && a.New != b.New {
				if a.New {
					return 1
				}
				return -1
			}
			return cmp.Compare(a.Route, b.Route)
		})
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b galenalatch.RolloutReport) int {
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Step, b.Step))
	})
	return reports
}

// addCounts returns the sum of two histograms without changing them.
func addCounts(a, b []uint32) []uint32 {
	sum := make([]uint32, max(len(a), len(b)))
	copy(sum, a)
	for i, n := range b {
		sum[i] += n
	}
	return sum
}

func addUint16(a, b uint16) uint16 {
	return uint16(min(uint32(a)+uint32(b), math.MaxUint16))
}
