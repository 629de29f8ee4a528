package process

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Gauges names the gauges of the metrics page. Waiting may be empty; then
// Running counts the waiting requests as well.
type Gauges struct {
	Running string
	Waiting string
}

// sample is the load from a point in time on.
type sample struct {
	at      time.Time
	running int
	waiting int
}

// maxLag bounds how long samples are kept.
const maxLag = time.Minute

func (p *Process) sampleLocked() {
	now := time.Now()
	p.history = append(p.history, sample{now, p.current.running, p.current.waiting})
	lag := min(maxLag, time.Duration(p.failures.LagMillis)*time.Millisecond)
	drop := 0
	for drop+1 < len(p.history) && !p.history[drop+1].at.After(now.Add(-lag)) {
		drop++
	}
	p.history = p.history[drop:]
}

// reported returns the load as it was before the injected lag.
func (p *Process) reported() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures.LagMillis <= 0 {
		return p.current.running, p.current.waiting
	}
	at := time.Now().Add(-time.Duration(p.failures.LagMillis) * time.Millisecond)
	for _, s := range p.history {
		if s.at.After(at) {
			break
		}
		running, waiting = s.running, s.waiting
	}
	return running, waiting
}

func (p *Process) metricsHandler() http.Handler {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("process_start_time_seconds", "Start time of the process since the Unix epoch.", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.current.started
	})
	gauge("server_leaving", "Whether the process will stop soon.", func() float64 {
		if p.Failures().Leaving {
			return 1
		}
		return 0
	})
	gauge(p.gauges.Running, "Number of requests that run.", func() float64 {
		running, waiting := p.reported()
		if p.gauges.Waiting != "" {
			running -= waiting
		}
		return float64(running)
	})
	if p.gauges.Waiting != "" {
		gauge(p.gauges.Waiting, "Number of requests that wait for a slot.", func() float64 {
			_, waiting := p.reported()
			return float64(waiting)
		})
	}
	page := promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			p.mu.Lock()
			ok, hang, changed := alive(r, p.current), p.failures.HangReports, p.changed
			p.mu.Unlock()
			if !ok {
				Abort(w)
				return
			}
			if !hang {
				break
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
		}
		page.ServeHTTP(w, r)
	})
}
