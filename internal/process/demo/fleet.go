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

const loopbackAddress = "127.0.0.1:0"

// fleet consists of the routers, the backend servers and the stand-in for the
// platform.
type fleet struct {
	platform         *platform.Server
	platformAddress  string
	platformListener net.Listener
	token            string
	// tokenFolder contains the file with the token, since the settings of a
	// router hold the path of a token file and not the token.
	tokenFolder string
	log         *events.Log
	backends    []*backend
	routers     []*fleetRouter
}

func newFleet(log *events.Log, seed uint64) (*fleet, error) {
	s := &fleet{token: uuid.NewString(), log: log}
	s.platform = platform.New(platform.WithToken(s.token), platform.WithSeed(seed))
	folder, err := os.MkdirTemp("", "galenalatch-demo-")
	if err != nil {
		return nil, err
	}
	s.tokenFolder = folder
	if err := s.build(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *fleet) tokenFile() string {
	return filepath.Join(s.tokenFolder, "token")
}

func (s *fleet) build() error {
	if err := os.WriteFile(s.tokenFile(), []byte(s.token), 0o600); err != nil {
		return err
	}
	var err error
	if s.platformListener, err = net.Listen("tcp", loopbackAddress); err != nil {
		return err
	}
	s.platformAddress = s.platformListener.Addr().String()
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

// close releases the resources of a fleet that has not been started.
func (s *fleet) close() {
	if s.platformListener != nil {
		_ = s.platformListener.Close()
	}
	for _, b := range s.backends {
		_ = b.listener.Close()
	}
	for _, r := range s.routers {
		r.close()
	}
	_ = os.RemoveAll(s.tokenFolder)
}

func (s *fleet) backendsOf(p galenalatch.PoolName) []*backend {
	var all []*backend
	for _, b := range s.backends {
		if b.pool == p {
			all = append(all, b)
		}
	}
	return all
}

// start runs all parts and returns a function that stops them. That function
// returns the errors of the routers.
func (s *fleet) start(ctx context.Context) (stop func() error, err error) {
	catalogue := initialCatalogue()
	for _, r := range s.routers {
		catalogue.Routers = append(catalogue.Routers, r.id)
	}
	if err := standins.WriteInitialCatalogue(ctx, s.platform, s.token, catalogue); err != nil {
		s.close()
		return nil, err
	}
	// The stand-ins continue after ctx ends, so that the routers can drain.
	serverCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h := &http.Server{Handler: s.platform, ReadHeaderTimeout: time.Second}
	p := &platformServer{server: h, listener: s.platformListener, done: make(chan struct{})}
	go p.run()
	for _, b := range s.backends {
		go b.run(serverCtx)
	}
	for _, r := range s.routers {
		r.start(serverCtx)
	}
	return func() error {
		var errs error
		for _, r := range s.routers {
			r.cancel()
		}
		for _, r := range s.routers {
			errs = errors.Join(errs, r.wait())
		}
		cancel()
		for _, b := range s.backends {
			<-b.done
		}
		_ = h.Close()
		<-p.done
		return errors.Join(errs, os.RemoveAll(s.tokenFolder))
	}, nil
}

// platformServer is the HTTP server of the stand-in for the platform.
type platformServer struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

func (p *platformServer) run() {
	defer close(p.done)
	// The error needs no handling: the routers log a platform that does not
	// respond.
	_ = p.server.Serve(p.listener)
}

// waitReady waits until all routers are ready. It returns an error if a router
// ends or ctx ends first.
func (s *fleet) waitReady(ctx context.Context) error {
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

// operatorClient returns a client of the operators' API of r.
func (s *fleet) operatorClient(r *fleetRouter) *client.Client {
	return client.New(r.operatorAddress, s.token)
}
