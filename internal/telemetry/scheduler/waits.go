// Package scheduler measures how long goroutines wait for the processor.
package scheduler

import (
	"runtime/metrics"
	"time"
)

// metric is the histogram of the runtime with the times that goroutines were
// runnable before they ran. The runtime samples one in eight.
const metric = "/sched/latencies:seconds"

// minSamples is the number of waits below which there is no quantile.
const minSamples = 4

// Waits measures the waits of goroutines. A timer does not show them, since an
// expired timer runs before the goroutines that wait. Waits is not safe for
// concurrent use.
type Waits struct {
	samples []metrics.Sample
	// last holds the counts of the buckets at the last call of Quantile.
	last []uint64
}

// New returns a measurement that starts now.
func New() *Waits {
	w := &Waits{samples: []metrics.Sample{{Name: metric}}}
	w.Quantile(0)
	return w
}

// Quantile returns a quantile of the waits that ended since the last call, or 0
// if there were few.
func (w *Waits) Quantile(q float64) time.Duration {
	metrics.Read(w.samples)
	h := w.samples[0].Value.Float64Histogram()
	if w.last == nil {
		w.last = make([]uint64, len(h.Counts))
	}
	return quantile(h.Counts, h.Buckets, w.last, q)
}

// quantile returns a quantile of the values that were counted since last, and
// copies the counts to last. The value is the lower bound of its bucket.
func quantile(counts []uint64, bounds []float64, last []uint64, q float64) time.Duration {
	total := uint64(0)
	for i, n := range counts {
		total += n - last[i]
	}
	rank, seen, value := uint64(q*float64(total)), uint64(0), 0.0
	for i, n := range counts {
		seen += n - last[i]
		if seen > rank {
			value = max(bounds[i], 0)
			break
		}
	}
	copy(last, counts)
	if total < minSamples {
		return 0
	}
	return time.Duration(value * float64(time.Second))
}
