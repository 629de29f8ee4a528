package proof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against ages that are less than the true age, and against bounds of
// the clock offset that are kept when the store's clock restarts or another store
// answers.
func TestTracker(t *testing.T) {
	var k Tracker
	_, ok := k.Age(0)
	assert.Assert(t, !ok, "no proof before the first call")
	k.Relayed(50*ms, 1000*ms)
	_, ok = k.Age(60 * ms)
	assert.Assert(t, !ok, "a relayed stamp alone proves nothing")

	// The clocks differ by 900 ms, the call takes 4 ms.
	k.Observe(100*ms, 104*ms, 1002*ms)
	age, ok := k.Age(104 * ms)
	assert.Assert(t, ok)
	assert.Equal(t, age, 4*ms)

	// The store answers at once, but the answer is read after a pause of 5 s.
	k.Observe(200*ms, 5300*ms, 1210*ms)
	age, _ = k.Age(5300 * ms)
	assert.Equal(t, age, 4992*ms)

	// A slow first call leaves the offset of the clocks uncertain until a fast
	// one.
	var late Tracker
	late.Observe(0, 700*ms, 650*ms)
	assert.Equal(t, late.Uncertainty(), 700*ms)
	late.Observe(2000*ms, 2004*ms, 1952*ms)
	assert.Equal(t, late.Uncertainty(), 2*ms)
	age, _ = late.Age(2004 * ms)
	assert.Equal(t, age, 4*ms)

	k.Relayed(5400*ms, 6250*ms)
	age, _ = k.Age(5400 * ms)
	assert.Equal(t, age, 52*ms)

	// The store's clock has restarted.
	k.Observe(6000*ms, 6004*ms, 10*ms)
	age, _ = k.Age(6004 * ms)
	assert.Equal(t, age, 4*ms)
	assert.Equal(t, k.Uncertainty(), 4*ms)

	// The store's clock has restarted with a higher reading.
	k.Observe(7000*ms, 7004*ms, 100_000*ms)
	age, _ = k.Age(7004 * ms)
	assert.Equal(t, age, 4*ms)
	assert.Equal(t, k.Uncertainty(), 4*ms)

	// Another store, whose clock is a little behind, has taken the place of the first.
	k.Restart()
	k.Relayed(7500*ms, 99_700*ms)
	k.Observe(8000*ms, 8004*ms, 100_200*ms)
	age, _ = k.Age(8004 * ms)
	assert.Equal(t, age, 4*ms)
	assert.Equal(t, k.Uncertainty(), 4*ms)
}

// Guards against an age less than the time since the store answered, for any
// delays of the calls.
func TestAgeIsNeverTooSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Tracker
		offset := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "offset")) * ms
		now, newest := time.Duration(0), time.Duration(-1)
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			sent := now + time.Duration(rapid.IntRange(0, 500).Draw(t, "pause"))*ms
			answered := sent + time.Duration(rapid.IntRange(0, 3000).Draw(t, "there"))*ms
			received := answered + time.Duration(rapid.IntRange(0, 3000).Draw(t, "back"))*ms
			if rapid.Bool().Draw(t, "relayed") {
				k.Relayed(received, answered+offset)
			} else {
				k.Observe(sent, received, answered+offset)
			}
			newest, now = max(newest, answered), received
			if age, ok := k.Age(now); ok && age < now-newest {
				t.Fatalf("age %s, but the newest answer is %s old", age, now-newest)
			}
		}
	})
}
