package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// Guards against streams of one version that pass the bounds of an order, and against a
// version that has failed and still gets them.
func TestPinnedStreamsKeepBounds(t *testing.T) {
	servers := map[string]float64{"v1": 8, "v2": 8}
	runFleet(t, 1, func(f *fleet) {
		r := f.routers[0]
		f.tick(time.Second)
		assert.DeepEqual(t, r.Weigh(testService, servers), map[string]float64{"v1": 8, "v2": 8 * testBounds.CanaryShare() / (1 - testBounds.CanaryShare())})
		_, ok := r.ChooseVersion(time.Now(), testService, "route", "v1")
		assert.Assert(t, ok)
		allowed := 0
		for range 1000 {
			if _, ok := r.ChooseVersion(time.Now(), testService, "route", "v2"); ok {
				allowed++
			}
		}
		assert.Assert(t, float64(allowed) <= testBounds.Share*float64(f.requests)+testBounds.Slack, "%d streams after %d requests", allowed, f.requests)
		f.good = f.failing
		f.tickUntil(galenalatch.RolloutRolledBack)
		_, ok = r.ChooseVersion(time.Now(), testService, "route", "v2")
		assert.Assert(t, !ok)
		assert.DeepEqual(t, r.Weigh(testService, servers), map[string]float64{"v1": 8})
	})
}

// Guards against new streams that go on to begin at the old version when an order is done,
// and against those that have begun there and cannot go on.
func TestPinnedStreamsFollowOrder(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		r := f.routers[0]
		f.tickUntil(galenalatch.RolloutDone)
		assert.DeepEqual(t, r.Weigh(testService, map[string]float64{"v1": 8, "v2": 8}), map[string]float64{"v2": 8})
		choice, ok := r.ChooseVersion(time.Now(), testService, "route", "v1")
		assert.Assert(t, ok && choice.Versions.Pinned && choice.Versions.Pin == "v1")
	})
}
