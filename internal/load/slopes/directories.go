package slopes

import (
	"context"
	"errors"
	"fmt"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/directory"
)

// directories measures what each router computes anew when the instance list
// or the catalogue has changed: the directory with the candidates of 162
// cells, with three servers for every two routers.
func directories(context.Context, *Measurement) ([]Point, error) {
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
		const times = 5
		before, began := live(), cpu()
		var d *directory.Directory
		for range times {
			d = directory.New(c, list)
			if len(d.AllCells()) == 0 || len(d.Candidates(d.AllCells()[0])) != n {
				return nil, errors.New("the directory lacks candidates")
			}
		}
		used := cpu() - began
		began = cpu()
		const limitChanges = 200
		for i := range limitChanges {
			next := c
			next.Entries = []galenalatch.Entry{limits(i, 1)}
			d = d.WithCatalogue(next)
			if len(d.Candidates(d.AllCells()[0])) != n {
				return nil, errors.New("the next directory lacks candidates")
			}
		}
		limited := cpu() - began
		points = append(points, Point{float64(n), map[string]float64{
			"cpu ms/change of limits": float64(limited.Microseconds()) / 1000 / limitChanges,
			"cells":                   float64(len(d.AllCells())), "cpu ms/change": float64(used.Microseconds()) / 1000 / times, "state B": live() - before,
		}})
		if d.Catalogue().Version != c.Version {
			return nil, errors.New("the directory has another catalogue")
		}
	}
	return points, nil
}
