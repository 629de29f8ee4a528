package process

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Gauges holds the names of the gauges on the metrics page. If Waiting is
// empty, Running includes the waiting requests.
type Gauges struct {
	Running string
	Waiting string
}

// loadSample is the load from the time at until the next sample.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// maxLag limits how long samples are kept.
const maxLag = time.Minute

// recordLoadLocked appends a sample of the current load and drops the samples
// that the injected lag does not need any more.
func (p *Process) recordLoadLocked() {
	now := time.Now()
	p.loadHistory = append(p.loadHistory, loadSample{now, p.current.running, p.current.waiting})
	lag := min(maxLag, time.Duration(p.failures.LagMillis)*time.Millisecond)
	expired := 0
	for expired+1 < len(p.loadHistory) && !p.loadHistory[expired+1].at.After(now.Add(-lag)) {
		expired++
	}
	p.loadHistory = p.loadHistory[expired:]
}

// laggedLoad returns the load that the metrics page shows: the load at the time
// that lies the injected lag in the past.
func (p *Process) laggedLoad() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures.LagMillis <= 0 {
		return p.current.running, p.current.waiting
	}
	at := time.Now().Add(-time.Duration(p.failures.LagMillis) * time.Millisecond)
	for _, s := range p.loadHistory {
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
		running, waiting := p.laggedLoad()
		if p.gauges.Waiting != "" {
			running -= waiting
		}
		return float64(running)
	})
	if p.gauges.Waiting != "" {
		gauge(p.gauges.Waiting, "Number of requests that wait for a slot.", func() float64 {
			_, waiting := p.laggedLoad()
			return float64(waiting)
		})
	}
	metrics := promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			p.mu.Lock()
			current, hang, failuresChanged := isCurrentConnection(r, p.current), p.failures.HangReports, p.failuresChanged
			p.mu.Unlock()
			if !current {
				Abort(w)
				return
			}
			if !hang {
				break
			}
			select {
			case <-failuresChanged:
			case <-r.Context().Done():
				return
			}
		}
		metrics.ServeHTTP(w, r)
	})
}
