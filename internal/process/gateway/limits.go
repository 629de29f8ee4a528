package gateway

import (
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/host"
	"github.com/galenalatch/galenalatch/internal/decide/admission"
	"github.com/galenalatch/galenalatch/internal/decide/budget"
	"github.com/galenalatch/galenalatch/internal/decide/share"
)

const (
	// retryBudgetShare is the share of the retry budget that is used.
	// unlistedRouters is the number of routers that may be missing from the
	// list.
	retryBudgetShare = 0.8
	unlistedRouters  = 4
)

func (g *Gateway) newBudget() *budget.Budget {
	r := g.settings.Repeats
	return &budget.Budget{Ratio: retryBudgetShare * r.Ratio, Window: r.Window.Std()}
}

// fixedRetries returns this router's share of the fixed part of the retry budget.
// The list of routers may lack new ones, so the share is computed for a larger
// fleet. It is 0 before the list was read.
func (g *Gateway) fixedRetries() float64 {
	routers := g.routers.Load()
	if routers == 0 {
		return 0
	}
	return retryBudgetShare * g.settings.Repeats.Fixed / float64(routers+unlistedRouters)
}

// admit decides whether a request is admitted. It applies the policy to streams
// only.
func (g *Gateway) admit(now time.Time, d host.AdmissionRequest) (share.Fractions, bool) {
	if d.Route.Kind != galenalatch.StreamWork {
		return share.Fractions{}, true
	}
	fractions := g.ledger.Fractions(now, d.Workspace, d.TokenRate)
	// A request that announces an absurd prompt must not change the mean.
	mean := g.prefills.Add(d.Route.Name, min(d.Prefill, d.Route.TargetLatency))
	counted := fractions
	if d.Resumed {
		// Its workspace has paid its share for the stream already, and the caller would lose
		// what it has got.
		counted = share.Fractions{Pace: 1, Least: 1}
	}
	return fractions, g.policy.Admit(admission.Request{
		TargetLatency: d.Route.TargetLatency, TimeLimit: d.TimeLimit, Waited: d.Waited, Wait: d.Wait, Prefill: d.Prefill, MeanPrefill: mean,
		Overhead: d.Overhead, Queue: d.Queue, Spare: d.Spare, Fractions: counted,
	})
}
