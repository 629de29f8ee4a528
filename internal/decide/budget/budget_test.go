package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against more retries than the budget allows in any window.
func TestBudget(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Ratio: 0.2, Fixed: 3, Window: window}
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		within := func(times []time.Time, span time.Duration) int {
			n := 0
			for _, at := range times {
				if now.Sub(at) < span {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if !b.TakeRetry(now) {
				continue
			}
			repeats = append(repeats, now)
			// Requests are counted for up to one bucket longer than the window.
			limit := 0.2*float64(within(requests, window+window/(buckets-1))) + 3
			if n := within(repeats, window); float64(n) > limit {
				t.Fatalf("%d repeats in a window; allowed: %.1f", n, limit)
			}
		}
	})
}

// Guards against a budget that stays used up after its window.
func TestBudgetRefills(t *testing.T) {
	b := Budget{Fixed: 1, Window: time.Second}
	now := time.Unix(1000, 0)
	assert.Assert(t, b.TakeRetry(now))
	assert.Assert(t, !b.TakeRetry(now.Add(900*time.Millisecond)))
	assert.Assert(t, b.TakeRetry(now.Add(1100*time.Millisecond)))
}

// Guards against a budget that is full again too early: a request counted with
// its arrival time, after a retry with a later time, made the window drop the
// retries in it.
func TestEarlierArrival(t *testing.T) {
	b := Budget{Fixed: 2, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	later := now.Add(3 * time.Second)
	assert.Assert(t, b.TakeRetry(now))
	assert.Assert(t, b.TakeRetry(later))
	b.CountRequest(now)
	assert.Assert(t, !b.TakeRetry(later))
}
