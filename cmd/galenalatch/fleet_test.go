//go:build linux

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/duration"
	"github.com/galenalatch/galenalatch/internal/config/secret"
	"github.com/galenalatch/galenalatch/internal/config/settings"
	"github.com/galenalatch/galenalatch/internal/config/standin"
)

const (
	modelPool      galenalatch.PoolName = "model"
	plainPool      galenalatch.PoolName = "plain"
	modelName                           = "writer"
	workspaceCount                      = 8
	platformID                          = "platform"
)

var dataCentres = []galenalatch.DataCentre{"a", "b", "c", "d"}

// fleet holds the settings of a scenario's processes.
type fleet struct {
	routers   []settings.Settings
	standin   standin.Settings
	catalogue galenalatch.Catalogue
}

// operator returns the operator address of a router, or "" if the fleet has no
// such router.
func (f *fleet) operator(id string) string {
	for _, r := range f.routers {
		if string(r.ID) == id {
			return r.Listen.Operator
		}
	}
	return ""
}

// fleetOptions are the flags of the fleet command.
type fleetOptions struct {
	routers, models, plain, slots, maxWaiting int
	tokenTime, writeTime, drainDelay          time.Duration
}

// fleetCount is the number of fleets that this process has created.
var fleetCount atomic.Uint32

// ports reserves free ports that the kernel chooses. Each fleet uses its own
// loopback address, so that no outgoing connection can take a port between its
// release and the start of the process that listens on it.
type ports struct {
	host      string
	listeners []net.Listener
}

func newPorts() *ports {
	n := uint32(os.Getpid())<<4 + fleetCount.Add(1)
	return &ports{host: fmt.Sprintf("127.%d.%d.%d", 1+n>>16%250, n>>8&255, 1+n%250)}
}

func (p *ports) reserve() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(p.host, "0"))
	if err != nil {
		return "", err
	}
	p.listeners = append(p.listeners, l)
	return l.Addr().String(), nil
}

// release closes the listeners and waits until the ports refuse connections. A
// process that another scenario forks at the same moment has copies of the
// listeners until its exec.
func (p *ports) release() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
	for _, l := range p.listeners {
		for range 1000 {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				break
			}
			_ = c.Close()
		}
	}
}

// fleetCommand writes the settings files of a fleet: fleet [flags]. It sets
// GALENALATCH_ROUTERS, where the operators' commands find the routers, and
// OPERATOR_N, the operator address of router N (from 1).
func (s *scenario) fleetCommand(ts *testscript.TestScript, args []string) error {
	var o fleetOptions
	f := flag.NewFlagSet("fleet", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.IntVar(&o.routers, "routers", 4, "number of routers")
	f.IntVar(&o.models, "models", 4, "number of model engines")
	f.IntVar(&o.plain, "plain", 4, "number of plain services")
	f.IntVar(&o.slots, "slots", 8, "concurrent requests of a warm engine")
	f.IntVar(&o.maxWaiting, "waiting", 64, "limit of waiting requests of a workspace")
	f.DurationVar(&o.tokenTime, "token", 10*time.Millisecond, "time for one output token of an engine")
	f.DurationVar(&o.writeTime, "write", 30*time.Millisecond, "time for one write of a plain service")
	f.DurationVar(&o.drainDelay, "drain", time.Second, "drain delay")
	if err := f.Parse(args); err != nil {
		return err
	}
	p := newPorts()
	defer p.release()
	if err := s.fleet.build(o, p); err != nil {
		return err
	}
	var operators []string
	for i, r := range s.fleet.routers {
		operators = append(operators, r.Listen.Operator)
		ts.Setenv(fmt.Sprintf("OPERATOR_%d", i+1), r.Listen.Operator)
	}
	ts.Setenv("GALENALATCH_ROUTERS", strings.Join(operators, "\n"))
	return s.fleet.write(s.dir)
}

// build fills in the settings of all processes and the catalogue.
func (f *fleet) build(o fleetOptions, p *ports) error {
	address, err := p.reserve()
	if err != nil {
		return err
	}
	f.catalogue = makeCatalogue(o)
	f.standin = makeStandin(o)
	f.standin.Platform.Listen = address
	for i := range o.routers {
		r := settings.Default()
		r.ID = galenalatch.RouterID(fmt.Sprintf("router-%d", i+1))
		r.DataCentre = dataCentres[i%len(dataCentres)]
		for _, a := range []*string{&r.Listen.Caller, &r.Listen.Peer, &r.Listen.Operator, &r.Debug.Listen} {
			if *a, err = p.reserve(); err != nil {
				return err
			}
		}
		r.Platform.Address = "http://" + f.standin.Platform.Listen
		r.Platform.Token.Env = "GALENALATCH_PLATFORM_TOKEN"
		r.Tokens.Peer.Env = "GALENALATCH_PEER_TOKEN"
		r.Tokens.Operator.Env = "GALENALATCH_OPERATOR_TOKEN"
		r.Drain.Delay = duration.Duration(o.drainDelay)
		f.routers = append(f.routers, r)
		f.standin.Instances = append(f.standin.Instances, galenalatch.Instance{
			ID: string(r.ID), Role: galenalatch.RouterRole, Address: r.Listen.Peer, DataCentre: r.DataCentre,
		})
	}
	for _, v := range []struct {
		pool  galenalatch.PoolName
		count int
	}{{modelPool, o.models}, {plainPool, o.plain}} {
		for i := range v.count {
			if address, err = p.reserve(); err != nil {
				return err
			}
			f.standin.Instances = append(f.standin.Instances, galenalatch.Instance{
				ID: fmt.Sprintf("%s-%d", v.pool, i+1), Role: galenalatch.ServerRole, Address: address,
				DataCentre: dataCentres[i%len(dataCentres)], Pool: v.pool,
			})
		}
	}
	return nil
}

func workspace(i int) galenalatch.WorkspaceName {
	return galenalatch.WorkspaceName(fmt.Sprintf("w%d", i))
}

func workspaceKey(w galenalatch.WorkspaceName) string {
	return "scenario-key-of-" + string(w)
}

func makeCatalogue(o fleetOptions) galenalatch.Catalogue {
	c := galenalatch.Catalogue{
		Pools: []galenalatch.Pool{{
			Name: modelPool, Kind: galenalatch.ModelPool, Models: []string{modelName}, ColdLimit: 2, WarmLimit: o.slots,
			CellsPerDataCentre: 1, PromptWeight: 1, OutputWeight: 4, MaxCost: 200000, Resumes: true,
		}, {
			Name: plainPool, Kind: galenalatch.PlainPool, ColdLimit: 4, WarmLimit: 16, CellsPerDataCentre: 1, MaxCost: 60000,
			Routes: []galenalatch.Route{
				{Method: "GET", PathPrefix: "/status/", Repeatable: true},
				{Method: "POST", PathPrefix: "/orders", Repeatable: false},
			},
		}},
		DefaultLimits: galenalatch.Entry{Weight: 1, MaxWaiting: o.maxWaiting, MaxWaitingBytes: 1 << 24, MaxRunning: 1000},
	}
	for i := range workspaceCount {
		w := workspace(i + 1)
		h := sha256.Sum256([]byte(workspaceKey(w)))
		c.Workspaces = append(c.Workspaces, galenalatch.Workspace{Name: w, KeyHashes: []string{hex.EncodeToString(h[:])}})
	}
	return c
}

func makeStandin(o fleetOptions) standin.Settings {
	return standin.Settings{
		Platform: standin.Platform{
			Token:     secret.Secret{Env: "GALENALATCH_PLATFORM_TOKEN"},
			Catalogue: "catalogue.json",
			Seed:      1,
		},
		Engines: map[galenalatch.PoolName]standin.Engine{modelPool: {
			Cold: standin.Cold{ColdLimit: 2, ColdRequests: 6, CrashOnColdOverload: true}, Models: []string{modelName}, Slots: o.slots,
			FirstToken: duration.Duration(20 * time.Millisecond), TokenTime: duration.Duration(o.tokenTime),
			CacheTokens: 100000, ResumeWindow: duration.Duration(30 * time.Second),
		}},
		Services: map[galenalatch.PoolName]standin.Service{plainPool: {
			Cold: standin.Cold{ColdLimit: 4, ColdRequests: 8, CrashOnColdOverload: true}, Slots: 16,
			ReadTime: duration.Duration(10 * time.Millisecond), WriteTime: duration.Duration(o.writeTime),
		}},
	}
}

// write writes the settings files and the catalogue into a directory.
func (f *fleet) write(dir string) error {
	documents := map[string]any{"standin.json": f.standin, "catalogue.json": f.catalogue}
	for _, r := range f.routers {
		documents[string(r.ID)+".json"] = r
	}
	for name, v := range documents {
		data, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// names returns the names of the fleet's processes that match the patterns. A
// pattern without a match is an error.
func (s *scenario) names(patterns ...string) ([]string, error) {
	all := []string{platformID}
	for _, i := range s.fleet.standin.Instances {
		all = append(all, i.ID)
	}
	var names []string
	for _, p := range patterns {
		before := len(names)
		for _, n := range all {
			if ok, err := path.Match(p, n); err != nil {
				return nil, err
			} else if ok && !slices.Contains(names, n) {
				names = append(names, n)
			}
		}
		if len(names) == before {
			return nil, fmt.Errorf("no process matches %q", p)
		}
	}
	return names, nil
}

func (s *scenario) router(name string) (settings.Settings, error) {
	for _, r := range s.fleet.routers {
		if string(r.ID) == name {
			return r, nil
		}
	}
	return settings.Settings{}, fmt.Errorf("no router %q", name)
}

// findInstance returns an entry of the instance list by its ID.
func (s *scenario) findInstance(name string) (galenalatch.Instance, error) {
	for _, i := range s.fleet.standin.Instances {
		if i.ID == name {
			return i, nil
		}
	}
	return galenalatch.Instance{}, fmt.Errorf("no instance %q", name)
}
