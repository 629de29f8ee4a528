package slopes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
	"github.com/galenalatch/galenalatch/internal/platform/leases"
	"github.com/galenalatch/galenalatch/internal/platform/table"
	"github.com/galenalatch/galenalatch/internal/standin/platform"
)

// measureLeaseRows measures the bytes that a router exchanges with the platform
// to follow the lease rows of cells whose ninth candidate it is, in a fleet of 4
// and of 400 routers. All sizes run at the same time, since the time between two
// reads is up to 10 s.
func measureLeaseRows(ctx context.Context, m *Measurement) ([]Point, error) {
	sizes := []int{25, 50, 100, 200}
	points := make([]Point, len(sizes))
	errs := make(chan error, 2*len(sizes))
	var mu sync.Mutex
	for i, n := range sizes {
		points[i] = Point{float64(n), make(map[string]float64)}
		for _, fleet := range []int{4, 400} {
			go func() {
				v, err := leaseRowTraffic(ctx, n, fleet, 5*m.window)
				mu.Lock()
				points[i].Values[fmt.Sprintf("platform B/s of one of %d", fleet)] = v
				mu.Unlock()
				errs <- err
			}()
		}
	}
	for range cap(errs) {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	return points, nil
}

// leaseRowTraffic returns the bytes per second that one router exchanges with
// the platform to follow n leases that another router holds.
func leaseRowTraffic(ctx context.Context, n, fleet int, window time.Duration) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := platform.New()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	listener := &countingListener{Listener: l}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(listener) }()

	// The holder's calls bypass the listener, so that they are not counted.
	direct, err := httpclient.New("http://platform.invalid", httpclient.WithTransport(s.Transport()))
	if err != nil {
		return 0, err
	}
	remote, err := httpclient.New("http://" + l.Addr().String())
	if err != nil {
		return 0, err
	}
	holder := leases.New(table.New(direct), "router-000", "start")
	watcher := leases.New(table.New(remote), "router-001", "start")
	holder.SetCells(cellsOfRank(n, 0))
	watcher.SetCells(cellsOfRank(n, 8))
	watcher.SetRouterCount(fleet)
	go func() { _ = holder.Run(ctx) }()
	go func() { _ = watcher.Run(ctx) }()
	if err := sleep(ctx, settleTime); err != nil {
		return 0, err
	}
	before := listener.bytes.Load()
	if err := sleep(ctx, window); err != nil {
		return 0, err
	}
	return float64(listener.bytes.Load()-before) / window.Seconds(), nil
}

// cellsOfRank returns n cells, all with the same rank.
func cellsOfRank(n, rank int) map[galenalatch.CellID]int {
	ranks := make(map[galenalatch.CellID]int)
	for i := range n {
		ranks[galenalatch.CellID{Pool: poolName(i % 27), DataCentre: dataCentres[i%len(dataCentres)], Index: i}] = rank
	}
	return ranks
}

// sleep waits for d, or returns the error of ctx if it ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
