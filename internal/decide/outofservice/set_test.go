package outofservice

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// step is an update, with names of data centres, and what it changes.
type step struct {
	after     time.Duration
	era       uint64
	complete  bool
	out, back string
	wantOut   string
	wantBack  string
}

func dataCentres(names string) (list []galenalatch.DataCentre) {
	for _, n := range strings.Fields(names) {
		list = append(list, galenalatch.DataCentre(n))
	}
	return list
}

// Guards against a data centre that returns to service because a copy of the store does
// not list it, also when a second copy follows, and against one that stays out of service
// although operators have returned it or never write it again.
func TestSet(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"changes of one era", []step{
			{complete: true, out: "b a", wantOut: "a b"},
			{back: "a", wantBack: "a"},
			{out: "b c", wantOut: "c"},
			{complete: true, out: "c", wantBack: "b"},
		}},
		{"listed by the copy", []step{
			{complete: true, out: "a", wantOut: "a"},
			{era: 1, complete: true, out: "a"},
			{after: confirmTime, era: 1},
			{era: 1, complete: true, wantBack: "a"},
		}},
		{"missing in the copy and written again", []step{
			{complete: true, out: "a", wantOut: "a"},
			{era: 1, complete: true},
			{after: 2 * time.Second, era: 1, out: "a"},
			{after: confirmTime, era: 1},
			{era: 1, back: "a", wantBack: "a"},
		}},
		{"missing in two copies", []step{
			{complete: true, out: "a", wantOut: "a"},
			{era: 1, complete: true},
			{after: confirmTime - 1, era: 2, complete: true},
			{after: confirmTime - 1, era: 2},
			{after: 1, era: 2, wantBack: "a"},
		}},
		{"missing in the copy and in a later list of the same era", []step{
			{complete: true, out: "a", wantOut: "a"},
			{era: 1, complete: true},
			{after: time.Second, era: 1, complete: true},
			{after: confirmTime, era: 1, complete: true, wantBack: "a"},
		}},
		{"returned after the loss", []step{
			{complete: true, out: "a", wantOut: "a"},
			{era: 1, complete: true},
			{era: 1, back: "a", wantBack: "a"},
		}},
		{"first list of a later era", []step{
			{era: 3, complete: true, out: "a", wantOut: "a"},
			{era: 3, complete: true, wantBack: "a"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Set
			now := time.Now()
			for i, x := range tt.steps {
				now = now.Add(x.after)
				u := galenalatch.OperatorUpdate{Complete: x.complete, OutOfService: dataCentres(x.out), BackInService: dataCentres(x.back)}
				u.Era = x.era
				out, back := s.Apply(now, u)
				assert.DeepEqual(t, out, dataCentres(x.wantOut))
				assert.DeepEqual(t, back, dataCentres(x.wantBack))
				assert.Assert(t, s.read, "step %d", i)
			}
		})
	}
}
