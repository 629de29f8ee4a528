package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

// Guards against a level at which a workspace gets less than its max-min
// share, or all together more than the capacity.
func TestLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "asked")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		uses := make(map[uint32]Use)
		for i, a := range asked {
			uses[uint32(i)] = Use{Asked: a}
		}
		level := Level(uses, capacity)
		given, cut := 0.0, false
		for _, a := range asked {
			given += min(a, level)
			cut = cut || a > level
		}
		if given > capacity*1.000001 {
			t.Fatalf("%.1f given of %.1f", given, capacity)
		}
		if cut && given < capacity*0.999999 {
			t.Fatalf("a workspace is cut at %.1f although %.1f of %.1f is left", level, capacity-given, capacity)
		}
	})
}

// Guards against shares that one router judges by its own callers alone, and
// against sums of routers that were not heard for long.
func TestFraction(t *testing.T) {
	const window = 4 * time.Second
	l := New(window)
	now := time.Unix(1000, 0)
	l.Add(now, "large", Use{Asked: 3000, Begun: 500})
	l.Add(now, "small", Use{Asked: 100, Begun: 100})
	// 2,000 tokens in the window: the small one gets 100, the large one 1,900.
	assert.Equal(t, l.Fraction(now, "large", 500), 500.0/1900)
	l.SetRemote(now, "r2", map[uint32]Use{Key("large"): {Asked: 3000, Begun: 1400}})
	now = now.Add(levelTime + time.Millisecond)
	assert.Equal(t, l.Fraction(now, "large", 500), 1.0)
	now = now.Add(maxRemoteAge)
	assert.Equal(t, l.Fraction(now, "large", 500), 500.0/1900)
	now = now.Add(window)
	assert.Equal(t, l.Fraction(now, "large", 500), 0.0)
	assert.Equal(t, len(l.Own(now)), 0)
}

// Guards against accounts that are kept for workspaces without requests.
func TestOwnForgets(t *testing.T) {
	l := New(time.Second)
	now := time.Unix(1000, 0)
	for _, w := range []galenalatch.WorkspaceName{"a", "b"} {
		l.Add(now, w, Use{Asked: 1})
	}
	assert.Equal(t, len(l.Own(now)), 2)
	assert.Equal(t, len(l.Own(now.Add(2*time.Second))), 0)
	assert.Equal(t, len(l.accounts), 0)
}
