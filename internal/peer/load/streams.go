package load

import (
	"cmp"
	"slices"

	"github.com/galenalatch/galenalatch"
)

// streamSum is a sum of reports on plans of versions, by the key of the service.
type streamSum map[uint32]galenalatch.StreamReport

func (s streamSum) add(reports []galenalatch.StreamReport) {
	for _, r := range reports {
		if sum, ok := s[r.Service]; ok {
			r.Routers = addUint16(r.Routers, sum.Routers)
			r.Oldest, r.Newest = min(r.Oldest, sum.Oldest), max(r.Newest, sum.Newest)
			r.Left |= sum.Left
		}
		s[r.Service] = r
	}
}

// message returns the reports sorted by key, so that equal sums give equal messages.
func (s streamSum) message() []galenalatch.StreamReport {
	var reports []galenalatch.StreamReport
	for _, r := range s {
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b galenalatch.StreamReport) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}
