package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/fleet/members"
	"github.com/galenalatch/galenalatch/internal/fleet/relay"
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
	var list []members.Member
	for i := range 40 {
		list = append(list, members.Member{ID: galenalatch.RouterID(fmt.Sprint("r", i)), DataCentre: galenalatch.DataCentre("ab"[i%2 : i%2+1])})
	}
	for _, n := range []int{1, relayFleet} {
		assert.Equal(t, relayMode("r0", "a", list[:n]), relay.Alone)
	}
	relaying := make(map[galenalatch.DataCentre]int)
	for _, m := range list {
		if relayMode(m.ID, m.DataCentre, list) == relay.Relaying {
			relaying[m.DataCentre]++
		}
	}
	assert.DeepEqual(t, relaying, map[galenalatch.DataCentre]int{"a": relayCount, "b": relayCount})
	// A router that is not in the list itself leaves it to the others.
	assert.Equal(t, relayMode("r99", "a", list), relay.Listening)
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
