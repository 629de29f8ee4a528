//go:build linux

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/standin/backend"
	"github.com/galenalatch/galenalatch/platform/standin"
)

// fault is a kind of injected fault. begin starts it and returns a function that
// ends it.
type fault struct {
	name  string
	begin func(f *soakFleet, random *rand.Rand) (end func())
}

// pick returns a random element of a list.
func pick[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

// faults are the faults that inject chooses from. The first 4 kill, stop or
// pause gateway processes; at most one of these is active at a time.
var faults = []fault{
	{"kill gateway", func(f *soakFleet, random *rand.Rand) func() {
		g := pick(random, f.gateways)
		f.killGateway(g)
		return func() { f.restartGateway(g) }
	}},
	{"kill all gateways", func(f *soakFleet, random *rand.Rand) func() {
		if random.IntN(3) > 0 {
			return func() {}
		}
		for _, g := range f.gateways {
			f.killGateway(g)
		}
		return func() {
			for _, g := range f.gateways {
				f.restartGateway(g)
			}
		}
	}},
	{"stop gateway", func(f *soakFleet, random *rand.Rand) func() {
		g := pick(random, f.gateways)
		f.signal(g, syscall.SIGTERM)
		return func() { f.restartGateway(g) }
	}},
	{"pause gateway", func(f *soakFleet, random *rand.Rand) func() {
		g := pick(random, f.gateways)
		g.paused = true
		f.signal(g, syscall.SIGSTOP)
		return func() { g.paused = false; f.signal(g, syscall.SIGCONT) }
	}},
	{"reload gateway", func(f *soakFleet, random *rand.Rand) func() {
		g := pick(random, f.gateways)
		c, err := net.Dial("tcp", g.caller)
		if err != nil {
			// SIGHUP ends a process that has not installed its handler yet.
			return func() {}
		}
		_ = c.Close()
		f.signal(g, syscall.SIGHUP)
		return func() {}
	}},
	{"store fault", func(f *soakFleet, random *rand.Rand) func() {
		f.store.SetFault(pick(random, []standin.Fault{standin.Busy, standin.Slow, standin.LoseResponse, standin.HistoryLost}))
		return func() { f.store.SetFault(standin.NoFault) }
	}},
	{"gateway-store link", func(f *soakFleet, random *rand.Rand) func() {
		g := pick(random, f.gateways)
		g.store.setMode(pick(random, []mode{delaying, resetting, stalling, droppingResponses}))
		return func() { g.store.setMode(forwarding) }
	}},
	{"gateway-server link", func(f *soakFleet, random *rand.Rand) func() {
		p := pick(random, f.backends).proxy
		p.setMode(pick(random, []mode{delaying, resetting, stalling, droppingResponses}))
		return func() { p.setMode(forwarding) }
	}},
	{"server fault", func(f *soakFleet, random *rand.Rand) func() {
		s := pick(random, f.backends).server
		s.SetBehaviour(pick(random, []backend.Behaviour{
			backend.RejectNotRun, backend.Fail, backend.CloseAfterRun, backend.Hang, backend.Truncate, backend.TruncateStream, backend.WrongRequestFirst, backend.DuplicateResponse, backend.Unsealed,
		}))
		return func() { s.SetBehaviour(backend.Answer) }
	}},
	{"server leaving", func(f *soakFleet, random *rand.Rand) func() {
		w := pick(random, f.backends)
		if random.IntN(2) == 0 {
			f.store.RemoveServer(w.server.ID)
		} else {
			assert.NilError(f.t, f.store.Server(f.registration(w, 0, true)))
		}
		return func() { w.switchVersion(); f.startServer(w, time.Second) }
	}},
	{"server crash", func(f *soakFleet, random *rand.Rand) func() {
		w := pick(random, f.backends)
		w.proxy.setMode(resetting)
		return func() { f.store.RemoveServer(w.server.ID); w.switchVersion(); f.startServer(w, time.Second) }
	}},
	{"key removal", func(f *soakFleet, _ *rand.Rand) func() { f.removeKey(); return func() {} }},
	{"configuration change", func(f *soakFleet, _ *rand.Rand) func() { f.publishConfiguration(); return func() {} }},
	{"data centre out of service", func(f *soakFleet, _ *rand.Rand) func() {
		assert.NilError(f.t, f.store.SetOutOfService("b", true))
		return func() { assert.NilError(f.t, f.store.SetOutOfService("b", false)) }
	}},
	{"invalid entry", func(f *soakFleet, _ *rand.Rand) func() {
		assert.NilError(f.t, f.store.Put("servers", "junk", []string{"not", "an", "entry"}))
		return func() { f.store.Drop("servers", "junk") }
	}},
}

// restartGateway waits until a gateway's process ends, kills it after the drain
// limit and 2 s, and starts it again.
func (f *soakFleet) restartGateway(g *gatewayProcess) {
	if g.paused {
		f.signal(g, syscall.SIGCONT)
	}
	select {
	case <-g.ended:
	case <-time.After(soakDrain + 2*time.Second):
		f.errors = append(f.errors, g.id+" did not end")
		f.killGateway(g)
		<-g.ended
	}
	f.startGateway(g)
}

// activeFault is a fault in progress and the time at which it ends.
type activeFault struct {
	at    time.Time
	index int
	end   func()
}

// inject starts faults at random times for d. The faults have random durations
// and overlap, also with signals of the servers.
func (f *soakFleet) inject(random *rand.Rand, signals *soakSignals, d time.Duration) {
	defer signals.end()
	var active []activeFault
	stop := time.Now().Add(d)
	for time.Now().Before(stop) {
		i := random.IntN(len(faults))
		// At most one process fault is active, and at most one fault of each
		// other kind.
		process := i < 4
		if !slices.ContainsFunc(active, func(e activeFault) bool { return e.index == i || process && e.index < 4 }) {
			f.faultLog = append(f.faultLog, fmt.Sprintf("%s %s", time.Until(stop).Round(100*time.Millisecond), faults[i].name))
			end := faults[i].begin(f, random)
			active = append(active, activeFault{time.Now().Add(time.Duration(200+random.IntN(2500)) * time.Millisecond), i, end})
		}
		time.Sleep(time.Duration(50+random.IntN(350)) * time.Millisecond)
		signals.step(time.Now())
		active = slices.DeleteFunc(active, func(e activeFault) bool {
			if time.Now().Before(e.at) {
				return false
			}
			e.end()
			return true
		})
	}
	for _, e := range active {
		e.end()
	}
}

// clearFaults removes all faults and waits until all gateways accept connections.
func (f *soakFleet) clearFaults() {
	f.store.SetFault(standin.NoFault)
	for _, g := range f.gateways {
		g.store.setMode(forwarding)
		f.awaitListening(g)
	}
	for _, w := range f.backends {
		w.server.SetBehaviour(backend.Answer)
	}
}
