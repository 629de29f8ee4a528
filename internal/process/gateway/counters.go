package gateway

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/galenalatch/galenalatch/internal/caller/host"
)

// firstBuckets cover the time to the first piece of an answer, in seconds.
var firstBuckets = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.2, 2, 4, 8}

// counters are the metrics of a gateway. Series are bounded by the routes of
// the configuration, never by workspaces.
type counters struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	attempts *prometheus.CounterVec
	first    *prometheus.HistogramVec
	dials    prometheus.Counter
}

func newCounters(dropped func() int64) *counters {
	c := &counters{
		registry: prometheus.NewRegistry(),
		answers:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galenalatch_gateway_answers_total", Help: "Final answers of requests that were sent to a backend server, by status; 0 stands for a closed connection."}, []string{"status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galenalatch_gateway_refusals_total", Help: "Requests that were not run, by kind."}, []string{"kind"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galenalatch_gateway_attempts_total", Help: "Attempts at backend servers by result."}, []string{"result"}),
		first:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "galenalatch_gateway_first_piece_seconds", Help: "Time from the arrival of a request to the first piece of its answer, by service.", Buckets: firstBuckets}, []string{"service"}),
		dials:    prometheus.NewCounter(prometheus.CounterOpts{Name: "galenalatch_gateway_dials_total", Help: "New connections to backend servers."}),
	}
	lines := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "galenalatch_log_lines_dropped_total", Help: "Log lines that were not written."},
		func() float64 { return float64(dropped()) })
	c.registry.MustRegister(c.answers, c.refusals, c.attempts, c.first, c.dials, lines, collectors.NewGoCollector())
	return c
}

func (c *counters) ended(d host.Decision, status int, err error) {
	c.answers.WithLabelValues(strconv.Itoa(status)).Inc()
	if err == nil && d.FirstByte > 0 {
		c.first.WithLabelValues(d.Service).Observe(d.FirstByte.Seconds())
	}
}

func (c *counters) handler() http.Handler {
	return promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2})
}
