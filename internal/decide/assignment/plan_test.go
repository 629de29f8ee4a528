package assignment

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

// drawWeights draws weights of up to four versions.
func drawWeights(t *rapid.T) Weights {
	w := make(Weights)
	for _, v := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"", "v1", "v2", "v3"}), 1, 4, rapid.ID[string]).Draw(t, "versions") {
		w[v] = float64(rapid.IntRange(0, 40).Draw(t, "weight"))
	}
	return w
}

// drawPlan draws a plan after some changes.
func drawPlan(t *rapid.T) Plan {
	p, ok := First(0, Weights{"v1": 1}, rapid.Bool().Draw(t, "settled"))
	assert.Assert(t, ok)
	for i := range rapid.IntRange(0, 5).Draw(t, "changes") {
		p = p.WithWeights(time.Duration(i)*time.Second, drawWeights(t))
		if rapid.Bool().Draw(t, "settle") {
			p = p.WithSettled(Slots(rapid.Uint64().Draw(t, "slots")))
		}
	}
	return p
}

// Guards against slots that do not add up, or versions with servers that get none.
func TestWeightedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWeights(t)
		slots, total, weight := w.slots(), 0, 0.0
		for v, n := range slots {
			total += n
			weight += w[v]
			assert.Assert(t, (n > 0) == (w[v] > 0), "%s has weight %g and %d slots", v, w[v], n)
		}
		if weight == 0 {
			assert.Equal(t, len(slots), 0)
		} else {
			assert.Equal(t, total, slotCount)
		}
	})
}

// Guards against a plan that moves slots between versions which both keep theirs, and
// against one that leaves slots at a version without servers.
func TestPlanMovesFewSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, w := drawPlan(t), drawWeights(t)
		next := p.WithWeights(time.Minute, w)
		wanted, before, after := w.slots(), p.counts(), next.counts()
		for i, s := range next.slots {
			if s != p.slots[i] {
				assert.Equal(t, s.at, time.Minute)
				assert.Assert(t, !s.settled)
				assert.Assert(t, before[p.slots[i].version] > wanted[p.slots[i].version], "a slot of %q moved", p.slots[i].version)
			}
		}
		if len(wanted) == 0 {
			assert.DeepEqual(t, after, before)
			return
		}
		for v, n := range after {
			assert.Equal(t, n, wanted[v], "%q", v)
		}
		assert.Equal(t, next.Imbalance(w), Balanced)
	})
}

// Guards against a version that is told although the slot has moved since, and against one
// that is unknown although no stream of the slot is left at another version.
func TestBegan(t *testing.T) {
	const life = 20 * time.Second
	first, _ := First(0, Weights{"v1": 1}, true)
	moved := first.WithWeights(time.Minute, Weights{"v2": 1})
	half := first.WithWeights(time.Minute, Weights{"v1": 1, "v2": 1})
	all := ^Slots(0)
	tests := []struct {
		name    string
		plan    Plan
		id      galenalatch.RequestID
		know    Knowledge
		version string
		known   bool
	}{
		{"no plan", Plan{}, "s", Knowledge{Settled: all, Clock: time.Hour}, "", false},
		{"first plan", first, "s", Knowledge{}, "v1", true},
		{"id not told", first, "", Knowledge{}, "v1", true},
		{"moved", moved, "s", Knowledge{Clock: time.Minute, Life: life}, "v2", false},
		{"moved, no older stream left", moved, "s", Knowledge{Settled: SlotOf("s"), Clock: time.Minute, Life: life}, "v2", true},
		{"moved, recorded in the plan", moved.WithSettled(SlotOf("s")), "s", Knowledge{Clock: time.Minute, Life: life}, "v2", true},
		{"moved long ago", moved, "s", Knowledge{Clock: time.Minute + life + lateWrite + 1, Life: life}, "v2", true},
		{"moved, id not told", moved, "", Knowledge{Clock: time.Minute, Life: life}, "", false},
		{"two versions, id not told", half, "", Knowledge{Settled: all, Life: life}, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			version, known := tt.plan.Began(tt.id, tt.know)
			assert.Equal(t, known, tt.known)
			if known {
				assert.Equal(t, version, tt.version)
			}
		})
	}
}

// Guards against slots that move whenever a server comes or goes, and against versions that
// keep far more or fewer than their servers can take.
func TestImbalance(t *testing.T) {
	p, _ := First(0, Weights{"v1": 6, "v2": 6}, true)
	tests := []struct {
		name      string
		weights   Weights
		imbalance Imbalance
	}{
		{"as planned", Weights{"v1": 6, "v2": 6}, Balanced},
		{"one server less", Weights{"v1": 5, "v2": 6}, Balanced},
		{"three servers less", Weights{"v1": 3, "v2": 6}, Slight},
		{"four servers less", Weights{"v1": 2, "v2": 6}, Large},
		{"a third version", Weights{"v1": 6, "v2": 6, "v3": 1}, Large},
		{"no server of a version", Weights{"v2": 6}, Stranded},
		{"no server at all", Weights{}, Balanced},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, p.Imbalance(tt.weights), tt.imbalance) })
	}
}

// Guards against a stored plan that another router reads differently.
func TestEncodedPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		b, err := p.Encode()
		assert.NilError(t, err)
		decoded, err := Decode(b)
		assert.NilError(t, err)
		assert.Equal(t, decoded, p)
	})
	for _, broken := range []string{
		"", "{}", `{"edition":1,"groups":[{"version":"a","slots":1}]}`,
		fmt.Sprintf(`{"edition":1,"groups":[{"version":"a","slots":%d},{"version":"b","slots":1}]}`, ^uint64(0)),
		fmt.Sprintf(`{"groups":[{"version":"a","slots":%d}]}`, ^uint64(0)),
	} {
		_, err := Decode([]byte(broken))
		assert.Assert(t, err != nil, broken)
	}
}

// Guards against a row of another writer that makes routers panic, or that they take for a
// plan in which a slot has no version.
func FuzzDecode(f *testing.F) {
	p, _ := First(time.Second, Weights{"v1": 3, "v2": 1}, true)
	b, err := p.Encode()
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := Decode(b)
		if err != nil {
			return
		}
		total := 0
		for _, n := range slices.Collect(maps.Values(p.counts())) {
			total += n
		}
		assert.Equal(t, total, slotCount)
		again, err := p.Encode()
		assert.NilError(t, err)
		_, err = Decode(again)
		assert.NilError(t, err)
	})
}
