package galenalatch

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"
)

// drawCatalogue returns a random catalogue. It uses few names, so that two
// catalogues have some items in common.
func drawCatalogue(t *rapid.T, label string) Catalogue {
	var c Catalogue
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 5, rapid.ID[int])
	cost := rapid.Int64Range(1, 3)
	for _, n := range names.Draw(t, label+" pools") {
		c.Pools = append(c.Pools, Pool{Name: PoolName(fmt.Sprint("p", n)), Kind: PlainPool,
			MaxCost: cost.Draw(t, "cost"), Models: []string{fmt.Sprint(cost.Draw(t, "model"))}})
	}
	for _, n := range names.Draw(t, label+" workspaces") {
		c.Workspaces = append(c.Workspaces, Workspace{Name: WorkspaceName(fmt.Sprint("w", n))})
		c.Entries = append(c.Entries, Entry{Workspace: WorkspaceName(fmt.Sprint("w", n)),
			Class: rapid.SampledFrom([]Class{Interactive, Batch}).Draw(t, "class"), Weight: cost.Draw(t, "weight")})
	}
	for _, n := range names.Draw(t, label+" out") {
		c = c.WithDataCentre(DataCentre(fmt.Sprint("d", n)), true).WithServer(ServerID(fmt.Sprint("s", n)), true)
	}
	c.DefaultLimits.Weight = cost.Draw(t, "default")
	c.Version = Version(cost.Draw(t, "version"))
	return c
}

// TestDiffWithChange guards against a difference that, once applied, loses,
// keeps or reorders an item, and against WithChange modifying its receiver.
func TestDiffWithChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawCatalogue(t, "from"), drawCatalogue(t, "to")
		before, err := json.Marshal(from)
		assert.NilError(t, err)
		got := from.WithChange(Diff(from, to))
		// A change without content only sorts the lists.
		assert.DeepEqual(t, got, to.WithChange(Change{Version: to.Version}))
		after, err := json.Marshal(from)
		assert.NilError(t, err)
		assert.Equal(t, string(after), string(before))
	})
}

// TestDiffOfEqualCatalogues guards against a difference that lists unchanged
// items.
func TestDiffOfEqualCatalogues(t *testing.T) {
	c := Catalogue{Version: 4, Pools: []Pool{{Name: "p", Models: []string{"m"}}}, OutOfService: []DataCentre{"a"}}
	assert.Check(t, cmp.DeepEqual(Diff(c, c), Change{Version: 4}))
}

// TestChangeOfRouters guards against a change of the routers that loses the
// previous list, which the acceptance rule needs, and against a rollback that
// brings back an older list.
func TestChangeOfRouters(t *testing.T) {
	c := Catalogue{}.WithChange(Change{Version: 1, PutRouters: []RouterID{"b", "a"}})
	assert.DeepEqual(t, c.Routers, []RouterID{"a", "b"})
	next := c.WithChange(Change{Version: 2, PutRouters: []RouterID{"c"}, RemoveRouters: []RouterID{"a"}})
	next = next.WithChange(Change{Version: 3, PutOut: []DataCentre{"d"}})
	assert.DeepEqual(t, next.Routers, []RouterID{"b", "c"})
	assert.DeepEqual(t, next.PreviousRouters, []RouterID{"a", "b"})
	back := Diff(next, c)
	assert.Equal(t, len(back.PutRouters)+len(back.RemoveRouters), 0)
}
