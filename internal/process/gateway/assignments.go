package gateway

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
	decide "github.com/galenalatch/galenalatch/internal/decide/assignment"
	"github.com/galenalatch/galenalatch/internal/fleet/assignment"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

const (
	// resumeMargin is added to the timeout of a route for the time in which callers may
	// resume its streams. It grows when a caller is seen to wait for longer.
	resumeMargin = time.Second
	// defaultResumeTime is that time for routes without a timeout.
	defaultResumeTime = 2 * time.Minute
)

// newAssignments returns the controller of the plans of versions.
func (g *Gateway) newAssignments(obs observer) *assignment.Controller {
	lives := resumeTimes{gateway: g}
	return assignment.New(assignment.Options{
		Self: g.settings.ID, Table: g.table, Rollouts: g.rollouts, Routers: g.listedRouters, Lives: lives.all,
		Read: func(ctx context.Context) (map[string]galenalatch.StoreRow, error) {
			return g.members.ReadOtherRows(ctx)
		},
		Write:      func(ctx context.Context, r galenalatch.StoreRow) error { return g.members.Write(ctx, r) },
		FirstStart: g.settings.FirstStart, Events: obs,
	})
}

// setPlans applies the rows with plans of versions.
func (g *Gateway) setPlans(stamp galenalatch.Stamp, rows map[string]galenalatch.StoreRow, restarted bool) {
	g.assignments.SetRows(time.Now(), assignment.Rows{Stamp: stamp, Rows: rows, Restarted: restarted})
}

// resumeTimes computes for how long streams may be resumed. It is used by one goroutine.
type resumeTimes struct {
	gateway       *Gateway
	configuration *galenalatch.Configuration
	times         map[string]time.Duration
}

// all returns the time for each service with streams that callers may resume. There is none
// until the servers were read.
func (r *resumeTimes) all() map[string]time.Duration {
	c := r.gateway.view.Configuration()
	if c == nil || !r.gateway.view.ServersLoaded() {
		return nil
	}
	if c != r.configuration {
		r.configuration, r.times = c, resumeTimesOf(c)
	}
	return r.times
}

func resumeTimesOf(c *galenalatch.Configuration) map[string]time.Duration {
	times := make(map[string]time.Duration)
	for _, route := range c.Routes {
		if route.Kind != galenalatch.StreamWork || !route.Resumable {
			continue
		}
		life := route.Timeout + resumeMargin
		if route.Timeout <= 0 {
			life = defaultResumeTime
		}
		for _, target := range route.Targets {
			times[target.Service] = max(times[target.Service], life)
		}
	}
	return times
}

// PlanApplied implements assignment.Events.
func (o observer) PlanApplied(service string, p decide.Plan) {
	o.log.Event(events.PlanApplied, "service", service, "edition", p.Edition, "unsettled", p.Unsettled().Count(), "slots", p.String())
}

// PlanWritten implements assignment.Events.
func (o observer) PlanWritten(service string, p decide.Plan, err error) {
	o.log.Event(events.PlanWritten, "service", service, "edition", p.Edition, "unsettled", p.Unsettled().Count(), "slots", p.String(), "error", err)
}

// PlanInvalid implements assignment.Events.
func (o observer) PlanInvalid(service string, err error) {
	o.log.Event(events.EntryInvalid, "feed", "versions", "service", service, "error", err)
}
