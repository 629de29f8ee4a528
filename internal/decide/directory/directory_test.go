package directory

import (
	"fmt"
	"testing"

	"github.com/galenalatch/galenalatch"
	"gotest.tools/v3/assert"
)

func fleet(cellsPerDataCentre int) (galenalatch.Catalogue, []galenalatch.Instance) {
	c := galenalatch.Catalogue{Pools: []galenalatch.Pool{{Name: "plans", Kind: galenalatch.ModelPool, CellsPerDataCentre: cellsPerDataCentre}}}
	var list []galenalatch.Instance
	for i, dc := range []galenalatch.DataCentre{"a", "b", "c", "d"} {
		for j := range 3 {
			list = append(list,
				galenalatch.Instance{ID: fmt.Sprint("w", i, j), Role: galenalatch.ServerRole, DataCentre: dc, Pool: "plans"},
				galenalatch.Instance{ID: fmt.Sprint("r", i, j), Role: galenalatch.RouterRole, DataCentre: dc})
		}
	}
	return c, list
}

// TestEveryServerInOneCell guards against a server that belongs to no cell
// or to two.
func TestEveryServerInOneCell(t *testing.T) {
	for _, n := range []int{1, 2, 5} {
		c, list := fleet(n)
		d := New(c, list)
		assert.Equal(t, len(d.Cells("plans")), 4*n)
		seen := map[string]int{}
		for _, id := range d.AllCells() {
			for _, s := range d.Servers(id) {
				seen[s.ID]++
				assert.Equal(t, s.DataCentre, id.DataCentre)
			}
		}
		assert.Equal(t, len(seen), 12)
		for s, k := range seen {
			assert.Equal(t, k, 1, s)
		}
	}
}

// TestOutOfServiceComesLast guards against homes and lease candidates in a
// data centre that an operator has taken out of service.
func TestOutOfServiceComesLast(t *testing.T) {
	c, list := fleet(1)
	d := New(c.WithDataCentre("b", true), list)
	for i := range 50 {
		homes := d.HomeCells(galenalatch.WorkspaceName(fmt.Sprint("w", i)), "plans")
		assert.Equal(t, len(homes), 4)
		assert.Equal(t, homes[3].DataCentre, galenalatch.DataCentre("b"))
	}
	cell := galenalatch.CellID{Pool: "plans", DataCentre: "b"}
	ranked := d.LeaseCandidates(cell)
	assert.Equal(t, len(ranked), 12)
	for _, r := range ranked[9:] {
		assert.Equal(t, string(r[:2]), "r1")
	}
	assert.Equal(t, string(New(c, list).LeaseCandidates(cell)[0][:2]), "r1")
}

// TestFirstCandidatesSpread guards against routers that are the first
// candidate for several cells while others are for none.
func TestFirstCandidatesSpread(t *testing.T) {
	c, list := fleet(3)
	d := New(c, list)
	first := map[galenalatch.RouterID]int{}
	for _, id := range d.AllCells() {
		first[d.LeaseCandidates(id)[0]]++
	}
	assert.Equal(t, len(first), 12)
	for r, n := range first {
		assert.Equal(t, n, 1, r)
	}
}

// TestWithCatalogue guards against candidates or cells that are kept from an
// old catalogue although the new one differs.
func TestWithCatalogue(t *testing.T) {
	list := []galenalatch.Instance{
		{ID: "r1", Role: galenalatch.RouterRole, DataCentre: "a"}, {ID: "r2", Role: galenalatch.RouterRole, DataCentre: "b"},
		{ID: "s1", Role: galenalatch.ServerRole, DataCentre: "a", Pool: "p"}, {ID: "s2", Role: galenalatch.ServerRole, DataCentre: "b", Pool: "p"},
	}
	c := galenalatch.Catalogue{Version: 1, Pools: []galenalatch.Pool{{Name: "p", CellsPerDataCentre: 1}}}
	d := New(c, list)
	for _, next := range []galenalatch.Catalogue{
		{Version: 2, Pools: c.Pools, Entries: []galenalatch.Entry{{Workspace: "w"}}},
		{Version: 3, Pools: c.Pools, OutOfService: []galenalatch.DataCentre{"a"}},
		{Version: 4, Pools: []galenalatch.Pool{{Name: "p", CellsPerDataCentre: 2}}},
		{Version: 5},
		c,
	} {
		d = d.WithCatalogue(next)
		want := New(next, list)
		assert.Equal(t, d.Catalogue().Version, next.Version)
		assert.DeepEqual(t, d.AllCells(), want.AllCells())
		for _, id := range want.AllCells() {
			assert.DeepEqual(t, d.LeaseCandidates(id), want.LeaseCandidates(id))
			assert.DeepEqual(t, d.Servers(id), want.Servers(id))
		}
		assert.DeepEqual(t, d.HomeCells("w", "p"), want.HomeCells("w", "p"))
	}
}

// TestCandidatesOfOtherDataCentresComeEarly guards against a takeover that
// waits for every router of a lost data centre in turn.
func TestCandidatesOfOtherDataCentresComeEarly(t *testing.T) {
	c := galenalatch.Catalogue{Pools: []galenalatch.Pool{{Name: "plans", Kind: galenalatch.ModelPool, CellsPerDataCentre: 5}}}
	var list []galenalatch.Instance
	for i := range 400 {
		dc := galenalatch.DataCentre(fmt.Sprint("d", i%6))
		list = append(list,
			galenalatch.Instance{ID: fmt.Sprint("w", i), Role: galenalatch.ServerRole, DataCentre: dc, Pool: "plans"},
			galenalatch.Instance{ID: fmt.Sprint("r", i), Role: galenalatch.RouterRole, DataCentre: dc})
	}
	d := New(c, list)
	dataCentres := map[galenalatch.RouterID]galenalatch.DataCentre{}
	for _, in := range list {
		dataCentres[galenalatch.RouterID(in.ID)] = in.DataCentre
	}
	for _, id := range d.AllCells() {
		ranked := d.LeaseCandidates(id)
		assert.Equal(t, len(ranked), 400)
		other := 0
		for dataCentres[ranked[other]] == id.DataCentre {
			other++
		}
		// Of the 7 s that a takeover after the loss of a data centre may take,
		// 2 s are left for the ranks, at 200 ms each.
		assert.Assert(t, other >= 2 && other <= 10, "%d", other)
	}
}
