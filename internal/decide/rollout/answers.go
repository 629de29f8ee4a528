// Package rollout decides how the traffic of a service moves to a new version of its
// servers: which share of its requests a router may send to the version, whether the
// version is worse than the old one, and when the next step is due.
//
// It answers releases of versions that fail or slow down, at once, later, under load or
// on one route, while other faults of servers, routers and the store hit both versions.
// The package reads no clock: all times are passed in.
package rollout

import (
	"math"
	"slices"
)

const (
	// buckets is the number of buckets of a Histogram, and bucketsPerDoubling how many
	// of them a doubling of the time spans. The first one ends near half the expected
	// time.
	buckets            = 12
	bucketsPerDoubling = 2
	firstBucket        = 2
)

// Histogram counts times as multiples of the expected time.
type Histogram [buckets]uint32

// Add counts a time that is ratio times the expected one.
func (h *Histogram) Add(ratio float64) {
	if !(ratio > 0) {
		h[0]++
		return
	}
	i := math.Round(bucketsPerDoubling*math.Log2(ratio)) + firstBucket
	h[int(min(max(i, 0), buckets-1))]++
}

// Trimmed returns the counts without the last zeros, for messages.
func (h Histogram) Trimmed() []uint32 {
	n := buckets
	for n > 0 && h[n-1] == 0 {
		n--
	}
	return slices.Clone(h[:n])
}

// Untrimmed returns the histogram with these counts.
func Untrimmed(counts []uint32) (h Histogram) {
	copy(h[:], counts)
	return h
}

// from returns the number of times in the buckets from i on, and that of all.
func (h Histogram) from(i int) (slow, all float64) {
	for j, n := range h {
		all += float64(n)
		if j >= i {
			slow += float64(n)
		}
	}
	return slow, all
}

func (h *Histogram) add(o Histogram) {
	for i, n := range o {
		h[i] += n
	}
}

// Answers counts the answers of one version on one route.
type Answers struct {
	Good, Bad uint32
	// First holds the times to the first byte, Pace those between the events of a
	// stream.
	First, Pace Histogram
}

func (h *Histogram) subtract(o Histogram) {
	for i, n := range o {
		h[i] -= min(n, h[i])
	}
}

// minus returns the difference. Counts that have fallen, because a router has ended, give 0.
func (a Answers) minus(b Answers) Answers {
	a.Good -= min(b.Good, a.Good)
	a.Bad -= min(b.Bad, a.Bad)
	a.First.subtract(b.First)
	a.Pace.subtract(b.Pace)
	return a
}

// Plus returns the sum.
func (a Answers) Plus(b Answers) Answers {
	a.Good += b.Good
	a.Bad += b.Bad
	a.First.add(b.First)
	a.Pace.add(b.Pace)
	return a
}

func (a Answers) count() float64 { return float64(a.Good) + float64(a.Bad) }

// Pair holds the answers of the old and of the new version on one route.
type Pair struct {
	Old, New Answers
}

// Evidence holds the answers of both versions by a hash of the route's name.
type Evidence map[uint32]Pair

// Add adds other evidence.
func (e Evidence) Add(o Evidence) {
	for route, p := range o {
		sum := e[route]
		sum.Old = sum.Old.Plus(p.Old)
		sum.New = sum.New.Plus(p.New)
		e[route] = sum
	}
}

// minus returns the evidence without other evidence.
func (e Evidence) minus(o Evidence) Evidence {
	rest := make(Evidence, len(e))
	for route, p := range e {
		rest[route] = Pair{Old: p.Old.minus(o[route].Old), New: p.New.minus(o[route].New)}
	}
	return rest
}

// newAnswers returns the number of answers of the new version.
func (e Evidence) newAnswers() float64 {
	n := 0.0
	for _, p := range e {
		n += p.New.count()
	}
	return n
}
