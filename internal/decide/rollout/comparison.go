package rollout

import (
	"fmt"
	"math"
)

// comparison compares the shares of answers with a fault, of the new version and of the old
// one, over several groups of answers. Each group has its own share of the old version:
// the versions may have different parts of the groups.
type comparison struct {
	fault string
	// faults of count answers of the new version have the fault; expected of them would
	// with the shares of the old version, of which there are oldCount answers.
	faults, count, expected, oldCount float64
	variance                          float64
	// smallest is the difference from which on the comparison counts.
	smallest float64
}

// add adds a group.
func (c *comparison) add(newFaults, newCount, oldFaults, oldCount, smallest float64) {
	if newCount == 0 || oldCount < minGroup {
		return
	}
	// Half a fault more keeps the share from being 0.
	share := (newFaults + oldFaults + 0.5) / (newCount + oldCount + 1)
	c.faults += newFaults
	c.count += newCount
	c.expected += newCount * oldFaults / oldCount
	c.oldCount += oldCount
	c.variance += newCount * share * (1 - share) * (1 + newCount/oldCount)
	c.smallest = max(c.smallest, smallest)
}

// addSlow adds the answers above the first limit that no more than a share of the old
// version's answers exceed.
func (c *comparison) addSlow(share float64, current, old Histogram, smallest float64) {
	for limit := 1; limit+slowTolerance < buckets; limit++ {
		oldSlow, oldAll := old.from(limit)
		if oldSlow > share*oldAll {
			continue
		}
		newSlow, newAll := current.from(limit + slowTolerance)
		c.add(newSlow, newAll, oldSlow, oldAll, smallest)
		return
	}
}

// deviation returns the difference in standard deviations.
func (c comparison) deviation() float64 {
	if c.variance == 0 {
		return 0
	}
	return (c.faults - c.expected) / math.Sqrt(c.variance)
}

// difference returns by how much the share of the new version is larger.
func (c comparison) difference() float64 {
	if c.count == 0 {
		return 0
	}
	return (c.faults - c.expected) / c.count
}

// chance returns the probability that so many or more of the new version's answers have
// the fault if its share is that of the old version.
func (c comparison) chance() float64 {
	share := min(max(c.expected/c.count, 0.5/c.oldCount), 0.999)
	term := math.Pow(1-share, c.count)
	fewer := 0.0
	for k := range int(c.faults) {
		fewer += term
		term *= (c.count - float64(k)) / float64(k+1) * share / (1 - share)
	}
	return 1 - fewer
}

// exceeds reports whether the difference is larger than chance explains: by standard
// deviations, and by its probability where there are few answers.
func (c comparison) exceeds(deviation, chance, faults float64) bool {
	if c.difference() < c.smallest || c.faults < faults || c.deviation() < deviation {
		return false
	}
	return c.count > maxExact || c.chance() < chance
}

func (c comparison) bad() bool {
	return c.exceeds(badDeviation, badChance, minBadAnswers)
}

func (c comparison) doubtful(later bool) bool {
	if later {
		return c.exceeds(laterDeviation, laterChance, minDoubtful)
	}
	return c.exceeds(doubtfulDeviation, doubtfulChance, minDoubtful)
}

// uncertain reports whether the difference may be larger than mostUncertain, by two
// standard deviations.
func (c comparison) uncertain() bool {
	if c.count == 0 {
		return false
	}
	share := c.faults / c.count
	return c.difference()+2*math.Sqrt(share*(1-share)/c.count) > mostUncertain
}

// String describes the comparison in logs.
func (c comparison) String() string {
	return fmt.Sprintf("%s %.0f of %.0f, expected %.1f by %.0f answers of the old version", c.fault, c.faults, c.count, c.expected, c.oldCount)
}

// comparisons holds those of one route, or of all.
type comparisons []*comparison

func newComparisons() comparisons {
	c := comparisons{{fault: "failed"}}
	for range slowShares {
		c = append(c, &comparison{fault: "late"}, &comparison{fault: "slow"})
	}
	return c
}

func (c comparisons) add(old, current Answers, smallest float64) {
	c[0].add(float64(current.Bad), current.count(), float64(old.Bad), old.count(), smallest)
	for i, share := range slowShares {
		c[1+2*i].addSlow(share, current.First, old.First, smallest)
		c[2+2*i].addSlow(share, current.Pace, old.Pace, smallest)
	}
}

// failures returns the comparison of failures.
func (c comparisons) failures() comparison { return *c[0] }

// verdict returns Bad if one of the comparisons shows it, and Unproved for a doubtful one.
func (c comparisons) verdict(later bool) (Verdict, string) {
	verdict, why := Sound, ""
	for _, one := range c {
		switch {
		case one.bad():
			return Bad, one.String()
		case one.doubtful(later):
			verdict, why = Unproved, "doubtful: "+one.String()
		}
	}
	return verdict, why
}
