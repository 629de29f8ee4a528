//go:build linux

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	wait "gotest.tools/v3/poll"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/duration"
	settings "github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/standin/backend"
	"github.com/galenalatch/galenalatch/platform/standin"
)

const (
	soakHost       = "a.example"
	soakService    = "desk"
	soakEvents     = 8
	soakWorkers    = 6
	soakKeyRemoval = 2 * time.Second
	soakDrain      = 4 * time.Second
	soakColdRate   = 7.0
)

// gatewayProcess is a gateway process that reaches the store through its own
// proxy. The addresses are loopback HOST:PORT.
type gatewayProcess struct {
	id        string
	caller    string
	readiness string
	peer      string
	metrics   string
	settings  string
	store     *proxy
	command   *exec.Cmd
	ended     chan error
	paused    bool
	// disruptions are the times of its starts and of signals other than SIGHUP.
	disruptions []time.Time
}

// backendServer is a stand-in of a backend server behind a proxy. Each start
// creates a new server with a new ID.
type backendServer struct {
	server *backend.Server
	proxy  *proxy
	starts int
	zone   galenalatch.DataCentre
	// version is the version of its software.
	version string
}

// switchVersion makes the next start one of another version.
func (w *backendServer) switchVersion() { w.version = fmt.Sprint("v", w.starts%2) }

// soakFleet is a fleet of gateway processes with stand-ins of the store and the
// backend servers.
type soakFleet struct {
	t        *testing.T
	dir      string
	store    *standin.Store
	gateways []*gatewayProcess
	backends []*backendServer
	// engine declares the servers as model engines; targetLatency is the target
	// for the time to the first token. Both apply from the next configuration.
	engine        bool
	targetLatency time.Duration
	faultLog      []string
	// announced holds the servers that have announced their leaving, with the time.
	announced map[*backend.Server]time.Time
	errors    []string

	mu          sync.Mutex
	servers     []*backend.Server
	coldUntil   map[galenalatch.ServerID]time.Time
	version     uint64
	keys        []string
	removedKeys map[string]time.Time
	lastServer  int
	limits      fleetLimits
	// edits change the settings of the gateways.
	edits []func(*settings.Settings)
}

// fleetLimits are limits of the processes of a fleet and of its callers.
type fleetLimits struct {
	// memory is in MiB, body in bytes.
	memory      int64
	descriptors int
	body        int64
}

// newSoakFleet starts a fleet. The edits change the settings of its gateways.
func newSoakFleet(t *testing.T, gateways int, edits ...func(*settings.Settings)) *soakFleet {
	s := settings.Default()
	return newLimitedFleet(t, gateways, fleetLimits{memory: s.MemoryMegabytes, descriptors: s.Descriptors, body: 1 << 20}, edits...)
}

func newLimitedFleet(t *testing.T, gateways int, limits fleetLimits, edits ...func(*settings.Settings)) *soakFleet {
	f := &soakFleet{edits: edits, t: t, limits: limits, dir: t.TempDir(), coldUntil: make(map[galenalatch.ServerID]time.Time), announced: make(map[*backend.Server]time.Time), removedKeys: make(map[string]time.Time)}
	var err error
	f.store, err = standin.NewStore()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.store.Close()) })
	f.addKey()
	f.addKey()
	f.publishConfiguration()
	for i := range soakWorkers {
		w := &backendServer{zone: galenalatch.DataCentre("ab"[i%2 : i%2+1])}
		f.backends = append(f.backends, w)
		f.startServer(w, 0)
	}
	for i := range gateways {
		g := &gatewayProcess{id: fmt.Sprint("gateway-", i)}
		g.store, err = newProxy(f.store.Address())
		assert.NilError(t, err)
		f.writeSettings(g, i)
		f.gateways = append(f.gateways, g)
		f.startGateway(g)
	}
	t.Cleanup(func() {
		for _, g := range f.gateways {
			f.killGateway(g)
		}
	})
	for _, g := range f.gateways {
		f.awaitListening(g)
		f.awaitReady(g)
	}
	return f
}

// writeSettings writes the settings file of a gateway and chooses its addresses.
func (f *soakFleet) writeSettings(g *gatewayProcess, i int) {
	s := settings.Default()
	s.ID, s.DataCentre = galenalatch.RouterID(g.id), galenalatch.DataCentre("ab"[i%2:i%2+1])
	g.caller, g.readiness, g.peer, g.metrics = freeAddress(f.t), freeAddress(f.t), freeAddress(f.t), freeAddress(f.t)
	s.Listen.Caller, s.Listen.Readiness, s.Listen.Peer, s.Listen.Metrics = g.caller, g.readiness, g.peer, g.metrics
	s.Store.Address = g.store.address()
	s.FirstStart = true
	s.MemoryMegabytes, s.Descriptors = f.limits.memory, f.limits.descriptors
	s.KeyRemoval, s.Drain.Limit = duration.Duration(soakKeyRemoval), duration.Duration(soakDrain)
	for _, edit := range f.edits {
		edit(&s)
	}
	g.settings = filepath.Join(f.dir, g.id+".json")
	assert.NilError(f.t, os.WriteFile(g.settings, []byte(s.String()), 0o600))
}

// Listening ports are below the ephemeral range, where an outgoing connection
// could take a port between its choice and its use. Each port is used once, so
// that seeds that run in parallel do not share one.
const (
	firstPort = 15000
	portCount = 15000
)

// nextPort starts at a random offset, so that two soak runs on one machine rarely
// choose the same port.
var nextPort = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(rand.Int64N(portCount))
	return &n
}()

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	for range portCount {
		address := fmt.Sprint("127.0.0.1:", firstPort+nextPort.Add(1)%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, l.Close())
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// startGateway starts a gateway process, which appends to its log file.
func (f *soakFleet) startGateway(g *gatewayProcess) {
	log, err := os.OpenFile(filepath.Join(f.dir, g.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	g.command = exec.Command("galenalatch", "gateway", "--settings", g.settings)
	g.command.Stdout, g.command.Stderr = log, log
	// The kernel kills the process when the test binary dies.
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(f.t, g.command.Start())
	g.disruptions = append(g.disruptions, time.Now())
	g.ended, g.paused = make(chan error, 1), false
	go g.run(log)
}

// run waits for the process, sends its result to ended and closes its log.
func (g *gatewayProcess) run(log *os.File) {
	g.ended <- g.command.Wait()
	_ = log.Close()
}

// awaitListening waits up to 5 s until a gateway accepts connections.
func (f *soakFleet) awaitListening(g *gatewayProcess) {
	for range 200 {
		c, err := net.Dial("tcp", g.caller)
		if err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	log, err := os.ReadFile(filepath.Join(f.dir, g.id+".log"))
	state := "is running"
	select {
	case end := <-g.ended:
		state = fmt.Sprint("has ended: ", end)
	default:
	}
	f.t.Fatalf("%s does not listen and %s; paused: %t; faults: %v; log error: %v\n%s", g.id, state, g.paused, f.faultLog, err, log[max(len(log)-500, 0):])
}

// awaitReady waits until the readiness check of a gateway passes. Before that the
// gateway refuses requests, since it has not loaded the configuration or the
// servers.
func (f *soakFleet) awaitReady(g *gatewayProcess) {
	wait.WaitOn(f.t, func(wait.LogT) wait.Result {
		a, err := http.Get("http://" + g.readiness + "/")
		if err != nil {
			return wait.Continue("%s: %v", g.id, err)
		}
		assert.NilError(f.t, a.Body.Close())
		if a.StatusCode != http.StatusOK {
			return wait.Continue("%s: status %d", g.id, a.StatusCode)
		}
		return wait.Success()
	}, wait.WithTimeout(5*time.Second), wait.WithDelay(25*time.Millisecond))
}

func (f *soakFleet) signal(g *gatewayProcess, s syscall.Signal) {
	if s != syscall.SIGHUP {
		g.disruptions = append(g.disruptions, time.Now())
	}
	// The process may have ended already.
	_ = g.command.Process.Signal(s)
}

// killGateway sends SIGKILL to a gateway and waits for its end.
func (f *soakFleet) killGateway(g *gatewayProcess) {
	f.signal(g, syscall.SIGKILL)
	select {
	case err := <-g.ended:
		g.ended <- err
	case <-time.After(5 * time.Second):
		f.errors = append(f.errors, g.id+" did not end after SIGKILL")
	}
}

// stopGateways sends SIGTERM to all gateways and waits until they have drained
// and ended without an error.
func (f *soakFleet) stopGateways() {
	for _, g := range f.gateways {
		if g.paused {
			f.signal(g, syscall.SIGCONT)
			g.paused = false
		}
		f.signal(g, syscall.SIGTERM)
	}
	limit := time.Now().Add(soakDrain + 2*time.Second)
	for _, g := range f.gateways {
		select {
		case err := <-g.ended:
			if err != nil {
				f.errors = append(f.errors, fmt.Sprintf("%s ended with %v", g.id, err))
			}
			g.ended <- err
		case <-time.After(max(time.Until(limit), 10*time.Millisecond)):
			f.errors = append(f.errors, g.id+" did not end after SIGTERM")
		}
	}
}

// startServer starts a backend server under a new ID and registers it as cold for
// the given time.
func (f *soakFleet) startServer(w *backendServer, cold time.Duration) {
	f.mu.Lock()
	f.lastServer++
	id := galenalatch.ServerID(fmt.Sprint("s", f.lastServer))
	f.mu.Unlock()
	s, err := backend.New(id, standin.HeaderNames)
	assert.NilError(f.t, err)
	s.Events, s.Gap, s.Version = soakEvents, 15*time.Millisecond, w.version
	f.t.Cleanup(func() { assert.NilError(f.t, s.Close()) })
	p, err := newProxy(s.Address())
	assert.NilError(f.t, err)
	w.server, w.proxy = s, p
	w.starts++
	f.mu.Lock()
	f.servers = append(f.servers, s)
	if cold > 0 {
		f.coldUntil[id] = time.Now().Add(cold)
	}
	f.mu.Unlock()
	assert.NilError(f.t, f.store.Server(f.registration(w, cold, false)))
}

func (f *soakFleet) registration(w *backendServer, cold time.Duration, leaving bool) galenalatch.Registration {
	return galenalatch.Registration{
		ID: w.server.ID, Service: soakService, Address: w.proxy.address(), DataCentre: w.zone, Slots: 8, ColdFor: cold, Leaving: leaving, Version: w.version,
		Started: int64(w.starts),
	}
}

// startedServers returns all backend servers that were started, including those
// that were replaced.
func (f *soakFleet) startedServers() []*backend.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*backend.Server(nil), f.servers...)
}

// addKey adds a key; it applies from the next configuration.
func (f *soakFleet) addKey() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys = append(f.keys, fmt.Sprint("key-", len(f.keys)+len(f.removedKeys)))
}

// removeKey replaces the oldest key by a new one and publishes the
// configuration. The removal time is recorded after that.
func (f *soakFleet) removeKey() {
	f.mu.Lock()
	old := f.keys[0]
	f.keys = append(f.keys[1:], fmt.Sprint("key-", len(f.keys)+len(f.removedKeys)))
	f.mu.Unlock()
	f.publishConfiguration()
	f.mu.Lock()
	f.removedKeys[old] = time.Now()
	f.mu.Unlock()
}

// pickKey returns a random key, sometimes a removed one, and whether it is valid.
func (f *soakFleet) pickKey(random *rand.Rand) (key string, valid bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range f.removedKeys {
		if random.IntN(4) == 0 {
			return k, false
		}
	}
	return f.keys[random.IntN(len(f.keys))], true
}

// removedAt returns the time at which a key was removed, if it was.
func (f *soakFleet) removedAt(key string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.removedKeys[key]
	return at, ok
}

// publishConfiguration publishes a new version of the configuration.
func (f *soakFleet) publishConfiguration() {
	f.mu.Lock()
	f.version += 3
	c := &galenalatch.Configuration{
		Version: f.version, Keys: make(map[string]galenalatch.Owner),
		Services: map[string]galenalatch.Service{
			soakService: {Name: soakService, ColdTime: time.Second, ColdRate: soakColdRate, Engine: f.engine},
		},
		Limits: galenalatch.CallerLimits{BodyBytes: f.limits.body},
	}
	for _, k := range f.keys {
		c.Keys[k] = galenalatch.Owner{Workspace: "studio"}
	}
	f.mu.Unlock()
	target := []galenalatch.Target{{Service: soakService, Weight: 1}}
	for _, r := range []galenalatch.HostRoute{
		{Name: "log", Prefix: "/log/", Kind: galenalatch.NonIdempotentWork, Public: true},
		{Name: "status", Prefix: "/status/", Kind: galenalatch.IdempotentWork, Public: true},
		{Name: "stream", Prefix: "/stream/", Kind: galenalatch.StreamWork, Public: true, Resumable: true},
		{Name: "keyed", Prefix: "/keyed/", Kind: galenalatch.IdempotentWork},
	} {
		r.Host, r.Targets, r.MaxAttempts, r.Timeout, r.TargetLatency = soakHost, target, 3, 3*time.Second, f.targetLatency
		c.Routes = append(c.Routes, r)
	}
	assert.NilError(f.t, f.store.Configure(c))
}

// checkServers returns the errors of processes and the violations of the cold
// start rate that the logs of the backend servers show.
func (f *soakFleet) checkServers() []string {
	violations := f.errors
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		until, ok := f.coldUntil[s.ID]
		if !ok {
			continue
		}
		log := s.Log()
		for i := range log {
			n := 0
			for _, r := range log[i:] {
				if r.At.Before(until) && r.At.Sub(log[i].At) < time.Second {
					n++
				}
			}
			if limit := soakColdRate*settings.Default().Cold.Over + settings.Default().Cold.Slack; float64(n) > limit {
				violations = append(violations, fmt.Sprintf("cold server %s ran %d requests within one second; allowed: %.1f", s.ID, n, limit))
				break
			}
		}
	}
	return violations
}
