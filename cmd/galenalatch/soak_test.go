//go:build linux

package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	soakSeeds    = flag.Int("soak.seeds", 1, "number of seeds to run")
	soakStart    = flag.Uint64("soak.start", 2, "first seed")
	soakDuration = flag.Duration("soak.duration", 6*time.Second, "duration of fault injection for each seed")
	soakGateways = flag.Int("soak.gateways", 4, "number of gateway processes")
)

// soakRecovery is the time after the last fault within which the fleet must
// recover.
const soakRecovery = 5 * time.Second

// regressions are seeds that once failed, each with the cause of its failure.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "after a slow first store call, the freshness proofs of a gateway stayed 0.6 s too old, so that it refused keys permanently"},
	{106, "SIGHUP ended a gateway that had just started and had not yet installed its signal handler"},
	{4016, "a stream was resumed from a response without the service's seal"},
	{148, "a listening port of the test was in the ephemeral range, and another process answered the callers"},
}

// Guards against violated guarantees under overlapping faults. It runs gateway
// processes with proxies in front of the store and the backend servers, and
// injects random faults from a seed.
func TestSoak(t *testing.T) {
	for _, r := range regressions {
		if *soakSeeds > 1 {
			break
		}
		t.Run(fmt.Sprint("regression ", r.seed), func(t *testing.T) {
			t.Parallel()
			soak(t, r.seed)
		})
	}
	for i := range *soakSeeds {
		seed := *soakStart + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

// soak runs one seed: clients send requests under faults, then all faults end,
// and after soakRecovery at least 95 % of the requests must be served.
func soak(t *testing.T, seed uint64) {
	f := newSoakFleet(t, *soakGateways)
	random := rand.New(rand.NewPCG(seed, 0))
	ctx, cancel := context.WithCancel(t.Context())
	c := newSoakClients(f, seed)
	for i := range 2 * *soakGateways {
		c.group.Go(func() error { return c.loop(ctx, i) })
	}
	streams := &streamCaller{f: f, sent: func(id string, gateway int) {
		c.record(id, sentRequest{path: "/stream/", at: time.Now(), gateway: gateway})
	}}
	for i := range *soakGateways {
		c.group.Go(func() error { return streams.loop(ctx, seed, i) })
	}
	f.inject(random, newSoakSignals(f, seed), *soakDuration)
	f.clearFaults()
	time.Sleep(soakRecovery)
	c.requireServed.Store(true)
	time.Sleep(soakRecovery / 2)
	cancel()
	assert.NilError(t, c.group.Wait())
	violations := c.checkLeaving()
	f.stopGateways()
	violations = append(violations, append(c.checkRequests(), f.checkServers()...)...)
	violations = append(violations, streams.violations()...)
	t.Logf("seed %d: %d requests, %d served, %d refused, %d others; after recovery: %d of %d served; faults: %s",
		seed, c.total.Load(), c.served.Load(), c.refused.Load(), c.other.Load(), c.recoveryServed.Load(), c.recovery.Load(), strings.Join(f.faultLog, ", "))
	if len(violations) > 0 {
		dir := filepath.Join(os.TempDir(), fmt.Sprintf("galenalatch-soak-%d-%d", seed, os.Getpid()))
		assert.NilError(t, os.CopyFS(dir, os.DirFS(f.dir)))
		t.Errorf("seed %d, logs in %s:\n%s", seed, dir, strings.Join(violations[:min(len(violations), 10)], "\n"))
	}
}
