package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

const (
	// servedInterval is the time between two log lines on what workspaces got.
	servedInterval = time.Second
	// maxServedWorkspaces bounds the workspaces in such a line.
	maxServedWorkspaces = 6
)

// logServed logs what workspaces requested and got since the last line, if one of them got
// less than it requested.
func (g *Gateway) logServed(now time.Time) {
	if now.Sub(g.servedLoggedAt) < servedInterval {
		return
	}
	g.servedLoggedAt = now
	usage := g.ledger.TakeUsage()
	total, refused := sumUsage(usage)
	c := g.view.Configuration()
	if !refused || c == nil {
		return
	}
	fractions := func(w galenalatch.WorkspaceName) share.Fractions {
		return g.ledger.Fractions(now, w, c.Limits.TokenRate)
	}
	g.log.Event(events.WorkspacesServed, "workspaces", formatServed(usage, fractions), "requested", int(total.Requested), "started", int(total.Started),
		"least", roundToHundredths(fractions("").Least))
}

// sumUsage returns the sum of the usage, and whether a workspace got less than it requested.
func sumUsage(usage map[galenalatch.WorkspaceName]share.Usage) (total share.Usage, refused bool) {
	for _, u := range usage {
		total.Requested += u.Requested
		total.Started += u.Started
		refused = refused || u.Started < u.Requested
	}
	return total, refused
}

// formatServed returns the workspaces that requested most as NAME:REQUESTED:STARTED:OFBEGUN.
func formatServed(usage map[galenalatch.WorkspaceName]share.Usage, fractions func(galenalatch.WorkspaceName) share.Fractions) string {
	names := slices.SortedFunc(maps.Keys(usage), func(a, b galenalatch.WorkspaceName) int {
		return cmp.Or(cmp.Compare(usage[b].Requested, usage[a].Requested), cmp.Compare(a, b))
	})
	var parts []string
	for _, w := range names[:min(len(names), maxServedWorkspaces)] {
		parts = append(parts, fmt.Sprintf("%s:%.0f:%.0f:%.2f", w, usage[w].Requested, usage[w].Started, fractions(w).OfStarted))
	}
	return strings.Join(parts, ",")
}
