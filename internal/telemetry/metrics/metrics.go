// Package metrics counts what a router does, for Prometheus.
//
// Times are kept per class for all requests, and per workspace for the 64
// busiest workspaces; the others share workspace="other". See busiest.go for how
// the set is chosen.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

// buckets cover the target of 0.35 s for the first token and batch work of
// half an hour.
var buckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 10, 30, 60, 300, 1800}

// Metrics holds the metrics of a router. It is safe for concurrent use.
type Metrics struct {
	registry  *prometheus.Registry
	busiest   *busiest
	wait      pair
	first     pair
	total     pair
	outcomes  *prometheus.CounterVec
	requests  *prometheus.CounterVec
	operators *prometheus.CounterVec
}

// pair is one histogram per class and one per workspace.
type pair struct {
	class     *prometheus.HistogramVec
	workspace *prometheus.HistogramVec
}

func newPair(r prometheus.Registerer, name, help string) pair {
	p := pair{
		class: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galenalatch_" + name + "_seconds", Help: help + ", by class.", Buckets: buckets,
		}, []string{"class"}),
		workspace: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "galenalatch_workspace_" + name + "_seconds",
			Help:    help + ", for the busiest workspaces; the others are in workspace other.",
			Buckets: buckets,
		}, []string{"workspace"}),
	}
	r.MustRegister(p.class, p.workspace)
	return p
}

// New returns metrics whose gauges come from source, which is called at each
// scrape.
func New(source func() status.Status) *Metrics {
	r := prometheus.NewRegistry()
	m := &Metrics{
		registry: r,
		wait:     newPair(r, "request_wait", "Time from the arrival of a request to its grant"),
		first:    newPair(r, "request_first_piece", "Time from the arrival of a request to the first piece of its answer"),
		total:    newPair(r, "request_total", "Time from the arrival of a request to the end of its answer"),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalatch_requests_total",
			Help: "Ended requests by class, outcome and error kind; the kind of answered requests is empty.",
		}, []string{"class", "outcome", "kind"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalatch_workspace_requests_total",
			Help: "Ended requests by workspace and outcome, for the busiest workspaces; the others are in workspace other.",
		}, []string{"workspace", "outcome"}),
		operators: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalatch_catalogue_changes_total",
			Help: "Operators' changes of the catalogue through this router by error kind; the kind of stored changes is empty. Requests without a valid token are counted too.",
		}, []string{"kind"}),
	}
	m.busiest = newBusiest(time.Now(), m.forget)
	r.MustRegister(m.outcomes, m.requests, m.operators, gauges{source},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler returns the handler of the metrics page.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// Waited records the time from the arrival of a request to its grant.
func (m *Metrics) Waited(w galenalatch.WorkspaceName, c galenalatch.Class, d time.Duration) {
	m.wait.class.WithLabelValues(classLabel(c)).Observe(d.Seconds())
	m.busiest.use(time.Now(), w, func(label string) {
		m.wait.workspace.WithLabelValues(label).Observe(d.Seconds())
	})
}

// Ended records the end of a request. It fits the observers of the callers'
// handlers. The time to the first piece is 0 when there was none.
func (m *Metrics) Ended(r galenalatch.Request, err error, first, total time.Duration) {
	class := classLabel(r.Class)
	outcome, kind := galenalatch.Answered, galenalatch.Kind("")
	if err != nil {
		outcome, kind = galenalatch.OutcomeOf(err), galenalatch.KindOf(err)
	}
	m.outcomes.WithLabelValues(class, string(outcome), string(kind)).Inc()
	m.total.class.WithLabelValues(class).Observe(total.Seconds())
	if first > 0 {
		m.first.class.WithLabelValues(class).Observe(first.Seconds())
	}
	if r.Workspace == "" {
		return
	}
	m.busiest.count(time.Now(), r.Workspace, func(label string) {
		m.requests.WithLabelValues(label, string(outcome)).Inc()
		m.total.workspace.WithLabelValues(label).Observe(total.Seconds())
		if first > 0 {
			m.first.workspace.WithLabelValues(label).Observe(first.Seconds())
		}
	})
}

// Changed records an operator's change of the catalogue.
func (m *Metrics) Changed(err error) {
	kind := galenalatch.Kind("")
	if err != nil {
		kind = galenalatch.KindOf(err)
	}
	m.operators.WithLabelValues(string(kind)).Inc()
}

// forget drops the series of a workspace.
func (m *Metrics) forget(label string) {
	match := prometheus.Labels{"workspace": label}
	for _, p := range []pair{m.wait, m.first, m.total} {
		p.workspace.DeletePartialMatch(match)
	}
	m.requests.DeletePartialMatch(match)
}

// classLabel bounds the label: a class that is not known is in no series of
// its own.
func classLabel(c galenalatch.Class) string {
	if c.Valid() {
		return string(c)
	}
	return "none"
}
