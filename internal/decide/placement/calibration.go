package placement

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of newest samples that are kept. priorSamples
	// samples at the configured value are added to them, so that a few samples
	// have little effect.
	maxSamples   = 32
	priorSamples = 2
	// sampleQuantile is the quantile of the samples that is used. It is low
	// because the work of other routers that was not reported yet only makes
	// samples longer.
	sampleQuantile = 0.2
	// A request with a nominal prefill time of at least longPrefill is a sample
	// of the prefill rate, one of at most shortPrefill a sample of the
	// remaining time to the first token.
	longPrefill  = 60 * time.Millisecond
	shortPrefill = 30 * time.Millisecond
	// maxSampleAge is the age above which a sample is ignored. A router that
	// predicts long waits sends few requests, and would not get the samples
	// that correct its prediction.
	maxSampleAge = 15 * time.Second
	// minPrefillFactor and maxPrefillFactor bound the prefill time as a
	// multiple of the configured one, maxFirstToken the time from the end of
	// the prefill to the first token.
	minPrefillFactor = 0.33
	maxPrefillFactor = 3
	maxFirstToken    = 500 * time.Millisecond
)

// calibration corrects the configured timing of a service's engines by the
// measured times to the first token. Engines that serve another model than the
// one the settings were made for have another prefill rate.
type calibration struct {
	// prefillFactor is the prefill time as a multiple of the configured one,
	// firstToken the time from the end of the prefill to the first token.
	prefillFactor float64
	firstToken    time.Duration

	prefillFactors samples[float64]
	firstTokens    samples[time.Duration]
}

// calibration returns the calibration of a service's engines.
func (t *Table) calibration(service string) *calibration {
	c, ok := t.calibrations[service]
	if !ok {
		c = &calibration{prefillFactor: 1, firstToken: t.FirstToken, prefillFactors: samples[float64]{prior: 1}, firstTokens: samples[time.Duration]{prior: t.FirstToken}}
		t.calibrations[service] = c
	}
	return c
}

// Calibration returns the measured prefill time of a service's engines as a
// multiple of the configured one, and the time from the end of the prefill to
// the first token.
func (t *Table) Calibration(service string) (factor float64, first time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calibration(service)
	return c.prefillFactor, c.firstToken
}

// observe adds the measured time to a first token. nominal is the prefill time
// at the configured rate that it includes.
func (c *calibration) observe(now time.Time, nominal, took time.Duration) {
	switch {
	case nominal >= longPrefill:
		v := float64(took-c.firstToken) / float64(nominal)
		c.prefillFactors.add(now, min(max(v, minPrefillFactor), maxPrefillFactor))
	case nominal <= shortPrefill:
		c.firstTokens.add(now, min(max(took-c.prefillTime(nominal), 0), maxFirstToken))
	}
}

// update recomputes the values from the samples.
func (c *calibration) update(now time.Time) {
	c.prefillFactor, c.firstToken = c.prefillFactors.quantile(now), c.firstTokens.quantile(now)
}

// prefillTime returns the calibrated prefill time for a nominal one.
func (c *calibration) prefillTime(nominal time.Duration) time.Duration {
	return time.Duration(c.prefillFactor * float64(nominal))
}

// nominal is the inverse of prefillTime.
func (c *calibration) nominal(prefill time.Duration) time.Duration {
	return time.Duration(float64(prefill) / c.prefillFactor)
}

// samples holds the newest values of a measurement.
type samples[T float64 | time.Duration] struct {
	prior  T
	values []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

func (s *samples[T]) add(now time.Time, v T) {
	if len(s.values) == maxSamples {
		s.values = slices.Delete(s.values, 0, 1)
	}
	s.values = append(s.values, sample[T]{now, v})
}

// quantile drops samples that are too old and returns the quantile of the
// others and the prior.
func (s *samples[T]) quantile(now time.Time) T {
	s.values = slices.DeleteFunc(s.values, func(v sample[T]) bool { return now.Sub(v.at) > maxSampleAge })
	sorted := slices.Repeat([]T{s.prior}, priorSamples)
	for _, v := range s.values {
		sorted = append(sorted, v.value)
	}
	slices.Sort(sorted)
	return sorted[int(sampleQuantile*float64(len(sorted)))]
}
