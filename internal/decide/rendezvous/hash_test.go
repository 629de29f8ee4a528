package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an order of the remaining candidates that changes when one is
// removed.
func TestRankStableUnderRemoval(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		key := fmt.Sprint("key", i)
		ranked := Hash{}.Rank(key, all)
		less := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == ranked[0] })
		assert.DeepEqual(t, Hash{}.Rank(key, less), ranked[1:])
	}
}

// Guards against a candidate that is ranked first for many more keys than the
// others.
func TestRankEvenShares(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	count := map[string]int{}
	for i := range 4000 {
		count[Hash{}.Rank(fmt.Sprint("key", i), all)[0]]++
	}
	for _, c := range all {
		assert.Assert(t, count[c] > 850 && count[c] < 1150, "%s: %d", c, count[c])
	}
}
