package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// maxSamples is the number of newest samples that are kept. priorSamples
	// samples as configured are added to them, half of them with a prefill time
	// of priorPrefill and half with none, so that a few samples have little
	// effect.
	maxSamples   = 64
	priorSamples = 4
	priorPrefill = 60 * time.Millisecond
	// sampleQuantile is the quantile of the samples that is fitted. It is low
	// because the work of other routers that was not reported yet, and the
	// delay of this router, only make samples longer.
	sampleQuantile = 0.2
	// maxSampleAge is the age above which a sample is ignored. A router that
	// predicts long waits sends few requests, and would not get the samples
	// that correct its prediction.
	maxSampleAge = 15 * time.Second
	// minPrefillFactor and maxPrefillFactor bound the prefill time as a
	// multiple of the configured one, maxFirstToken the time from the end of
	// the prefill to the first token. factorStep is the resolution of the
	// multiple.
	minPrefillFactor = 0.33
	maxPrefillFactor = 3
	maxFirstToken    = 500 * time.Millisecond
	factorStep       = 1.1
	// deviationWeight makes factors far from the configured one count as a worse
	// fit, since samples of similar prompts fit many factors.
	deviationWeight = 0.2
)

// calibration corrects the configured timing of a service's engines by the
// measured times to the first token. Engines that serve another model than the
// one the settings were made for have another prefill rate.
type calibration struct {
	// prefillFactor is the prefill time as a multiple of the configured one,
	// firstToken the time from the end of the prefill to the first token.
	prefillFactor float64
	firstToken    time.Duration

	// configuredFirstToken is the value of firstToken without samples.
	configuredFirstToken time.Duration
	samples              []sample
}

// sample is the time that a first token took. nominal is the part of it for
// prefill at the configured rate.
type sample struct {
	at      time.Time
	nominal time.Duration
	took    time.Duration
}

// calibration returns the calibration of a service's engines.
func (t *Table) calibration(service string) *calibration {
	c, ok := t.calibrations[service]
	if !ok {
		c = &calibration{prefillFactor: 1, firstToken: t.FirstToken, configuredFirstToken: t.FirstToken}
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
	if len(c.samples) == maxSamples {
		c.samples = slices.Delete(c.samples, 0, 1)
	}
	took = min(took, maxFirstToken+time.Duration(maxPrefillFactor*float64(nominal)))
	c.samples = append(c.samples, sample{now, nominal, took})
}

// update recomputes the values from the samples that are not too old. It fits a
// line through them: a delay that all prompts share does not make the engines
// look slow.
func (c *calibration) update(now time.Time) {
	c.samples = slices.DeleteFunc(c.samples, func(v sample) bool { return now.Sub(v.at) > maxSampleAge })
	samples := slices.Repeat([]sample{
		{took: c.configuredFirstToken}, {nominal: priorPrefill, took: priorPrefill + c.configuredFirstToken},
	}, priorSamples/2)
	samples = append(samples, c.samples...)
	c.prefillFactor = fit(samples)
	c.firstToken = min(max(remainder(samples, c.prefillFactor), 0), maxFirstToken)
}

// fit returns the factor that fits the samples best.
func fit(samples []sample) float64 {
	factor, least := 1.0, loss(samples, 1)
	try := func(f float64) {
		if l := loss(samples, f) * (1 + deviationWeight*math.Abs(math.Log(f))); l < least {
			factor, least = f, l
		}
	}
	for f := factorStep; f < maxPrefillFactor; f *= factorStep {
		try(f)
	}
	for f := 1 / factorStep; f > minPrefillFactor; f /= factorStep {
		try(f)
	}
	try(maxPrefillFactor)
	try(minPrefillFactor)
	return factor
}

// remainder returns the quantile of what remains of the samples without the
// prefill.
func remainder(samples []sample, factor float64) time.Duration {
	remainders := make([]time.Duration, 0, maxSamples+priorSamples)
	for _, v := range samples {
		remainders = append(remainders, v.remainder(factor))
	}
	slices.Sort(remainders)
	return remainders[int(sampleQuantile*float64(len(remainders)))]
}

func (v sample) remainder(factor float64) time.Duration {
	return v.took - time.Duration(factor*float64(v.nominal))
}

// loss returns how far the samples are from the line with a factor, weighted for
// the quantile.
func loss(samples []sample, factor float64) float64 {
	first := remainder(samples, factor)
	above, below := time.Duration(0), time.Duration(0)
	for _, v := range samples {
		if d := v.remainder(factor) - first; d > 0 {
			above += d
		} else {
			below -= d
		}
	}
	return sampleQuantile*float64(above) + (1-sampleQuantile)*float64(below)
}

// prefillTime returns the calibrated prefill time for a nominal one.
func (c *calibration) prefillTime(nominal time.Duration) time.Duration {
	return time.Duration(c.prefillFactor * float64(nominal))
}

// nominal is the inverse of prefillTime.
func (c *calibration) nominal(prefill time.Duration) time.Duration {
	return time.Duration(float64(prefill) / c.prefillFactor)
}
