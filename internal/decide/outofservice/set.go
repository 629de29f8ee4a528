// Package outofservice keeps the data centres that operators have taken out of
// service. What is known stays in force when the store comes back from a copy that
// does not have it.
package outofservice

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// confirmTime is how long a data centre stays out of service although the store came
// back from a copy that does not list it. Operators write again what the copy lacks.
const confirmTime = 30 * time.Second

// Set holds the data centres out of service. The zero value is empty.
type Set struct {
	// read is set once an update was applied, era is the era of the newest one.
	read bool
	era  uint64
	// until has the data centres out of service. The time is zero for those that the
	// store lists in this era, and otherwise when they are dropped unless it does.
	until map[galenalatch.DataCentre]time.Time
}

// Apply applies an update of the operators' table. It returns the data centres that are
// newly out of service and those that are not any more, both sorted. The first update of
// an era must be complete.
func (s *Set) Apply(now time.Time, u galenalatch.OperatorUpdate) (out, back []galenalatch.DataCentre) {
	before := s.until
	s.until = maps.Clone(before)
	if s.until == nil {
		s.until = make(map[galenalatch.DataCentre]time.Time)
	}
	s.begin(now, u.Era)
	maps.DeleteFunc(s.until, func(_ galenalatch.DataCentre, until time.Time) bool {
		if until.IsZero() {
			return u.Complete
		}
		return !now.Before(until)
	})
	for _, d := range u.BackInService {
		delete(s.until, d)
	}
	for _, d := range u.OutOfService {
		s.until[d] = time.Time{}
	}
	return missing(before, s.until), missing(s.until, before)
}

// begin makes all that is known wait for a confirmation when an era begins.
func (s *Set) begin(now time.Time, era uint64) {
	if s.read && era != s.era {
		for d := range s.until {
			s.until[d] = now.Add(confirmTime)
		}
	}
	s.read, s.era = true, era
}

// missing returns the sorted data centres that are in b and not in a.
func missing(a, b map[galenalatch.DataCentre]time.Time) []galenalatch.DataCentre {
	var only []galenalatch.DataCentre
	for _, d := range slices.Sorted(maps.Keys(b)) {
		if _, ok := a[d]; !ok {
			only = append(only, d)
		}
	}
	return only
}
