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
	modelPool  galenalatch.PoolName = "model"
	plainPool  galenalatch.PoolName = "plain"
	modelName                       = "writer"
	workspaces                      = 8
	platformID                      = "platform"
)

var dataCentres = []galenalatch.DataCentre{"a", "b", "c", "d"}

// fleet holds the settings of a scenario's processes.
type fleet struct {
	routers   []settings.Settings
	standin   standin.Settings
	catalogue galenalatch.Catalogue
}

// operator returns the address for operators of a router, or "".
func (f *fleet) operator(id string) string {
	for _, r := range f.routers {
		if string(r.ID) == id {
			return r.Listen.Operator
		}
	}
	return ""
}

// fleetOptions size a fleet.
type fleetOptions struct {
	routers, models, plain, slots, waiting int
	token, write, drain                    time.Duration
}

// fleets counts the fleets of this process.
var fleets atomic.Uint32

// ports reserves free ports that the kernel chooses. Each fleet has its own
// loopback address, so that no outgoing connection takes a port between the
// reservation and the start of the process.
type ports struct {
	host      string
	listeners []net.Listener
}

func newPorts() *ports {
	n := uint32(os.Getpid())<<4 + fleets.Add(1)
	return &ports{host: fmt.Sprintf("127.%d.%d.%d", 1+n>>16%250, n>>8&255, 1+n%250)}
}

func (p *ports) next() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(p.host, "0"))
	if err != nil {
		return "", err
	}
	p.listeners = append(p.listeners, l)
	return l.Addr().String(), nil
}

// free closes the listeners and waits until nothing listens any more: a
// process that another scenario has forked at the same moment holds copies
// of them until its exec.
func (p *ports) free() {
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

// fleetCommand writes the settings of a fleet: fleet [flags]. The operators'
// commands find the routers by GALENALATCH_ROUTERS; OPERATOR_1 is the address
// for operators of the first router.
func (s *scenario) fleetCommand(ts *testscript.TestScript, args []string) error {
	var o fleetOptions
	f := flag.NewFlagSet("fleet", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.IntVar(&o.routers, "routers", 4, "routers")
	f.IntVar(&o.models, "models", 4, "model engines")
	f.IntVar(&o.plain, "plain", 4, "plain services")
	f.IntVar(&o.slots, "slots", 8, "requests of a warm engine")
	f.IntVar(&o.waiting, "waiting", 64, "waiting requests of a workspace")
	f.DurationVar(&o.token, "token", 10*time.Millisecond, "time of a token")
	f.DurationVar(&o.write, "write", 30*time.Millisecond, "time of a write")
	f.DurationVar(&o.drain, "drain", time.Second, "drain delay")
	if err := f.Parse(args); err != nil {
		return err
	}
	p := newPorts()
	defer p.free()
	if err := s.fleet.make(o, p); err != nil {
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

func (f *fleet) make(o fleetOptions, p *ports) error {
	address, err := p.next()
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
			if *a, err = p.next(); err != nil {
				return err
			}
		}
		r.Platform.Address = "http://" + f.standin.Platform.Listen
		r.Platform.Token.Env = "GALENALATCH_PLATFORM_TOKEN"
		r.Tokens.Peer.Env = "GALENALATCH_PEER_TOKEN"
		r.Tokens.Operator.Env = "GALENALATCH_OPERATOR_TOKEN"
		r.Drain.Delay = duration.Duration(o.drain)
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
			if address, err = p.next(); err != nil {
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

func keyOf(w galenalatch.WorkspaceName) string {
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
		DefaultLimits: galenalatch.Entry{Weight: 1, MaxWaiting: o.waiting, MaxWaitingBytes: 1 << 24, MaxRunning: 1000},
	}
	for i := range workspaces {
		w := workspace(i + 1)
		h := sha256.Sum256([]byte(keyOf(w)))
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
			Cold: standin.Cold{ColdLimit: 2, ColdRequests: 6, FallOver: true}, Models: []string{modelName}, Slots: o.slots,
			FirstToken: duration.Duration(20 * time.Millisecond), TokenTime: duration.Duration(o.token),
			CacheTokens: 100000, ResumeWindow: duration.Duration(30 * time.Second),
		}},
		Services: map[galenalatch.PoolName]standin.Service{plainPool: {
			Cold: standin.Cold{ColdLimit: 4, ColdRequests: 8, FallOver: true}, Slots: 16,
			ReadTime: duration.Duration(10 * time.Millisecond), WriteTime: duration.Duration(o.write),
		}},
	}
}

// write writes the files that the processes read.
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

// names returns the processes of the fleet that match the patterns.
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

// server returns the address of a backend server's stand-in.
func (s *scenario) server(name string) (galenalatch.Instance, error) {
	for _, i := range s.fleet.standin.Instances {
		if i.ID == name {
			return i, nil
		}
	}
	return galenalatch.Instance{}, fmt.Errorf("no instance %q", name)
}
