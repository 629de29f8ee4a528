package demo

import (
	"context"
	"net"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/process"
)

// server is a stand-in for a backend server.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
	Stats() process.Stats
	Restart()
}

// backend is one backend server of the fleet.
type backend struct {
	server
	id         string
	dataCentre galenalatch.DataCentre
	pool       galenalatch.PoolName
	address    string
	listener   net.Listener
	done       chan struct{}
}

func (s *fleet) addBackend(id string, dc galenalatch.DataCentre, p galenalatch.PoolName) error {
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return err
	}
	b := &backend{id: id, dataCentre: dc, pool: p, address: l.Addr().String(), listener: l, done: make(chan struct{})}
	if p == modelPool {
		b.server = newEngine()
	} else {
		b.server = newService()
	}
	s.backends = append(s.backends, b)
	return s.platform.SetInstance(galenalatch.Instance{
		ID: id, Role: galenalatch.ServerRole, Address: b.address, DataCentre: dc, Pool: p,
	})
}

func (b *backend) run(ctx context.Context) {
	defer close(b.done)
	// The error needs no handling: the routers log a server that does not
	// respond.
	_ = b.Serve(ctx, b.listener)
}

// runs returns the number of runs that have begun on the server.
func (b *backend) runs() int {
	n := 0
	for _, k := range b.Stats().Runs {
		n += k
	}
	return n
}
