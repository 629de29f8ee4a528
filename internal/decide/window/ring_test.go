package window

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func sum(r *Ring[int], now time.Time) int {
	total := 0
	for n := range r.All(now) {
		total += n
	}
	return total
}

// Guards against a window that is cleared by a call with a slightly earlier
// time, as concurrent callers have.
func TestEarlierTimes(t *testing.T) {
	r := New[int](time.Second, 4)
	now := time.Unix(1000, 0)
	*r.Bucket(now)++
	*r.Bucket(now.Add(1500 * time.Millisecond))++
	*r.Bucket(now.Add(900 * time.Millisecond))++
	assert.Equal(t, sum(r, now.Add(1500*time.Millisecond)), 3)
	assert.Equal(t, sum(r, now), 3)
}

// Guards against counts that stay longer than the window or leave it early.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const width, buckets = 10, 4
		r := New[int](width, buckets)
		start := time.Unix(1000, 0)
		var counted []int
		at := 0
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			at += rapid.IntRange(0, 60).Draw(t, "pause")
			*r.Bucket(start.Add(time.Duration(at)))++
			counted = append(counted, at)
		}
		at += rapid.IntRange(0, 60).Draw(t, "end")
		want, first := 0, counted[0]
		for _, c := range counted {
			if (at-first)/width-(c-first)/width < buckets {
				want++
			}
		}
		assert.Equal(t, sum(r, start.Add(time.Duration(at))), want)
	})
}
