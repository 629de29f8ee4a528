package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/fleet/relay"
	"github.com/galenalatch/galenalatch/internal/fleet/topology"
)

// Guards against shares of the retry budget that together exceed it, also
// while some routers do not know the newest ones.
func TestFixedRepeats(t *testing.T) {
	g := &Gateway{settings: gateway.Default()}
	assert.Equal(t, g.fixedRepeats(), 0.0, "without a list of routers")
	for _, routers := range []int{1, 8, 81, 400} {
		g.routers.Store(int64(routers))
		sum := g.fixedRepeats() * float64(routers+budgetSpare)
		assert.Assert(t, sum <= g.settings.Repeats.Fixed, "%d routers together: %.1f", routers, sum)
	}
}

// Guards against large fleets in which all or none follow the store.
func TestRelayMode(t *testing.T) {
	var list []galenalatch.Instance
	for i := range 40 {
		list = append(list, galenalatch.Instance{ID: fmt.Sprint("r", i), DataCentre: galenalatch.DataCentre("ab"[i%2 : i%2+1])})
	}
	for _, n := range []int{1, topology.SmallFleet} {
		assert.Equal(t, relayMode(topology.New("r0", "a", list[:n])), relay.Alone)
	}
	relaying := make(map[galenalatch.DataCentre]int)
	for _, i := range list {
		if relayMode(topology.New(galenalatch.RouterID(i.ID), i.DataCentre, list)) == relay.Relaying {
			relaying[i.DataCentre]++
		}
	}
	assert.DeepEqual(t, relaying, map[galenalatch.DataCentre]int{"a": topology.RelaysEach, "b": topology.RelaysEach})
	// A router that is not in the list itself leaves it to the others.
	assert.Equal(t, relayMode(topology.New("r99", "a", list)), relay.Listening)
}

// Guards against a router that stays ready while its work waits for the
// processor, and one that is not ready after a single long pause.
func TestPressure(t *testing.T) {
	now := time.Unix(1000, 0)
	var p pressure
	p.observe(now, 10*time.Second)
	assert.Assert(t, !p.high(now), "one pause")
	for range 20 {
		now = now.Add(pressureTick)
		p.observe(now, 2*pressureLimit)
	}
	assert.Assert(t, p.high(now))
	assert.Assert(t, !p.high(now.Add(pressureHold)))
}
