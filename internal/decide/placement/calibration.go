package placement

import (
	"slices"
	"time"
)

const (
	// paceSamples is the number of newest first tokens that count. At the
	// start pacePrior of them are as configured, so that a few say little.
	paceSamples = 32
	pacePrior   = 2
	// paceQuantile is the place among the samples that is taken. Work of other
	// routers that is not known yet only makes samples longer.
	paceQuantile = 0.2
	// longReading is the reading time from which on a first token tells how
	// quickly engines read, shortReading the one up to which it tells what
	// else a first token takes.
	longReading  = 60 * time.Millisecond
	shortReading = 30 * time.Millisecond
	// paceMemory is the age above which a first token counts no more. A router
	// that predicts long waits sends little and would not see that it is
	// wrong.
	paceMemory = 15 * time.Second
	// quickest and slowest bound the reading time as a multiple of the
	// configured one, latest the time from the end of reading to the first
	// token.
	quickest = 0.33
	slowest  = 3
	latest   = 500 * time.Millisecond
)

// pace is how quickly the engines of a service give first tokens, as their
// first tokens have shown it. Engines of other models than the settings were
// made for read at another rate.
type pace struct {
	// factor is the reading time as a multiple of the configured one, first
	// the time from the end of reading to the first token.
	factor float64
	first  time.Duration

	factors samples[float64]
	firsts  samples[time.Duration]
}

// pace returns the pace of a service's engines.
func (t *Table) pace(service string) *pace {
	p, ok := t.paces[service]
	if !ok {
		p = &pace{factor: 1, first: t.FirstToken, factors: samples[float64]{prior: 1}, firsts: samples[time.Duration]{prior: t.FirstToken}}
		t.paces[service] = p
	}
	return p
}

// Pace returns the reading time of a service's engines as a multiple of the
// configured one, and the time from the end of reading to the first token.
func (t *Table) Pace(service string) (factor float64, first time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pace(service)
	return p.factor, p.first
}

// observe takes the time to a first token for which the engine had to read
// for the nominal time at the configured rate.
func (p *pace) observe(now time.Time, nominal, took time.Duration) {
	switch {
	case nominal >= longReading:
		v := float64(took-p.first) / float64(nominal)
		p.factors.add(now, min(max(v, quickest), slowest))
	case nominal <= shortReading:
		p.firsts.add(now, min(max(took-p.reading(nominal), 0), latest))
	}
}

// follow takes what the first tokens up to now have shown.
func (p *pace) follow(now time.Time) {
	p.factor, p.first = p.factors.quantile(now), p.firsts.quantile(now)
}

// reading returns the reading time where the one at the configured rate is
// nominal.
func (p *pace) reading(nominal time.Duration) time.Duration {
	return time.Duration(p.factor * float64(nominal))
}

// nominal is the inverse of reading.
func (p *pace) nominal(reading time.Duration) time.Duration {
	return time.Duration(float64(reading) / p.factor)
}

// samples are the newest values of a measurement.
type samples[T float64 | time.Duration] struct {
	prior  T
	values []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

func (s *samples[T]) add(now time.Time, v T) {
	if len(s.values) == paceSamples {
		s.values = slices.Delete(s.values, 0, 1)
	}
	s.values = append(s.values, sample[T]{now, v})
}

// quantile returns the quantile of the values that count.
func (s *samples[T]) quantile(now time.Time) T {
	s.values = slices.DeleteFunc(s.values, func(v sample[T]) bool { return now.Sub(v.at) > paceMemory })
	sorted := slices.Repeat([]T{s.prior}, pacePrior)
	for _, v := range s.values {
		sorted = append(sorted, v.value)
	}
	slices.Sort(sorted)
	return sorted[int(paceQuantile*float64(len(sorted)))]
}
