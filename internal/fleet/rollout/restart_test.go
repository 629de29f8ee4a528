package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
)

// restart replaces a router by a new one that knows nothing.
func (f *fleet) restart() *testRouter {
	f.routers[0].stop()
	f.routers = f.routers[1:]
	f.addRouter(f.ids[0])
	return f.routers[len(f.routers)-1]
}

// sends returns how many of 300 choices of a router go to the target, or may.
func (r *testRouter) sends() int {
	sent := 0
	for range 300 {
		c := r.Choose(time.Now(), testService, "a", rand.Uint64())
		if c.exposed || !c.Versions.Avoid["v2"] {
			sent++
		}
		c.End(Answer{Void: true})
	}
	return sent
}

// Guards against a restarted router that sends to a version which the others have rolled
// back: before it has read the servers, or while it cannot read the status.
func TestRestartedRouter(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		f.good = f.failing
		f.tickUntil(galenalatch.RolloutRolledBack)
		r := f.restart()
		r.store.cut.Store(true)
		f.readOrders()
		assert.Equal(t, r.sends(), 0, "without servers")
		f.register("v2", 0)
		time.Sleep(interval / 2)
		f.register("v1", 0)
		assert.Equal(t, r.sends(), 0, "without a look at the servers")
		f.tick(2 * time.Second)
		assert.Equal(t, r.sends(), 0, "without the status")
		r.store.cut.Store(false)
		f.tick(2 * time.Second)
		assert.Equal(t, r.sends(), 0, "with the status")
	})
}

// Guards against an order that a restarted router calls done because it has read the
// servers of the new version first.
func TestRestartedRouterReadsServers(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		f.tick(duration / 4)
		r := f.restart()
		f.readOrders()
		f.register("v2", 0)
		time.Sleep(2 * interval)
		s := (*r.active.Load())[testService]
		s.mu.Lock()
		due := s.order.due.State
		s.mu.Unlock()
		assert.Assert(t, due != galenalatch.RolloutDone)
		f.register("v1", 0)
		f.tick(time.Second)
		assert.Equal(t, f.status().State, galenalatch.RolloutRunning)
	})
}

// Guards against a router that has not read the newest order and replaces its status.
func TestStatusOfNewerOrder(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		f.tick(time.Second)
		newer := f.status()
		newer.Order, newer.Target, newer.State = newer.Order+1, "v3", galenalatch.RolloutRolledBack
		row, err := jsonRows{}.Encode(newer)
		assert.NilError(t, err)
		assert.NilError(t, f.store.Write(t.Context(), jsonRows{}.Table(), row))
		f.tick(2 * time.Second)
		assert.Equal(t, f.status().Target, "v3")
		assert.Equal(t, f.routers[0].sends(), 0)
	})
}

// Guards against a release without an order that is refused while its new version is held,
// and against a held version that gets requests although the old one can take them.
func TestReleaseWithoutOrder(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		f.store.Order(galenalatch.RolloutOrder{Service: testService, Removed: true})
		f.readOrders()
		f.tick(time.Second)
		r := f.routers[0]
		f.register("v4", r.operatorsSeen.Version+1)
		served := func(version string) bool {
			c := r.Choose(time.Now(), testService, "a", rand.Uint64())
			for {
				p, ok := r.Table.Choose(time.Now(), placement.Request{Service: testService, Versions: c.Versions})
				if ok || !c.FallBack() {
					return ok && p.Version == version
				}
			}
		}
		assert.Assert(t, served("v1"))
		for _, v := range []string{"v1", "v2"} {
			for i := range 8 {
				r.Table.Remove(galenalatch.ServerID(fmt.Sprint(v, "-", i)), time.Now())
			}
		}
		assert.Assert(t, served("v4"))
	})
}

// Guards against requests to the old version, whose servers may stop at any time, by a
// router that has reported that it has left them.
func TestLeftOldVersion(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		r := f.routers[0]
		for reports := r.Reports(time.Now()); len(reports) == 0 || reports[0].Settled == 0; reports = r.Reports(time.Now()) {
			f.tick(50 * time.Millisecond)
		}
		c := r.Choose(time.Now(), testService, "a", 1)
		assert.Assert(t, !c.FallBack())
		assert.ErrorIs(t, c.Send("v1"), errStopped)
		c.End(Answer{Void: true})
	})
}
