package metrics

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

func request(w galenalatch.WorkspaceName) galenalatch.Request {
	return galenalatch.Request{Workspace: w, Class: galenalatch.Interactive}
}

// page returns the router's own metrics without the histogram buckets.
func page(m *Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var lines []string
	for l := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(l, "galenalatch_") && !strings.Contains(l, "_bucket{") {
			lines = append(lines, l)
		}
	}
	return strings.Join(lines, "")
}

// TestPage guards against changes of the metric names and labels that dashboards
// use.
func TestPage(t *testing.T) {
	m := New(func() status.Status {
		return status.Status{
			Version: 7, Fresh: true,
			Cells: []status.Cell{
				{Cell: galenalatch.CellID{Pool: "p", DataCentre: "a"}, Waiting: 2, Running: 3},
				{Cell: galenalatch.CellID{Pool: "p", DataCentre: "b"}, Waiting: 1, Lapsed: true},
			},
			Servers: []status.Server{
				{Server: "s1", Pool: "p", State: "warm", Limit: 8, Running: 3},
				{Server: "s2", Pool: "p", State: "cold", Limit: 2},
			},
			Waiting: map[galenalatch.WorkspaceName]int{"w": 3}, Running: map[galenalatch.WorkspaceName]int{"w": 1},
			PeerBytesIn: 10, PeerBytesOut: 20,
		}
	})
	m.Waited("w", galenalatch.Batch, time.Second)
	m.Ended(request("w"), nil, time.Second, 2*time.Second)
	m.Ended(request("w"), galenalatch.KindServerFailed.Errorf("x"), 0, time.Second)
	m.Ended(galenalatch.Request{}, galenalatch.KindUnauthorized.Errorf("x"), 0, time.Millisecond)
	m.Changed(nil)
	m.Changed(galenalatch.KindConflict.Errorf("x"))
	golden.Assert(t, page(m), "page.golden")
}

// TestBusiest guards against an unlimited number of series, and against
// workspaces with about the same load that replace each other at each
// selection.
func TestBusiest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(func() status.Status { return status.Status{} })
		load := func(first, last, n int) {
			for i := first; i < last; i++ {
				for range n {
					m.Ended(request(galenalatch.WorkspaceName(fmt.Sprintf("w%04d", i))), nil, 0, time.Second)
				}
			}
		}
		// labelledNow returns the workspaces on the page after a new selection, which
		// the request that it ends causes.
		labelledNow := func() []string {
			<-time.After(selectionPeriod)
			m.Ended(request("w0000"), nil, 0, time.Second)
			var names []string
			for l := range strings.Lines(page(m)) {
				if rest, ok := strings.CutPrefix(l, `galenalatch_workspace_requests_total{outcome="answered",workspace="`); ok {
					name, _, _ := strings.Cut(rest, `"`)
					names = append(names, name)
				}
			}
			return names
		}
		load(0, 300, 2)
		first := labelledNow()
		assert.Equal(t, len(first), maxLabelled+1)
		assert.Assert(t, slices.Contains(first, otherLabel) && slices.Contains(first, "w0063") && !slices.Contains(first, "w0064"))
		// Workspaces that are less than twice as busy are not selected.
		load(0, 64, 3)
		load(64, 300, 5)
		assert.DeepEqual(t, labelledNow(), first)
		// Much busier ones replace the least busy ones.
		load(0, 63, 3)
		load(200, 202, 50)
		labelledNow()
		load(0, 300, 1)
		next := labelledNow()
		assert.Equal(t, len(next), maxLabelled+1)
		assert.Assert(t, slices.Contains(next, "w0200") && slices.Contains(next, "w0201") && slices.Contains(next, "w0000"))
		assert.Assert(t, !slices.Contains(next, "w0063"))
	})
}
