package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/galenalatch/galenalatch"
	decide "github.com/galenalatch/galenalatch/internal/decide/rollout"
	"github.com/galenalatch/galenalatch/internal/fleet/rollout"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
	"github.com/galenalatch/galenalatch/platform"
)

// newRollouts returns the controller of roll-outs, or nil if the settings have no bounds
// on them.
func (g *Gateway) newRollouts(obs observer) *rollout.Controller {
	bounds := decide.Bounds{Share: g.settings.Rollout.Share, Slack: g.settings.Rollout.Slack}
	if !bounds.Enabled() {
		return nil
	}
	return rollout.New(rollout.Options{
		Store: g.relay, Rows: platform.RolloutRows{}, Table: g.table, Self: g.settings.ID, Routers: g.listedRouters,
		Bounds: bounds, Within: g.settings.Rollout.Within.Std(), Events: obs,
	})
}

// listedRouters returns the sorted list of routers, which must not be changed.
func (g *Gateway) listedRouters() []string {
	if names := g.routerIDs.Load(); names != nil {
		return *names
	}
	return nil
}

// serveRollouts responds with what this router knows of the roll-outs.
func (g *Gateway) serveRollouts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the connection is broken; net/http closes it.
	_ = json.NewEncoder(w).Encode(g.rollouts.View(time.Now()))
}

// RolloutOrdered implements rollout.Events.
func (o observer) RolloutOrdered(r galenalatch.RolloutOrder) {
	o.log.Event(events.RolloutOrdered, "service", r.Service, "to", r.Target, "duration", r.Duration, "order", r.Version)
}

// RolloutChanged implements rollout.Events.
func (o observer) RolloutChanged(s galenalatch.RolloutStatus, p rollout.Progress) {
	o.log.Event(events.RolloutChanged, "service", s.Service, "to", s.Target, "order", s.Order, "state", s.State, "step", s.Step, "why", s.Why,
		"verdict", p.Verdict, "requests", p.Requests, "exposed", p.Exposed, "routers", p.Routers, "known", p.Known, "settled", p.Settled)
	o.metrics.rollouts.WithLabelValues(s.Service, string(s.State)).Inc()
}

// RolloutStopped implements rollout.Events.
func (o observer) RolloutStopped(r galenalatch.RolloutOrder, why string) {
	o.log.Event(events.RolloutStopped, "service", r.Service, "to", r.Target, "order", r.Version, "why", why)
}

// RolloutWritten implements rollout.Events.
func (o observer) RolloutWritten(s galenalatch.RolloutStatus, err error) {
	o.log.Event(events.RolloutWritten, "service", s.Service, "to", s.Target, "order", s.Order, "state", s.State, "step", s.Step, "why", s.Why, "error", err)
}

// RolloutAnswered implements rollout.Events.
func (o observer) RolloutAnswered(service, version string, bad bool) {
	o.metrics.versionAnswers.WithLabelValues(service, version, strconv.FormatBool(bad)).Inc()
}
