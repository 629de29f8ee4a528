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
	soakSeeds    = flag.Int("soak.seeds", 1, "number of seeds of the soak")
	soakStart    = flag.Uint64("soak.start", 2, "first seed of the soak")
	soakDuration = flag.Duration("soak.duration", 6*time.Second, "time with faults for each seed")
	soakGateways = flag.Int("soak.gateways", 4, "number of gateway processes")
)

// soakCalm is the time without faults at the end, after which the fleet must
// serve again.
const soakCalm = 5 * time.Second

// regressions are seeds that failed once, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "a slow first call of the store left the proofs of a gateway 0.6 s too old, so that it refused keys for good"},
	{106, "SIGHUP ended a gateway that had just started and did not ask for the signal yet"},
	{4016, "the rest of a stream was taken from an answer without the service's seal"},
	{148, "a port of the soak was in the range of outgoing connections; another process answered the callers"},
}

// Guards against broken promises under faults that overlap: real gateway
// processes behind proxies, with random faults from a seed.
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

func soak(t *testing.T, seed uint64) {
	f := newSoakFleet(t, *soakGateways)
	random := rand.New(rand.NewPCG(seed, 0))
	ctx, cancel := context.WithCancel(t.Context())
	c := newSoakClients(f, seed)
	for i := range 2 * *soakGateways {
		c.group.Go(func() error { return c.loop(ctx, i) })
	}
	f.inject(random, *soakDuration)
	f.heal()
	time.Sleep(soakCalm)
	c.judge.Store(true)
	time.Sleep(soakCalm / 2)
	cancel()
	assert.NilError(t, c.group.Wait())
	f.stop()
	faults := append(c.faults(), f.faults()...)
	t.Logf("seed %d: %d requests, %d served, %d refused, %d others; calm: %d of %d served; faults: %s",
		seed, c.total.Load(), c.served.Load(), c.refused.Load(), c.other.Load(), c.calmServed.Load(), c.calm.Load(), strings.Join(f.story, ", "))
	if len(faults) > 0 {
		dir := filepath.Join(os.TempDir(), fmt.Sprintf("galenalatch-soak-%d-%d", seed, os.Getpid()))
		assert.NilError(t, os.CopyFS(dir, os.DirFS(f.dir)))
		t.Errorf("seed %d, logs in %s:\n%s", seed, dir, strings.Join(faults[:min(len(faults), 10)], "\n"))
	}
}
