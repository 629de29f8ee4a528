// Package metrics holds the Prometheus metrics of a router.
//
// Durations are recorded by class for all requests, and by workspace for the 64
// busiest workspaces; the other workspaces share the label workspace="other". See
// the type busiest for the selection.
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

// buckets are the upper limits of the histogram buckets in seconds. They cover
// the target of 0.35 s for the first token and batch requests of half an hour.
var buckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 10, 30, 60, 300, 1800}

// Metrics holds the metrics of a router. It is safe for concurrent use.
type Metrics struct {
	registry   *prometheus.Registry
	busiest    *busiest
	wait       histogramPair
	firstPiece histogramPair
	total      histogramPair
	outcomes   *prometheus.CounterVec
	requests   *prometheus.CounterVec
	operators  *prometheus.CounterVec
}

// histogramPair holds the histograms of one duration, by class and by workspace.
type histogramPair struct {
	class     *prometheus.HistogramVec
	workspace *prometheus.HistogramVec
}

func newHistogramPair(r prometheus.Registerer, name, help string) histogramPair {
	p := histogramPair{
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

// New returns metrics whose gauges show the status that source returns. source is
// called at each scrape.
func New(source func() status.Status) *Metrics {
	r := prometheus.NewRegistry()
	m := &Metrics{
		registry:   r,
		wait:       newHistogramPair(r, "request_wait", "Time from the arrival of a request to its grant"),
		firstPiece: newHistogramPair(r, "request_first_piece", "Time from the arrival of a request to the first piece of its answer"),
		total:      newHistogramPair(r, "request_total", "Time from the arrival of a request to the end of its answer"),
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

// Handler returns the HTTP handler of the metrics page.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// Waited records the time d from the arrival of a request to its grant.
func (m *Metrics) Waited(w galenalatch.WorkspaceName, c galenalatch.Class, d time.Duration) {
	m.wait.class.WithLabelValues(classLabel(c)).Observe(d.Seconds())
	m.busiest.withLabel(time.Now(), w, func(label string) {
		m.wait.workspace.WithLabelValues(label).Observe(d.Seconds())
	})
}

// Ended records the end of a request, for use as an observer of the handlers
// of callers. first is the time from its arrival to the first piece of the
// answer, or 0 when there was none, and total the time to its end. err is nil
// for an answered request.
func (m *Metrics) Ended(r galenalatch.Request, err error, first, total time.Duration) {
	class := classLabel(r.Class)
	outcome, kind := galenalatch.Answered, galenalatch.Kind("")
	if err != nil {
		outcome, kind = galenalatch.OutcomeOf(err), galenalatch.KindOf(err)
	}
	m.outcomes.WithLabelValues(class, string(outcome), string(kind)).Inc()
	m.total.class.WithLabelValues(class).Observe(total.Seconds())
	if first > 0 {
		m.firstPiece.class.WithLabelValues(class).Observe(first.Seconds())
	}
	if r.Workspace == "" {
		return
	}
	m.busiest.countEnded(time.Now(), r.Workspace, func(label string) {
		m.requests.WithLabelValues(label, string(outcome)).Inc()
		m.total.workspace.WithLabelValues(label).Observe(total.Seconds())
		if first > 0 {
			m.firstPiece.workspace.WithLabelValues(label).Observe(first.Seconds())
		}
	})
}

// Changed records an operator's change of the catalogue; err is nil if it was
// stored.
func (m *Metrics) Changed(err error) {
	kind := galenalatch.Kind("")
	if err != nil {
		kind = galenalatch.KindOf(err)
	}
	m.operators.WithLabelValues(string(kind)).Inc()
}

// forget deletes the series of a workspace.
func (m *Metrics) forget(label string) {
	match := prometheus.Labels{"workspace": label}
	for _, p := range []histogramPair{m.wait, m.firstPiece, m.total} {
		p.workspace.DeletePartialMatch(match)
	}
	m.requests.DeletePartialMatch(match)
}

// classLabel returns the label value of a class. All invalid classes share
// one, so that callers cannot create series.
func classLabel(c galenalatch.Class) string {
	if c.Valid() {
		return string(c)
	}
	return "none"
}
