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
	"github.com/galenalatch/galenalatch/internal/standin/worker"
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

// gatewayProcess is one gateway with its own way to the store.
type gatewayProcess struct {
	id        string
	caller    string
	readiness string
	settings  string
	store     *proxy
	command   *exec.Cmd
	ended     chan error
	paused    bool
}

// workerAddress is a backend server behind a proxy. Each start has a new id.
type workerAddress struct {
	server *worker.Server
	proxy  *proxy
	starts int
	zone   galenalatch.DataCentre
}

// soakFleet is a fleet of real processes and its stand-ins.
type soakFleet struct {
	t        *testing.T
	dir      string
	store    *standin.Store
	gateways []*gatewayProcess
	places   []*workerAddress
	// engine makes the servers model engines, aim is the time to the first
	// token that callers were promised.
	engine bool
	aim    time.Duration
	story  []string
	errors []string

	mu       sync.Mutex
	all      []*worker.Server
	cold     map[galenalatch.ServerID]time.Time
	version  uint64
	keys     []string
	gone     map[string]time.Time
	sequence int
}

func newSoakFleet(t *testing.T, gateways int) *soakFleet {
	f := &soakFleet{t: t, dir: t.TempDir(), cold: make(map[galenalatch.ServerID]time.Time), gone: make(map[string]time.Time)}
	var err error
	f.store, err = standin.NewStore()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.store.Close()) })
	f.addKey()
	f.addKey()
	f.configure()
	for i := range soakWorkers {
		w := &workerAddress{zone: galenalatch.DataCentre("ab"[i%2 : i%2+1])}
		f.places = append(f.places, w)
		f.begin(w, 0)
	}
	for i := range gateways {
		g := &gatewayProcess{id: fmt.Sprint("gateway-", i)}
		g.store, err = newProxy(f.store.Address())
		assert.NilError(t, err)
		f.write(g, i)
		f.gateways = append(f.gateways, g)
		f.start(g)
	}
	t.Cleanup(func() {
		for _, g := range f.gateways {
			f.kill(g)
		}
	})
	for _, g := range f.gateways {
		f.await(g)
		f.awaitReady(g)
	}
	return f
}

// write writes the settings file of a gateway.
func (f *soakFleet) write(g *gatewayProcess, i int) {
	s := settings.Default()
	s.ID, s.DataCentre = galenalatch.RouterID(g.id), galenalatch.DataCentre("ab"[i%2:i%2+1])
	g.caller, g.readiness = freeAddress(f.t), freeAddress(f.t)
	s.Listen.Caller, s.Listen.Readiness, s.Listen.Peer, s.Listen.Metrics = g.caller, g.readiness, freeAddress(f.t), freeAddress(f.t)
	s.Store.Address = g.store.address()
	s.KeyRemoval, s.Drain.Limit = duration.Duration(soakKeyRemoval), duration.Duration(soakDrain)
	g.settings = filepath.Join(f.dir, g.id+".json")
	assert.NilError(f.t, os.WriteFile(g.settings, []byte(s.String()), 0o600))
}

// Ports are below the range of outgoing connections, where one may be taken
// between its choice and its use. Each is given once, so that the fleets of
// seeds that run beside each other do not share one.
const (
	firstPort = 15000
	portCount = 15000
)

// nextPort begins at random, so that two soaks on one machine rarely meet.
var nextPort = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(rand.Int64N(portCount))
	return &n
}()

// freeAddress returns a loopback address that no one listens on.
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

func (f *soakFleet) start(g *gatewayProcess) {
	log, err := os.OpenFile(filepath.Join(f.dir, g.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	g.command = exec.Command("galenalatch", "gateway", "--settings", g.settings)
	g.command.Stdout, g.command.Stderr = log, log
	// A test binary that is killed leaves no processes behind.
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(f.t, g.command.Start())
	g.ended, g.paused = make(chan error, 1), false
	go g.run(log)
}

// run waits for the end of the process.
func (g *gatewayProcess) run(log *os.File) {
	g.ended <- g.command.Wait()
	_ = log.Close()
}

// await waits until a gateway accepts connections.
func (f *soakFleet) await(g *gatewayProcess) {
	for range 200 {
		c, err := net.Dial("tcp", g.caller)
		if err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	log, err := os.ReadFile(filepath.Join(f.dir, g.id+".log"))
	state := "runs"
	select {
	case end := <-g.ended:
		state = fmt.Sprint("ended: ", end)
	default:
	}
	f.t.Fatalf("%s does not listen and %s; paused %t; %v; %v\n%s", g.id, state, g.paused, f.story, err, log[max(len(log)-500, 0):])
}

// awaitReady waits until a gateway says that it is ready. It refuses requests
// before that, since it knows no configuration or no servers.
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
	// The process may have ended already.
	_ = g.command.Process.Signal(s)
}

// kill ends a gateway at once.
func (f *soakFleet) kill(g *gatewayProcess) {
	f.signal(g, syscall.SIGKILL)
	select {
	case err := <-g.ended:
		g.ended <- err
	case <-time.After(5 * time.Second):
		f.errors = append(f.errors, g.id+" did not end after SIGKILL")
	}
}

// stop ends all gateways in good order.
func (f *soakFleet) stop() {
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

// begin starts a backend server under a new id.
func (f *soakFleet) begin(w *workerAddress, cold time.Duration) {
	f.mu.Lock()
	f.sequence++
	id := galenalatch.ServerID(fmt.Sprint("s", f.sequence))
	f.mu.Unlock()
	s, err := worker.New(id, standin.Names)
	assert.NilError(f.t, err)
	s.Events, s.Gap = soakEvents, 15*time.Millisecond
	f.t.Cleanup(func() { assert.NilError(f.t, s.Close()) })
	p, err := newProxy(s.Address())
	assert.NilError(f.t, err)
	w.server, w.proxy = s, p
	w.starts++
	f.mu.Lock()
	f.all = append(f.all, s)
	if cold > 0 {
		f.cold[id] = time.Now().Add(cold)
	}
	f.mu.Unlock()
	assert.NilError(f.t, f.store.Server(f.registration(w, cold, false)))
}

func (f *soakFleet) registration(w *workerAddress, cold time.Duration, leaving bool) galenalatch.Registration {
	return galenalatch.Registration{
		ID: w.server.ID, Service: soakService, Address: w.proxy.address(), DataCentre: w.zone, Slots: 8, ColdFor: cold, Leaving: leaving,
		Started: int64(w.starts),
	}
}

func (f *soakFleet) workers() []*worker.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*worker.Server(nil), f.all...)
}

func (f *soakFleet) addKey() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys = append(f.keys, fmt.Sprint("key-", len(f.keys)+len(f.gone)))
}

// removeKey takes the oldest key away and adds another one.
func (f *soakFleet) removeKey() {
	f.mu.Lock()
	old := f.keys[0]
	f.keys = append(f.keys[1:], fmt.Sprint("key-", len(f.keys)+len(f.gone)))
	f.mu.Unlock()
	f.configure()
	f.mu.Lock()
	f.gone[old] = time.Now()
	f.mu.Unlock()
}

// key picks a key, sometimes one that was removed.
func (f *soakFleet) key(random *rand.Rand) (key string, alive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range f.gone {
		if random.IntN(4) == 0 {
			return k, false
		}
	}
	return f.keys[random.IntN(len(f.keys))], true
}

func (f *soakFleet) removed(key string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.gone[key]
	return at, ok
}

// configure publishes a new version of the configuration.
func (f *soakFleet) configure() {
	f.mu.Lock()
	f.version += 3
	c := &galenalatch.Configuration{
		Version: f.version, Keys: make(map[string]galenalatch.Owner),
		Services: map[string]galenalatch.Service{
			soakService: {Name: soakService, ColdTime: time.Second, ColdRate: soakColdRate, Engine: f.engine},
		},
		Limits: galenalatch.CallerLimits{BodyBytes: 1 << 20},
	}
	for _, k := range f.keys {
		c.Keys[k] = galenalatch.Owner{Workspace: "studio"}
	}
	f.mu.Unlock()
	target := []galenalatch.Target{{Service: soakService, Weight: 1}}
	for _, r := range []galenalatch.HostRoute{
		{Name: "log", Prefix: "/log/", Kind: galenalatch.OnceWork, Public: true},
		{Name: "status", Prefix: "/status/", Kind: galenalatch.IdempotentWork, Public: true},
		{Name: "stream", Prefix: "/stream/", Kind: galenalatch.StreamWork, Public: true, Resumable: true},
		{Name: "keyed", Prefix: "/keyed/", Kind: galenalatch.IdempotentWork},
	} {
		r.Host, r.Targets, r.MaxAttempts, r.Timeout, r.Aim = soakHost, target, 3, 3*time.Second, f.aim
		c.Routes = append(c.Routes, r)
	}
	assert.NilError(f.t, f.store.Configure(c))
}

// faults returns the broken promises that the backend servers saw.
func (f *soakFleet) faults() []string {
	faults := f.errors
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.all {
		until, ok := f.cold[s.ID]
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
				faults = append(faults, fmt.Sprintf("cold server %s ran %d requests in a second; allowed: %.1f", s.ID, n, limit))
				break
			}
		}
	}
	return faults
}
