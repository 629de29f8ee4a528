package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/duration"
	"github.com/galenalatch/galenalatch/internal/config/secret"
	"github.com/galenalatch/galenalatch/internal/config/settings"
	"github.com/galenalatch/galenalatch/internal/operator/client"
	"github.com/galenalatch/galenalatch/internal/process/router"
	"github.com/galenalatch/galenalatch/internal/process/standins"
	"github.com/galenalatch/galenalatch/internal/standin/engine"
	"github.com/galenalatch/galenalatch/internal/standin/platform"
	"github.com/galenalatch/galenalatch/internal/standin/process"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

var dataCentres = []galenalatch.DataCentre{"a", "b", "c", "d"}

// callerKey is the key of the only workspace in the catalogue of a fleet.
const callerKey = "key-of-the-measurement"

const readyTimeout = 40 * time.Second

// fleet runs routers, a platform stand-in and model engines in this process.
type fleet struct {
	ctx      context.Context
	platform *platform.Server
	// platformTraffic counts the bytes to and from the platform, reportTraffic
	// those to and from the backend servers.
	platformTraffic, reportTraffic *countingListener
	url                            string
	token                          string
	tempDir                        string
	log                            *events.Log
	routers                        []*fleetRouter
	engines                        []string
	servers                        []*http.Server
	client                         *http.Client
}

// fleetRouter is one router of a fleet.
type fleetRouter struct {
	router           *router.Router
	caller, operator string
	cancel           context.CancelFunc
	done             chan struct{}
	err              error
}

func (r *fleetRouter) run(ctx context.Context) {
	defer close(r.done)
	r.err = r.router.Run(ctx)
}

// newFleet starts a platform and n routers, and waits until they are ready.
func newFleet(ctx context.Context, n int) (*fleet, error) {
	log, err := events.New(io.Discard, "error", "logfmt")
	if err != nil {
		return nil, err
	}
	tempDir, err := os.MkdirTemp("", "galenalatch-measure-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		ctx: ctx, token: uuid.NewString(), tempDir: tempDir, log: log, reportTraffic: &countingListener{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	f.platform = platform.New(platform.WithToken(f.token))
	if err := errors.Join(os.WriteFile(f.tokenFile(), []byte(f.token), 0o600), f.start(ctx, n)); err != nil {
		return nil, errors.Join(err, f.close())
	}
	return f, nil
}

// start writes the initial catalogue and starts the platform and n routers.
func (f *fleet) start(ctx context.Context, n int) error {
	if err := standins.WriteInitialCatalogue(ctx, f.platform, f.token, initialCatalogue()); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.platformTraffic = &countingListener{Listener: l}
	f.url = "http://" + l.Addr().String()
	f.serve(f.platformTraffic, f.platform)
	return f.addRouters(n)
}

func (f *fleet) tokenFile() string { return filepath.Join(f.tempDir, "token") }

func (f *fleet) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
}

// addRouters adds routers until there are n, and waits until all are ready.
func (f *fleet) addRouters(n int) error {
	for len(f.routers) < n {
		if err := f.addRouter(); err != nil {
			return err
		}
	}
	return f.wait(func() (bool, error) {
		for _, r := range f.routers {
			resp, err := f.client.Get("http://" + r.caller + "/readyz")
			if err != nil {
				return false, err
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false, nil
			}
		}
		return true, nil
	})
}

// wait polls until done returns true or an error, for at most readyTimeout.
func (f *fleet) wait(done func() (bool, error)) error {
	limit := time.NewTimer(readyTimeout)
	defer limit.Stop()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		if ok, err := done(); ok || err != nil {
			return err
		}
		select {
		case <-f.ctx.Done():
			return f.ctx.Err()
		case <-limit.C:
			return errors.New("the fleet is not ready in time")
		case <-tick.C:
		}
	}
}

func (f *fleet) addRouter() error {
	i := len(f.routers)
	r := &fleetRouter{done: make(chan struct{})}
	var peer string
	var options []router.Option
	for _, address := range []*string{&r.caller, &peer, &r.operator} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*address = l.Addr().String()
		options = append(options, router.WithListener(l))
	}
	c := settings.Default()
	c.ID, c.DataCentre = galenalatch.RouterID(fmt.Sprintf("router-%03d", i)), dataCentres[i%len(dataCentres)]
	c.Listen.Caller, c.Listen.Peer, c.Listen.Operator = r.caller, peer, r.operator
	token := secret.Secret{File: f.tokenFile()}
	c.Platform.Address, c.Platform.Token = f.url, token
	c.Tokens.Peer, c.Tokens.Operator = token, token
	c.Drain.Delay, c.Drain.Limit = duration.Duration(time.Millisecond), duration.Duration(5*time.Second)
	var err error
	if r.router, err = router.New(c, f.log, options...); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(f.ctx))
	r.cancel = cancel
	f.routers = append(f.routers, r)
	go r.run(ctx)
	return f.platform.SetInstance(galenalatch.Instance{
		ID: string(c.ID), Role: galenalatch.RouterRole, Address: peer, DataCentre: c.DataCentre,
	})
}

// addServer starts a model engine and adds it to a pool.
func (f *fleet) addServer(p galenalatch.PoolName, dc galenalatch.DataCentre) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := engine.New(engine.Settings{
		Settings: process.Settings{ColdLimit: 256, ColdRequests: 1}, Models: []string{string(p)}, Slots: 256,
		TokenTime: tokenTime,
	})
	f.serve(&sharedCountListener{Listener: l, counter: f.reportTraffic}, e)
	f.engines = append(f.engines, l.Addr().String())
	return f.platform.SetInstance(galenalatch.Instance{
		ID: fmt.Sprintf("server-%03d", len(f.engines)), Role: galenalatch.ServerRole, Address: l.Addr().String(), DataCentre: dc, Pool: p,
	})
}

// sharedCountListener adds its bytes to the counter of another listener.
type sharedCountListener struct {
	net.Listener
	counter *countingListener
}

// Accept implements net.Listener.
func (s *sharedCountListener) Accept() (net.Conn, error) {
	n, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: n, counter: s.counter}, nil
}

// waitCells waits until at least n cells may grant.
func (f *fleet) waitCells(n int) error {
	return f.wait(func() (bool, error) {
		granting := 0
		for _, r := range f.routers {
			s, err := client.New(r.operator, f.token).Status(f.ctx)
			if err != nil {
				return false, err
			}
			for _, c := range s.Cells {
				if c.Granting {
					granting++
				}
			}
		}
		return granting >= n, nil
	})
}

// close stops all parts of the fleet and returns their errors.
func (f *fleet) close() error {
	for _, r := range f.routers {
		r.cancel()
	}
	var all error
	for _, r := range f.routers {
		<-r.done
		all = errors.Join(all, r.err)
	}
	for _, s := range f.servers {
		all = errors.Join(all, s.Close())
	}
	f.client.CloseIdleConnections()
	return errors.Join(all, os.RemoveAll(f.tempDir))
}

func poolName(i int) galenalatch.PoolName { return galenalatch.PoolName(fmt.Sprintf("model-%02d", i)) }

// pools returns n model pools, each with one model of the same name.
func pools(n int) []galenalatch.Pool {
	var all []galenalatch.Pool
	for i := range n {
		all = append(all, galenalatch.Pool{
			Name: poolName(i), Kind: galenalatch.ModelPool, Models: []string{string(poolName(i))},
			ColdLimit: 64, WarmLimit: 256, CellsPerDataCentre: 1, PromptWeight: 1, OutputWeight: 1, MaxCost: 2048,
		})
	}
	return all
}

func initialCatalogue() galenalatch.Catalogue {
	sum := sha256.Sum256([]byte(callerKey))
	e := limitsEntry(0, 1)
	e.MaxRunning = 10_000
	e.MaxWaiting = 10_000
	name := e.Workspace
	e.Workspace, e.Class = "", ""
	return galenalatch.Catalogue{
		Pools: pools(8), DefaultLimits: e,
		Workspaces: []galenalatch.Workspace{{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}}},
	}
}
