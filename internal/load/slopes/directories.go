package slopes

import (
	"context"
	"errors"
	"fmt"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/directory"
)

// measureDirectories measures what each router computes again when the instance
// list or the catalogue has changed: the directory with the candidates of 162
// cells, with three servers for every two routers.
func measureDirectories(context.Context, *Measurement) ([]Point, error) {
	var points []Point
	c := galenalatch.Catalogue{Pools: pools(27)}
	for _, n := range []int{50, 100, 200, 400} {
		var list []galenalatch.Instance
		for i := range n * 5 / 2 {
			in := galenalatch.Instance{
				ID: fmt.Sprintf("instance-%04d", i), Role: galenalatch.RouterRole,
				Address: "192.0.2.1:8000", DataCentre: galenalatch.DataCentre(fmt.Sprint("d", i%6)),
			}
			if i >= n {
				in.Role, in.Pool = galenalatch.ServerRole, poolName(i/6%27)
			}
			list = append(list, in)
		}
		const rebuilds = 5
		before, began := liveBytes(), cpuTime()
		var d *directory.Directory
		for range rebuilds {
			d = directory.New(c, list)
			if len(d.AllCells()) == 0 || len(d.LeaseCandidates(d.AllCells()[0])) != n {
				return nil, errors.New("the directory lacks candidates")
			}
		}
		rebuildTime := cpuTime() - began
		began = cpuTime()
		const limitChanges = 200
		for i := range limitChanges {
			next := c
			next.Entries = []galenalatch.Entry{limitsEntry(i, 1)}
			d = d.WithCatalogue(next)
			if len(d.LeaseCandidates(d.AllCells()[0])) != n {
				return nil, errors.New("the next directory lacks candidates")
			}
		}
		limitsTime := cpuTime() - began
		points = append(points, Point{float64(n), map[string]float64{
			"cpu ms/change of limits": float64(limitsTime.Microseconds()) / 1000 / limitChanges,
			"cells":                   float64(len(d.AllCells())), "cpu ms/change": float64(rebuildTime.Microseconds()) / 1000 / rebuilds, "state B": liveBytes() - before,
		}})
		if d.Catalogue().Version != c.Version {
			return nil, errors.New("the directory has another catalogue")
		}
	}
	return points, nil
}
