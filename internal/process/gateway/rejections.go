package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/host"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

const (
	// rejectionInterval is the time between two log lines on rejected requests.
	rejectionInterval = time.Second
	// maxLoggedWorkspaces bounds the workspaces in such a line.
	maxLoggedWorkspaces = 4
)

// rejections counts the requests that were rejected unparsed, by workspace. The zero value
// is ready for use.
type rejections struct {
	mu    sync.Mutex
	count map[galenalatch.WorkspaceName]rejectionCount
	// unknown is the number of those whose workspace is not known.
	unknown int
	// loggedAt and closed are as of the last line: its time, and the number of all rejected
	// connections. Only loop uses them.
	loggedAt time.Time
	closed   int64
}

// rejectionCount is the number of rejected requests and of their tokens.
type rejectionCount struct {
	requests int
	tokens   float64
}

func (r *rejections) add(x host.Rejected, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !known {
		r.unknown++
		return
	}
	if r.count == nil {
		r.count = make(map[galenalatch.WorkspaceName]rejectionCount)
	}
	c := r.count[x.Workspace]
	r.count[x.Workspace] = rejectionCount{c.requests + 1, c.tokens + x.Tokens}
}

// take returns the counts since the last call.
func (r *rejections) take() (count map[galenalatch.WorkspaceName]rejectionCount, unknown int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count, unknown = r.count, r.unknown
	r.count, r.unknown = nil, 0
	return count, unknown
}

// formatUsage returns the tokens that the same workspaces as in formatRejections have
// requested and started at this router in the window of the shares, as
// NAME:REQUESTED:STARTED. Lines on single requests may be lost while it lacks processor time.
func (g *Gateway) formatUsage(now time.Time, count map[galenalatch.WorkspaceName]rejectionCount) string {
	usage := g.ledger.LocalUsage(now)
	var parts []string
	for _, w := range mostRejected(count) {
		u := usage[share.Key(w)]
		parts = append(parts, fmt.Sprintf("%s:%.0f:%.0f", w, u.Requested, u.Started))
	}
	return strings.Join(parts, ",")
}

// formatRejections returns the workspaces with most rejected tokens as NAME:REQUESTS:TOKENS.
func formatRejections(count map[galenalatch.WorkspaceName]rejectionCount) string {
	var parts []string
	for _, w := range mostRejected(count) {
		parts = append(parts, fmt.Sprintf("%s:%d:%.0f", w, count[w].requests, count[w].tokens))
	}
	return strings.Join(parts, ",")
}

// mostRejected returns the workspaces with most rejected tokens.
func mostRejected(count map[galenalatch.WorkspaceName]rejectionCount) []galenalatch.WorkspaceName {
	names := slices.SortedFunc(maps.Keys(count), func(a, b galenalatch.WorkspaceName) int {
		return cmp.Or(cmp.Compare(count[b].tokens, count[a].tokens), cmp.Compare(a, b))
	})
	return names[:min(len(names), maxLoggedWorkspaces)]
}

// identifyRejected counts a rejected request by its first bytes.
func (g *Gateway) identifyRejected(first []byte) {
	x, known := g.handler.Identify(first)
	g.rejections.add(x, known)
}

// logRejections logs which workspaces had requests rejected since the last line.
func (g *Gateway) logRejections(now time.Time) {
	if now.Sub(g.rejections.loggedAt) < rejectionInterval {
		return
	}
	g.rejections.loggedAt = now
	closed := g.ingress.ShedConnections() + g.ingress.FullConnections()
	count, unknown := g.rejections.take()
	if closed == g.rejections.closed && len(count) == 0 && unknown == 0 {
		return
	}
	g.log.Event(events.RequestsRejected, "connections", closed-g.rejections.closed, "unknown", unknown, "workspaces", formatRejections(count),
		"usage", g.formatUsage(now, count), "callers", g.ingress.OpenConnections())
	g.rejections.closed = closed
}
