package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/client"
	"github.com/galenalatch/galenalatch/internal/process/standins"
	"github.com/galenalatch/galenalatch/internal/standin/platform"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

const loopback = "127.0.0.1:0"

// site is the fleet with its stand-ins.
type site struct {
	platform *platform.Server
	// address is that of the platform.
	address  string
	listener net.Listener
	token    string
	// folder holds the file with the token, since settings refer to tokens
	// and do not contain them.
	folder   string
	log      *events.Log
	backends []*backend
	routers  []*member
}

func newSite(log *events.Log, seed uint64) (*site, error) {
	s := &site{token: uuid.NewString(), log: log}
	s.platform = platform.New(platform.WithToken(s.token), platform.WithSeed(seed))
	folder, err := os.MkdirTemp("", "galenalatch-demo-")
	if err != nil {
		return nil, err
	}
	s.folder = folder
	if err := s.build(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) tokenFile() string {
	return filepath.Join(s.folder, "token")
}

func (s *site) build() error {
	if err := os.WriteFile(s.tokenFile(), []byte(s.token), 0o600); err != nil {
		return err
	}
	var err error
	if s.listener, err = net.Listen("tcp", loopback); err != nil {
		return err
	}
	s.address = s.listener.Addr().String()
	for _, dc := range dataCentres {
		for range enginesPerDataCentre {
			if err := s.addBackend(fmt.Sprintf("engine-%d", 1+len(s.backendsOf(modelPool))), dc, modelPool); err != nil {
				return err
			}
		}
		for range servicesPerDataCentre {
			if err := s.addBackend(fmt.Sprintf("service-%d", 1+len(s.backendsOf(bookingPool))), dc, bookingPool); err != nil {
				return err
			}
		}
		for range routersPerDataCentre {
			if err := s.addRouter(fmt.Sprintf("router-%d", 1+len(s.routers)), dc); err != nil {
				return err
			}
		}
	}
	return nil
}

// close releases what a site that does not run holds.
func (s *site) close() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for _, b := range s.backends {
		_ = b.listener.Close()
	}
	for _, r := range s.routers {
		r.close()
	}
	_ = os.RemoveAll(s.folder)
}

func (s *site) backendsOf(p galenalatch.PoolName) []*backend {
	var all []*backend
	for _, b := range s.backends {
		if b.pool == p {
			all = append(all, b)
		}
	}
	return all
}

// start runs all parts and returns the function that ends them, which
// returns the errors of the routers.
func (s *site) start(ctx context.Context) (stop func() error, err error) {
	first := firstCatalogue()
	for _, r := range s.routers {
		first.Routers = append(first.Routers, r.id)
	}
	if err := standins.Seed(ctx, s.platform, s.token, first); err != nil {
		s.close()
		return nil, err
	}
	// The stand-ins outlive ctx, so that routers can drain after it.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h := &http.Server{Handler: s.platform, ReadHeaderTimeout: time.Second}
	p := &platformServer{server: h, listener: s.listener, done: make(chan struct{})}
	go p.run()
	for _, b := range s.backends {
		go b.run(work)
	}
	for _, r := range s.routers {
		r.start(work)
	}
	return func() error {
		var all error
		for _, r := range s.routers {
			r.cancel()
		}
		for _, r := range s.routers {
			all = errors.Join(all, r.wait())
		}
		cancel()
		for _, b := range s.backends {
			<-b.done
		}
		_ = h.Close()
		<-p.done
		return errors.Join(all, os.RemoveAll(s.folder))
	}, nil
}

// platformServer serves the platform.
type platformServer struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

func (p *platformServer) run() {
	defer close(p.done)
	// Routers report a platform that does not answer.
	_ = p.server.Serve(p.listener)
}

// waitReady waits until all routers are ready.
func (s *site) waitReady(ctx context.Context) error {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for _, r := range s.routers {
		for !r.ready(ctx) {
			select {
			case <-r.done:
				return fmt.Errorf("router %s ended: %w", r.id, r.err)
			case <-ctx.Done():
				return fmt.Errorf("router %s is not ready: %w", r.id, ctx.Err())
			case <-tick.C:
			}
		}
	}
	return nil
}

// operator returns a client of a router that serves.
func (s *site) operator(r *member) *client.Client {
	return client.New(r.operator, s.token)
}
