package slopes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/peer/link"
)

// measureConnections measures the connections of one router to others that send
// nothing but heartbeats. State and processor time cover both ends.
func measureConnections(ctx context.Context, m *Measurement) ([]Point, error) {
	var points []Point
	for _, n := range []int{16, 32, 64, 128} {
		p, err := measureHub(ctx, n, m.window)
		if err != nil {
			return nil, err
		}
		points = append(points, p)
	}
	return points, nil
}

// node is the peer side of one router.
type node struct {
	mesh   *link.Mesh
	server *http.Server
	done   sync.WaitGroup
	err    error
}

func newNode(ctx context.Context, id string, dc galenalatch.DataCentre) (*node, galenalatch.Instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, galenalatch.Instance{}, err
	}
	mesh, err := link.New(link.Options{
		Self: galenalatch.RouterID(id), Start: "start-" + id, DataCentre: dc, Token: "token",
		Handle: func(galenalatch.RouterID, galenalatch.Message) {},
	})
	if err != nil {
		return nil, galenalatch.Instance{}, errors.Join(err, l.Close())
	}
	mux := http.NewServeMux()
	mux.Handle("/peer", mesh.Handler())
	n := &node{mesh: mesh, server: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}}
	n.done.Go(func() { _ = n.server.Serve(l) })
	n.done.Go(func() { n.err = mesh.Run(ctx) })
	return n, galenalatch.Instance{ID: id, Role: galenalatch.RouterRole, Address: l.Addr().String(), DataCentre: dc}, nil
}

// measureHub connects n nodes to one node, the hub, and observes the
// connections for the window.
func measureHub(ctx context.Context, n int, window time.Duration) (Point, error) {
	ctx, cancel := context.WithCancel(ctx)
	var nodes []*node
	defer func() {
		cancel()
		for _, o := range nodes {
			_ = o.server.Close()
			o.done.Wait()
		}
	}()
	var list []galenalatch.Instance
	for i := range n + 1 {
		o, in, err := newNode(ctx, fmt.Sprintf("router-%03d", i), "d")
		if err != nil {
			return Point{}, err
		}
		nodes, list = append(nodes, o), append(list, in)
	}
	for i, o := range nodes {
		if i == 0 {
			o.mesh.SetPeers(list)
		} else {
			o.mesh.SetPeers(list[:1])
		}
	}
	idle := liveBytes()
	for _, in := range list[1:] {
		nodes[0].mesh.Send(galenalatch.RouterID(in.ID), galenalatch.ChangesRequest{After: 1})
	}
	hubTraffic := func() (out int64, connected int) {
		for _, t := range nodes[0].mesh.Stats() {
			out += t.BytesOut
			if t.Connected {
				connected++
			}
		}
		return out, connected
	}
	f := &fleet{ctx: ctx}
	if err := f.wait(func() (bool, error) { _, c := hubTraffic(); return c == n, nil }); err != nil {
		return Point{}, err
	}
	state := liveBytes() - idle
	sent, _ := hubTraffic()
	used, began := cpuTime(), time.Now()
	if err := sleep(ctx, window); err != nil {
		return Point{}, err
	}
	seconds := time.Since(began).Seconds()
	after, _ := hubTraffic()
	return Point{float64(n), map[string]float64{
		"state B": state, "cpu ms/s": float64((cpuTime() - used).Microseconds()) / 1000 / seconds, "hub sends B/s": float64(after-sent) / seconds,
	}}, nil
}
