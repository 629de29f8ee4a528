package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/client"
)

// settleTime is the wait between a change of the fleet and its observation, in
// which leases and instance lists follow the change.
const settleTime = 3 * time.Second

// measureSizes starts a fleet with the number of routers, and observes it at each
// size after grow has brought it to that size.
func measureSizes(ctx context.Context, m *Measurement, routers int, sizes []int, grow func(*fleet, int) error) (points []Point, err error) {
	f, err := newFleet(ctx, routers)
	if err != nil {
		return nil, err
	}
	defer func() {
		if e := f.close(); err == nil {
			err = e
		}
	}()
	for _, n := range sizes {
		if err := grow(f, n); err != nil {
			return nil, fmt.Errorf("growing to %d: %w", n, err)
		}
		if err := sleep(ctx, settleTime); err != nil {
			return nil, err
		}
		v, err := f.observe(m.window, true)
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(n), v})
	}
	return points, nil
}

// measureRouters measures idle routers without backend servers. All values except
// the numbers of calls to the platform are per router, since the connections of
// one router grow with the number of routers.
func measureRouters(ctx context.Context, m *Measurement) ([]Point, error) {
	points, err := measureSizes(ctx, m, 4, []int{4, 8, 16, 32}, (*fleet).addRouters)
	for _, p := range points {
		for _, k := range []string{"state B", "cpu ms/s", "peer B/s", "messages/s", "platform B/s", "connections"} {
			p.Values[k+" of one"] = p.Values[k] / p.X
			delete(p.Values, k)
		}
	}
	return points, err
}

// measureCells measures idle cells with one backend server each.
func measureCells(ctx context.Context, m *Measurement) ([]Point, error) {
	return measureSizes(ctx, m, 4, []int{4, 8, 16, 32}, func(f *fleet, n int) error {
		for i := len(f.engines); i < n; i++ {
			if err := f.addServer(poolName(i/len(dataCentres)), dataCentres[i%len(dataCentres)]); err != nil {
				return err
			}
		}
		return f.waitCells(n)
	})
}

// measureServers measures idle backend servers of one pool in four cells.
func measureServers(ctx context.Context, m *Measurement) ([]Point, error) {
	return measureSizes(ctx, m, 4, []int{4, 16, 32, 64}, func(f *fleet, n int) error {
		for i := len(f.engines); i < n; i++ {
			if err := f.addServer(poolName(0), dataCentres[i%len(dataCentres)]); err != nil {
				return err
			}
		}
		return f.waitCells(len(dataCentres))
	})
}

// newServingFleet returns a fleet of four routers with one backend server in each
// of four cells, which may grant.
func newServingFleet(ctx context.Context) (*fleet, error) {
	f, err := newFleet(ctx, 4)
	if err != nil {
		return nil, err
	}
	for _, dc := range dataCentres {
		if err == nil {
			err = f.addServer(poolName(0), dc)
		}
	}
	if err == nil {
		err = f.waitCells(len(dataCentres))
	}
	if err != nil {
		_ = f.close()
		return nil, err
	}
	return f, nil
}

// measureRequests measures short streamed requests at several rates, through the
// routers and directly to the backend servers. The difference of the processor
// times is that of the routers.
func measureRequests(ctx context.Context, m *Measurement) (points []Point, err error) {
	return measureLoad(ctx, m, []int{10, 20, 40, 80}, func(f *fleet, n int, direct bool) (*load, float64) {
		return f.startLoad(callSettings{rate: n, tokens: 4, direct: direct}), float64(n)
	})
}

// measureTokens measures streams of one token per 58 ms that run during the whole
// observation. There are fewer streams than the home cell can run, so that no
// slots are lent.
func measureTokens(ctx context.Context, m *Measurement) ([]Point, error) {
	return measureLoad(ctx, m, []int{12, 24, 36, 48}, func(f *fleet, n int, direct bool) (*load, float64) {
		return f.startLoad(callSettings{streams: n, tokens: 100_000, direct: direct}), float64(n) / tokenTime.Seconds()
	})
}

// measureLoad observes a serving fleet at each size under the load that start
// begins, through the routers and directly to the backend servers. The second
// result of start is the x of the point.
func measureLoad(ctx context.Context, m *Measurement, sizes []int, start func(*fleet, int, bool) (*load, float64)) (points []Point, err error) {
	f, err := newServingFleet(ctx)
	if err != nil {
		return nil, err
	}
	defer func() {
		if e := f.close(); err == nil {
			err = e
		}
	}()
	for _, n := range sizes {
		p := Point{Values: make(map[string]float64)}
		for _, direct := range []bool{false, true} {
			l, x := start(f, n, direct)
			p.X = x
			if err := l.waitStarted(ctx); err != nil {
				return nil, err
			}
			v, err := f.observe(m.window, false)
			if err != nil {
				return nil, err
			}
			if err := l.stop(); err != nil {
				return nil, err
			}
			if direct {
				p.Values["direct cpu ms/s"] = v["cpu ms/s"]
				p.Values["router cpu ms/s"] = p.Values["cpu ms/s"] - v["cpu ms/s"]
				continue
			}
			delete(v, "server B/s")
			for k, y := range v {
				p.Values[k] = y
			}
		}
		points = append(points, p)
	}
	return points, nil
}

// measureChanges measures changes of one entry of the catalogue at several rates.
func measureChanges(ctx context.Context, m *Measurement) (points []Point, err error) {
	f, err := newServingFleet(ctx)
	if err != nil {
		return nil, err
	}
	defer func() {
		if e := f.close(); err == nil {
			err = e
		}
	}()
	for _, n := range []int{1, 2, 3, 4} {
		o := &operator{client: client.New(f.routers[0].operator, f.token), rate: n, done: make(chan struct{})}
		work, cancel := context.WithCancel(ctx)
		go o.run(work)
		v, err := f.observe(m.window, false)
		cancel()
		<-o.done
		if err == nil {
			err = o.err
		}
		if err != nil {
			return nil, err
		}
		v["ms until accepted"] = o.acceptTime.Seconds() * 1000 / float64(max(1, o.changes))
		points = append(points, Point{float64(o.changes) / m.window.Seconds(), v})
	}
	return points, nil
}

// operator changes the catalogue at a rate per second.
type operator struct {
	client     *client.Client
	rate       int
	changes    int
	acceptTime time.Duration
	done       chan struct{}
	err        error
}

func (o *operator) run(ctx context.Context) {
	defer close(o.done)
	c, err := o.client.Catalogue(ctx)
	if err != nil {
		o.err = err
		return
	}
	tick := time.NewTicker(time.Second / time.Duration(o.rate))
	defer tick.Stop()
	for base := c.Version; ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		began := time.Now()
		r, err := o.client.Apply(ctx, base, galenalatch.Change{
			ID: fmt.Sprintf("%d-%d", o.rate, base), Author: "measure", PutEntries: []galenalatch.Entry{limitsEntry(0, int(base%100)+1)},
		})
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			o.err = err
			return
		}
		o.acceptTime += time.Since(began)
		o.changes++
		base = r.Version
	}
}
