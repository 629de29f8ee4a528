package gateway

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/galenalatch/galenalatch/internal/caller/host"
	"github.com/galenalatch/galenalatch/internal/decide/memory"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
)

// firstByteBuckets are the histogram buckets for the time to the first byte of a
// response, in seconds.
var firstByteBuckets = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.2, 2, 4, 8}

// gatewayMetrics holds the metrics of a gateway. The number of series is bounded
// by the configuration and does not grow with the number of workspaces.
type gatewayMetrics struct {
	registry  *prometheus.Registry
	responses *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	// interruptions counts requests without a first event whose server crashed.
	interruptions *prometheus.CounterVec
	// limitChanges counts changes of the limits that servers name.
	limitChanges prometheus.Counter
	// pauses counts pauses that servers have asked for.
	pauses prometheus.Counter
	// invalidLoads counts servers that began to tell wrong figures for their load.
	invalidLoads prometheus.Counter
	heldParts    prometheus.Gauge
	firstByte    *prometheus.HistogramVec
	// keptTokens counts the prompt tokens that servers were expected to keep. The
	// others tell, by service, how well that agrees with first tokens.
	keptTokens       prometheus.Counter
	homeHits         *prometheus.GaugeVec
	prefillSeconds   *prometheus.GaugeVec
	forgetfulServers *prometheus.GaugeVec
	// panics counts requests that a defect of the router ended.
	panics prometheus.Counter
	dials  prometheus.Counter
	// rollouts counts changes of the status of orders, versionAnswers the answers of
	// services with an order by version.
	rollouts       *prometheus.CounterVec
	versionAnswers *prometheus.CounterVec
}

// counters are the values that other parts of the gateway count.
type counters struct {
	droppedLines, routers, shedConnections, fullConnections func() int64

	servers func(placement.Reason) int
	speeds  func() placement.Speeds
	memory  func() memory.Usage
}

func newMetrics(o counters) *gatewayMetrics {
	c := &gatewayMetrics{
		registry:         prometheus.NewRegistry(),
		responses:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galenalatch_gateway_answers_total", Help: "Final answers of requests that were sent to a backend server, by status; 0 stands for a closed connection."}, []string{"status"}),
		refusals:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galenalatch_gateway_refusals_total", Help: "Requests that were not run, by kind."}, []string{"kind"}),
		attempts:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galenalatch_gateway_attempts_total", Help: "Attempts at backend servers by result."}, []string{"result"}),
		interruptions:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galenalatch_gateway_interruptions_total", Help: "Requests with a prompt whose server crashed before their first event, by whether the answer had begun."}, []string{"begun"}),
		limitChanges:     prometheus.NewCounter(prometheus.CounterOpts{Name: "galenalatch_gateway_limit_changes_total", Help: "Changes of the limits that backend servers name in their answers."}),
		pauses:           prometheus.NewCounter(prometheus.CounterOpts{Name: "galenalatch_gateway_pauses_total", Help: "Pauses that backend servers have asked for in their answers."}),
		invalidLoads:     prometheus.NewCounter(prometheus.CounterOpts{Name: "galenalatch_gateway_invalid_loads_total", Help: "Times at which a backend server began to tell wrong figures for its load."}),
		heldParts:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "galenalatch_gateway_held_parts", Help: "Prompt parts that are held back because servers crashed on them."}),
		firstByte:        prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "galenalatch_gateway_first_piece_seconds", Help: "Time from the arrival of a request to the first piece of its answer, by service.", Buckets: firstByteBuckets}, []string{"service"}),
		panics:           prometheus.NewCounter(prometheus.CounterOpts{Name: "galenalatch_gateway_panics_total", Help: "Requests that a defect of the router ended."}),
		dials:            prometheus.NewCounter(prometheus.CounterOpts{Name: "galenalatch_gateway_dials_total", Help: "New connections to backend servers."}),
		rollouts:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galenalatch_gateway_rollout_changes_total", Help: "Changes of the status of roll-outs, by service and state."}, []string{"service", "state"}),
		versionAnswers:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galenalatch_gateway_version_answers_total", Help: "Attempts at servers of services with a roll-out, by version and whether the server failed."}, []string{"service", "version", "failed"}),
		keptTokens:       prometheus.NewCounter(prometheus.CounterOpts{Name: "galenalatch_gateway_kept_tokens_total", Help: "Prompt tokens that the chosen backend servers were expected to keep."}),
		homeHits:         prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "galenalatch_gateway_home_hit_ratio", Help: "Part of the requests that found the shared parts of their prompt kept, by service and by the rank of the server among the homes of the prompt."}, []string{"service", "home"}),
		prefillSeconds:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "galenalatch_gateway_prefill_seconds", Help: "Mean time to read a prompt over the newest requests to homes, by service, as predicted and as first tokens tell."}, []string{"service", "time"}),
		forgetfulServers: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "galenalatch_gateway_forgetful_servers", Help: "Backend servers that keep the shared parts of fewer than half of the requests for which they are the first home, by service."}, []string{"service"}),
	}
	lines := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "galenalatch_log_lines_dropped_total", Help: "Log lines that were not written."},
		func() float64 { return float64(o.droppedLines()) })
	listed := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "galenalatch_gateway_routers", Help: "Routers in the list that this router has read; 0 before the first read."},
		func() float64 { return float64(o.routers()) })
	shed := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "galenalatch_gateway_shed_connections_total", Help: "New connections whose request was rejected with 503 and not parsed because the processor was overloaded."},
		func() float64 { return float64(o.shedConnections()) })
	c.registerMemory(o)
	for _, r := range placement.Reasons {
		c.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "galenalatch_gateway_servers", Help: "Listed backend servers by whether this router may send them a request now, and why not.", ConstLabels: prometheus.Labels{"reason": r.String()},
		}, func() float64 { return float64(o.servers(r)) }))
	}
	c.registry.MustRegister(c.responses, c.refusals, c.attempts, c.interruptions, c.limitChanges, c.pauses, c.invalidLoads, c.heldParts, c.firstByte, c.panics, c.dials, c.rollouts, c.versionAnswers, c.keptTokens, c.homeHits, c.prefillSeconds, c.forgetfulServers, lines, listed, shed,
		collectors.NewGoCollector(collectors.WithGoCollectorRuntimeMetrics(collectors.MetricsScheduler)))
	c.registerSpeeds(o.speeds)
	return c
}

// registerSpeeds registers what the backend servers say of their speed.
func (c *gatewayMetrics) registerSpeeds(speeds func() placement.Speeds) {
	gauge := func(name, help string, value func(placement.Speeds) float64) {
		c.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(speeds()) }))
	}
	gauge("galenalatch_gateway_servers_with_speed", "Backend servers that say how long work takes.",
		func(v placement.Speeds) float64 { return float64(v.Known) })
	gauge("galenalatch_gateway_lowest_slowdown", "How much longer than usual work takes on the fastest of them.",
		func(v placement.Speeds) float64 { return v.Lowest })
	gauge("galenalatch_gateway_highest_slowdown", "How much longer than usual work takes on the slowest of them.",
		func(v placement.Speeds) float64 { return v.Highest })
	gauge("galenalatch_gateway_oldest_speed_seconds", "The longest time without news of the speed of one of them.",
		func(v placement.Speeds) float64 { return v.OldestWord.Seconds() })
}

func (c *gatewayMetrics) recordEnd(d host.Decision, status int, err error) {
	c.responses.WithLabelValues(strconv.Itoa(status)).Inc()
	if err == nil && d.FirstByte > 0 {
		c.firstByte.WithLabelValues(d.Service).Observe(d.FirstByte.Seconds())
	}
}

func (c *gatewayMetrics) handler() http.Handler {
	return promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2})
}

func (c *gatewayMetrics) recordKept(service string, k placement.KeptStatistics) {
	for i, ratio := range k.HomeHits {
		c.homeHits.WithLabelValues(service, strconv.Itoa(i+1)).Set(ratio)
	}
	c.prefillSeconds.WithLabelValues(service, "predicted").Set(k.PrefillPredicted)
	c.prefillSeconds.WithLabelValues(service, "seen").Set(k.PrefillSeen)
	c.forgetfulServers.WithLabelValues(service).Set(float64(k.Forgetful))
}
