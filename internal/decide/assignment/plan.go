// Package assignment decides which version of a service's servers begins a stream.
//
// What servers of two versions write does not fit together: a stream goes on only at the
// version that began it. Any router must know that version, also after a restart of all of
// them. So it is not remembered but worked out. A plan in the store assigns a version to
// each of a fixed number of slots, and the id of a stream tells its slot.
//
// Each change of the plan is an edition. After it, streams of the slots that it moved may
// still be left at the version before. Until none is, the version of a stream in such a
// slot is unknown. The package reads no clock: all times are passed in.
package assignment

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
)

// slotCount is the number of slots of a plan.
const slotCount = 64

// lateWrite is how long after it was made a write of a plan may take effect.
const lateWrite = 5 * time.Second

// Plan assigns versions to slots. Its zero value assigns none. Plans are not changed.
type Plan struct {
	// Edition counts the changes of the plan, starting at 1.
	Edition uint64
	slots   [slotCount]slot
}

// slot is the assignment of one slot.
type slot struct {
	version string
	// at is the time at which the version was assigned, by the store's clock.
	at time.Duration
	// settled is set if no stream of the slot is left at another version.
	settled bool
}

// Slots is a set of slots, with a bit for each.
type Slots uint64

func (s Slots) has(i int) bool { return s&(1<<i) != 0 }

// SlotOf returns the set with the slot of a stream.
func SlotOf(id galenalatch.RequestID) Slots { return 1 << slotOf(id) }

// Knowledge is what a router knows of the streams that are left.
type Knowledge struct {
	// Settled are slots of which the routers have told that no stream is left at another
	// version.
	Settled Slots
	// Clock is a time that the store's clock has passed.
	Clock time.Duration
	// Life is the longest time from the first event of a stream to the last attempt to
	// resume it.
	Life time.Duration
}

// slotOf returns the slot of a stream.
func slotOf(id galenalatch.RequestID) int {
	return int(xxhash.Sum64String("stream\x00"+string(id)) % slotCount)
}

// Version returns the version that begins a stream now.
func (p Plan) Version(id galenalatch.RequestID) string {
	return p.slots[slotOf(id)].version
}

// Began returns the version that has begun a stream. It reports false if that is unknown.
// An empty id is that of a stream whose caller did not tell it.
func (p Plan) Began(id galenalatch.RequestID, k Knowledge) (string, bool) {
	if p.Edition == 0 {
		return "", false
	}
	if id != "" {
		i := slotOf(id)
		return p.slots[i].version, p.settled(i, k)
	}
	first := p.slots[0].version
	for i, s := range p.slots {
		if s.version != first || !p.settled(i, k) {
			return "", false
		}
	}
	return first, true
}

// settled reports whether no stream of a slot is left at another version.
func (p Plan) settled(i int, k Knowledge) bool {
	s := p.slots[i]
	return s.settled || k.Settled.has(i) || k.Clock > s.at+lateWrite+k.Life
}

// Unsettled returns the slots of which the plan does not tell that they are settled.
func (p Plan) Unsettled() Slots {
	var unsettled Slots
	for i, s := range p.slots {
		if !s.settled {
			unsettled |= 1 << i
		}
	}
	return unsettled
}

// SameAs returns the slots that have the same assignment as in another plan.
func (p Plan) SameAs(o Plan) Slots {
	var same Slots
	for i, s := range p.slots {
		if s.version == o.slots[i].version && s.at == o.slots[i].at {
			same |= 1 << i
		}
	}
	return same
}

// Count returns the number of slots in the set.
func (s Slots) Count() int { return bits.OnesCount64(uint64(s)) }

// WithSettled returns the plan of the next edition, in which slots are settled.
func (p Plan) WithSettled(settled Slots) Plan {
	p.Edition++
	for i := range p.slots {
		p.slots[i].settled = p.slots[i].settled || settled.has(i)
	}
	return p
}

// WithEditionAfter returns the plan as the first edition after another one, for a store that
// has lost it.
func (p Plan) WithEditionAfter(edition uint64) Plan {
	p.Edition = max(p.Edition, edition) + 1
	return p
}

// String returns the number of slots of each version for log lines, sorted by version.
func (p Plan) String() string {
	counts := p.counts()
	parts := make([]string, 0, len(counts))
	for _, v := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%d", v, counts[v]))
	}
	return strings.Join(parts, ",")
}
