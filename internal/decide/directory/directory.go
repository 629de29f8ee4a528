// Package directory derives the cells of the fleet from the catalogue and the
// instance list. Every router computes the same result from the same input,
// so no message is needed to agree on it.
package directory

import (
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/rendezvous"
)

// Directory is an immutable view of routers, backend servers and cells.
type Directory struct {
	catalogue galenalatch.Catalogue
	list      []galenalatch.Instance
	routers   []galenalatch.Instance
	cells     map[galenalatch.PoolName][]galenalatch.CellID
	servers   map[galenalatch.CellID][]galenalatch.Instance
	out       map[galenalatch.DataCentre]bool
	all       []galenalatch.CellID

	ranking *ranking
}

// ranking holds the candidates. They are computed when they are first needed,
// and shared by directories for which they are the same.
type ranking struct {
	once       sync.Once
	candidates map[galenalatch.CellID][]galenalatch.RouterID
}

// WithCatalogue returns the directory for the same instances and another
// catalogue. When the catalogue has the same cells and data centres in
// service, nothing is derived anew: with 400 routers that takes 80 ms, and
// most changes concern workspaces.
func (d *Directory) WithCatalogue(c galenalatch.Catalogue) *Directory {
	same := slices.EqualFunc(c.Pools, d.catalogue.Pools, func(a, b galenalatch.Pool) bool {
		return a.Name == b.Name && a.CellsPerDataCentre == b.CellsPerDataCentre
	})
	if !same || !slices.Equal(c.OutOfService, d.catalogue.OutOfService) {
		return New(c, d.list)
	}
	next := *d
	next.catalogue = c
	return &next
}

// New derives the directory. Servers of unknown pools are left out.
func New(c galenalatch.Catalogue, list []galenalatch.Instance) *Directory {
	d := &Directory{
		catalogue: c,
		list:      list,
		ranking:   &ranking{},
		cells:     make(map[galenalatch.PoolName][]galenalatch.CellID),
		servers:   make(map[galenalatch.CellID][]galenalatch.Instance),
		out:       make(map[galenalatch.DataCentre]bool),
	}
	for _, dc := range c.OutOfService {
		d.out[dc] = true
	}
	pools := make(map[galenalatch.PoolName]galenalatch.Pool, len(c.Pools))
	for _, p := range c.Pools {
		pools[p.Name] = p
	}
	for _, in := range list {
		if in.Role == galenalatch.RouterRole {
			d.routers = append(d.routers, in)
			continue
		}
		if p, ok := pools[in.Pool]; ok {
			d.addServer(p, in)
		}
	}
	for p, ids := range d.cells {
		d.cells[p] = sortedCells(ids)
	}
	for _, p := range slices.Sorted(maps.Keys(d.cells)) {
		d.all = append(d.all, d.cells[p]...)
	}
	return d
}

func (d *Directory) addServer(p galenalatch.Pool, in galenalatch.Instance) {
	n := max(1, p.CellsPerDataCentre)
	first := galenalatch.CellID{Pool: p.Name, DataCentre: in.DataCentre}
	if !slices.Contains(d.cells[p.Name], first) {
		for i := range n {
			c := first
			c.Index = i
			d.cells[p.Name] = append(d.cells[p.Name], c)
		}
	}
	indexes := make([]string, n)
	for i := range n {
		indexes[i] = strconv.Itoa(i)
	}
	i, _ := strconv.Atoi(rendezvous.Hash{Seed: "servers"}.Rank(in.ID, indexes)[0])
	cell := first
	cell.Index = i
	d.servers[cell] = append(d.servers[cell], in)
}

func sortedCells(ids []galenalatch.CellID) []galenalatch.CellID {
	names := make(map[string]galenalatch.CellID, len(ids))
	for _, c := range ids {
		names[c.String()] = c
	}
	sorted := make([]galenalatch.CellID, 0, len(ids))
	for _, n := range slices.Sorted(maps.Keys(names)) {
		sorted = append(sorted, names[n])
	}
	return sorted
}

// Catalogue returns the catalogue from which the directory was derived.
func (d *Directory) Catalogue() galenalatch.Catalogue {
	return d.catalogue
}

// Routers returns the listed routers.
func (d *Directory) Routers() []galenalatch.Instance {
	return d.routers
}

// Cells returns the cells of a pool in a fixed order.
func (d *Directory) Cells(p galenalatch.PoolName) []galenalatch.CellID {
	return d.cells[p]
}

// AllCells returns the cells of all pools. The list must not be changed.
func (d *Directory) AllCells() []galenalatch.CellID {
	return d.all
}

// Servers returns the backend servers of a cell.
func (d *Directory) Servers(c galenalatch.CellID) []galenalatch.Instance {
	return d.servers[c]
}

// Homes returns the cells of a pool in the order in which the workspace
// prefers them as its home. Cells in data centres that are out of service
// come last, so that they are used only when no other cell is left.
func (d *Directory) Homes(w galenalatch.WorkspaceName, p galenalatch.PoolName) []galenalatch.CellID {
	names := make([]string, 0, len(d.cells[p]))
	byName := make(map[string]galenalatch.CellID, len(d.cells[p]))
	for _, c := range d.cells[p] {
		names = append(names, c.String())
		byName[c.String()] = c
	}
	ranked := make([]galenalatch.CellID, 0, len(names))
	var last []galenalatch.CellID
	for _, n := range (rendezvous.Hash{Seed: "homes"}).Rank(string(w), names) {
		c := byName[n]
		if d.out[c.DataCentre] {
			last = append(last, c)
			continue
		}
		ranked = append(ranked, c)
	}
	return append(ranked, last...)
}

// nearCandidates is the number of candidates of the cell's own data centre
// that come before those of others. Two cover the loss of one router; with
// more, the loss of the data centre would delay the takeover by 200 ms for
// each of its routers.
const nearCandidates = 2

// Candidates returns the routers in the order in which they try to take the
// lease of a cell. The first one is chosen so that the cells spread evenly.
// Two routers of the cell's data centre come first, then all others in the
// order of their hash; leaving routers and routers in data centres that are
// out of service come last.
func (d *Directory) Candidates(c galenalatch.CellID) []galenalatch.RouterID {
	d.ranking.once.Do(d.assign)
	return d.ranking.candidates[c]
}

// assign computes the candidates of all cells. For each cell in turn, the
// router of the best group that is first for the fewest cells so far becomes
// the first candidate.
func (d *Directory) assign() {
	d.ranking.candidates = make(map[galenalatch.CellID][]galenalatch.RouterID)
	first := make(map[galenalatch.RouterID]int)
	for _, c := range d.AllCells() {
		near, usable, last := d.groups(c)
		for _, g := range [][]galenalatch.RouterID{near, usable, last} {
			if len(g) == 0 {
				continue
			}
			least := slices.MinFunc(g, func(a, b galenalatch.RouterID) int { return first[a] - first[b] })
			first[least]++
			i := slices.Index(g, least)
			copy(g[1:i+1], g[:i])
			g[0] = least
			break
		}
		near = near[:min(nearCandidates, len(near))]
		others := slices.DeleteFunc(usable, func(r galenalatch.RouterID) bool { return slices.Contains(near, r) })
		d.ranking.candidates[c] = slices.Concat(near, others, last)
	}
}

// groups returns the usable routers of the cell's data centre, all usable
// routers, and those that should not take the lease, each in the order of
// the hash.
func (d *Directory) groups(c galenalatch.CellID) (near, usable, last []galenalatch.RouterID) {
	byName := make(map[string]galenalatch.Instance, len(d.routers))
	names := make([]string, 0, len(d.routers))
	for _, r := range d.routers {
		byName[r.ID] = r
		names = append(names, r.ID)
	}
	for _, n := range (rendezvous.Hash{Seed: "leases"}).Rank(c.String(), names) {
		r, id := byName[n], galenalatch.RouterID(n)
		if r.Leaving || d.out[r.DataCentre] {
			last = append(last, id)
			continue
		}
		usable = append(usable, id)
		if r.DataCentre == c.DataCentre {
			near = append(near, id)
		}
	}
	return near, usable, last
}
