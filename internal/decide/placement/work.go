package placement

import (
	"time"

	"github.com/galenalatch/galenalatch/internal/decide/hitrate"
)

const (
	// meanSamples is the number of newest requests that an average covers.
	meanSamples = 50
	// maxUtilization bounds the estimated utilization, so that the delay of the
	// requests behind one stays finite.
	maxUtilization = 0.8
	// maxBusy bounds the time over which requests count as delayed by one before
	// them. Requests after that are refused by admission.
	maxBusy = time.Second
)

// work is what a router knows of the requests to the engines of a service.
type work struct {
	// duration is the time in seconds from the choice to the end, prefill the part
	// of it for the prefill.
	duration average
	prefill  average
	// size is the number of tokens of a prompt, fresh those of them that are not kept.
	size  average
	fresh average
	// arrivals is the number of requests of all routers for one engine in a second.
	arrivals float64
	// homes is the share of first tokens that came as quickly as kept parts
	// predict, by the rank of the home.
	homes [homeCount]hitrate.Rate
	// punctual is the share of first tokens that came as quickly among those that
	// depend on no kept parts: others are late for another reason than a part that
	// is not kept. saved is the mean time in seconds by which such expectations differ.
	punctual hitrate.Rate
	saved    average
	// prefillPredicted and prefillSeen are the mean prefill times in seconds of the
	// requests whose first token tells, as predicted and as it came.
	prefillPredicted average
	prefillSeen      average
	// updated is when the tokens that engines read for other routers were counted.
	updated time.Time
}

// average is a moving average. The first values count as much as later ones.
type average struct {
	count int
	value float64
}

func (a *average) add(v float64) {
	a.count = min(a.count+1, meanSamples)
	a.value += (v - a.value) / float64(a.count)
}

func (t *Table) serviceWork(service string) *work {
	w, ok := t.work[service]
	if !ok {
		w = &work{}
		t.work[service] = w
	}
	return w
}

// updateWork counts what engines have read for other routers, and the requests that
// arrive at an engine, by Little's law: those that run by the time that each runs.
func (t *Table) updateWork(now time.Time) {
	for name, w := range t.work {
		if w.duration.value <= 0 || len(t.services[name]) == 0 {
			continue
		}
		elapsed := min(now.Sub(w.updated), maxRemoteAge).Seconds()
		w.updated = now
		busy := 0
		for _, s := range t.services[name] {
			busy += s.running + s.remote.Running
			s.cache.Read(float64(s.remote.Running) / w.duration.value * elapsed * w.fresh.value)
		}
		w.arrivals = float64(busy) / w.duration.value / float64(len(t.services[name]))
	}
}

// maxCountedTokens is the size, in tokens, above which a prompt is left out of the means:
// a caller may announce an absurd one.
const maxCountedTokens = 1 << 20

// recordChoice counts a request that was placed.
func (w *work) recordChoice(p *Reservation, size int) {
	if size > maxCountedTokens {
		return
	}
	w.size.add(float64(size))
	w.fresh.add(float64(size - p.Cached))
	w.prefill.add(p.Prefill.Seconds())
}

// delay is the estimate of how many requests wait longer because of a prefill.
type delay struct {
	arrivals float64
	// idle is the part of the time in which an engine has nothing to prefill.
	idle float64
}

func (w *work) delay() delay {
	return delay{arrivals: w.arrivals, idle: 1 - min(w.arrivals*w.prefill.value, maxUtilization)}
}

// of returns the sum of the delays that a prefill behind a backlog causes: it delays
// the requests that arrive until the engine has nothing left to prefill.
func (d delay) of(backlog, prefill time.Duration) time.Duration {
	busy := min(float64(backlog+prefill/2)/d.idle, float64(maxBusy))
	return time.Duration(d.arrivals * busy / float64(time.Second) * float64(prefill))
}
