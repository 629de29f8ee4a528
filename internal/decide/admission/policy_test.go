package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch/internal/decide/share"
)

// Guards against requests that are admitted although their first token will be
// late, and against workspaces above their share that displace others.
func TestAdmit(t *testing.T) {
	const (
		targetLatency = time.Second
		// unloaded is the time to the first token at an engine without a queue.
		unloaded = 50 * time.Millisecond
	)
	tests := []struct {
		name    string
		request Request
		admit   bool
	}{
		{"idle engines", Request{TargetLatency: targetLatency, Wait: 100 * time.Millisecond, Fractions: share.Fractions{OfRate: 3}}, true},
		{"within the share", Request{TargetLatency: targetLatency, Wait: 900 * time.Millisecond, Fractions: share.Fractions{OfRate: 0.5}}, true},
		{"at the share", Request{TargetLatency: targetLatency, Wait: 900 * time.Millisecond, Fractions: share.Fractions{OfRate: 1}}, true},
		{"slightly above the share", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Fractions: share.Fractions{OfRate: 1.5}}, true},
		{"twice the share", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Fractions: share.Fractions{OfRate: 2}}, false},
		{"nearly idle engines, far above the share", Request{TargetLatency: targetLatency, Wait: 140 * time.Millisecond, Fractions: share.Fractions{OfRate: 20}}, true},
		{"far above the share", Request{TargetLatency: targetLatency, Wait: 160 * time.Millisecond, Fractions: share.Fractions{OfRate: 7}}, false},
		{"of two above the share, the one that has used more", Request{TargetLatency: targetLatency, Wait: 250 * time.Millisecond, Fractions: share.Fractions{OfRate: 7}}, false},
		{"of two above the share, the one that has used less", Request{TargetLatency: targetLatency, Wait: 250 * time.Millisecond, Fractions: share.Fractions{OfRate: 2.5}}, true},
		{"of two far above the share, the one with more of all that was started", Request{TargetLatency: targetLatency, Wait: 100 * time.Millisecond, Fractions: share.Fractions{OfRate: 13, OfStarted: 1.6, Pace: 1}}, false},
		{"of two far above the share, the one with less of all that was started", Request{TargetLatency: targetLatency, Wait: 100 * time.Millisecond, Fractions: share.Fractions{OfRate: 7, OfStarted: 0.75, Pace: 1}}, true},
		{"above both shares, with more than twice what another one gets", Request{TargetLatency: targetLatency, Wait: 70 * time.Millisecond, Fractions: share.Fractions{OfRate: 13, OfStarted: 2, Pace: 1}}, false},
		{"slightly above both shares, idle engines", Request{TargetLatency: targetLatency, Wait: 70 * time.Millisecond, Fractions: share.Fractions{OfRate: 13, OfStarted: 1.1, Pace: 1}}, true},
		{"slightly above the configured share only", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Fractions: share.Fractions{OfRate: 1.5, OfStarted: 1, Pace: 1}}, true},
		{"slightly above the share of what was started only", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Fractions: share.Fractions{OfRate: 0.9, OfStarted: 1.5, Pace: 1}}, true},
		{"slightly above both shares", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Fractions: share.Fractions{OfRate: 1.5, OfStarted: 1.5, Pace: 1}}, false},
		{"far above the share of what was started only, idle engines", Request{TargetLatency: targetLatency, Wait: 140 * time.Millisecond, Fractions: share.Fractions{OfRate: 1, OfStarted: 20, Pace: 1}}, true},
		{"slightly below both shares, twice the pace of the fleet", Request{TargetLatency: targetLatency, Wait: 160 * time.Millisecond, Fractions: share.Fractions{OfRate: 0.9, OfStarted: 0.9, Pace: 2}}, false},
		{"far below both shares, twice the pace of the fleet", Request{TargetLatency: targetLatency, Wait: 900 * time.Millisecond, Fractions: share.Fractions{OfRate: 0.4, OfStarted: 0.4, Pace: 2}}, true},
		{"above the limit only with the delay of the router", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Overhead: 100 * time.Millisecond, Fractions: share.Fractions{OfRate: 2}}, true},
		{"above the limit even without the delay of the router", Request{TargetLatency: targetLatency, Wait: 600 * time.Millisecond, Overhead: 100 * time.Millisecond, Fractions: share.Fractions{OfRate: 2}}, false},
		{"too late because of the delay of the router", Request{TargetLatency: targetLatency, Wait: 960 * time.Millisecond, Overhead: 500 * time.Millisecond, Fractions: share.Fractions{OfRate: 1}}, false},
		{"just in time", Request{TargetLatency: targetLatency, Wait: 950 * time.Millisecond, Fractions: share.Fractions{OfRate: 1}}, true},
		{"too late", Request{TargetLatency: targetLatency, Wait: 960 * time.Millisecond, Fractions: share.Fractions{OfRate: 1}}, false},
		{"too late after waiting", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Waited: 500 * time.Millisecond, Fractions: share.Fractions{OfRate: 1}}, false},
		{"too late, with all of one share and nothing of the other", Request{TargetLatency: targetLatency, Wait: 960 * time.Millisecond, Fractions: share.Fractions{OfStarted: 1, Pace: 1}}, false},
		{"late with half of the share", Request{TargetLatency: targetLatency, Wait: 1900 * time.Millisecond, Fractions: share.Fractions{OfRate: 0.5}}, true},
		{"too late with half of the share", Request{TargetLatency: targetLatency, Wait: 1910 * time.Millisecond, Fractions: share.Fractions{OfRate: 0.5}}, false},
		{"late with half of the share, twice the pace of the fleet", Request{TargetLatency: targetLatency, Wait: 960 * time.Millisecond, Fractions: share.Fractions{OfRate: 0.5, Pace: 2}}, false},
		{"late with nothing of the share", Request{TargetLatency: targetLatency, Wait: 2500 * time.Millisecond}, true},
		{"after the time limit", Request{TargetLatency: targetLatency, TimeLimit: 2 * time.Second, Wait: 1500 * time.Millisecond, Waited: 600 * time.Millisecond}, false},
		{"too late for any workspace", Request{TargetLatency: targetLatency, Wait: 2510 * time.Millisecond}, false},
		{"long prompt at idle engines", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Prefill: 450 * time.Millisecond, MeanPrefill: 80 * time.Millisecond, Fractions: share.Fractions{OfRate: 7}}, true},
		{"long prompt at busy engines", Request{TargetLatency: targetLatency, Wait: 600 * time.Millisecond, Prefill: 450 * time.Millisecond, MeanPrefill: 80 * time.Millisecond, Fractions: share.Fractions{OfRate: 7}}, false},
		{"long prompt whose caller would leave", Request{TargetLatency: targetLatency, Wait: 3010 * time.Millisecond, Prefill: 3 * time.Second, MeanPrefill: 80 * time.Millisecond}, false},
		{"at the share while another one has half of what it is due", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Fractions: share.Fractions{OfRate: 1, OfStarted: 1, Least: 0.5}}, false},
		{"at the share while another one has nothing", Request{TargetLatency: targetLatency, Wait: 470 * time.Millisecond, Fractions: share.Fractions{OfRate: 1, OfStarted: 1, Least: 0.01}}, true},
		{"below the share while another one has less", Request{TargetLatency: targetLatency, Wait: 1300 * time.Millisecond, Fractions: share.Fractions{OfRate: 0.7, OfStarted: 0.7, Least: 0.5}}, true},
		{"late because of the router with half of the share", Request{TargetLatency: targetLatency, Wait: 2300 * time.Millisecond, Overhead: 500 * time.Millisecond, Fractions: share.Fractions{OfRate: 0.5}}, true},
		{"late because of the router with most of the share", Request{TargetLatency: targetLatency, Wait: 1400 * time.Millisecond, Overhead: 500 * time.Millisecond, Fractions: share.Fractions{OfRate: 0.9}}, false},
		{"permit that would be lost", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Spare: true, Fractions: share.Fractions{OfRate: 2, OfStarted: 1.2}}, true},
		{"permit that would be lost while another workspace has far less", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Spare: true, Fractions: share.Fractions{OfRate: 2, OfStarted: 1.2, Least: 0.5}}, false},
		{"idle engine, own time above the limit", Request{TargetLatency: targetLatency, Wait: 300 * time.Millisecond, Prefill: 280 * time.Millisecond, MeanPrefill: 280 * time.Millisecond, Fractions: share.Fractions{OfRate: 7, OfStarted: 1}}, true},
		{"idle engine, own time above the limit, above both shares", Request{TargetLatency: targetLatency, Wait: 300 * time.Millisecond, Prefill: 280 * time.Millisecond, MeanPrefill: 280 * time.Millisecond, Fractions: share.Fractions{OfRate: 7, OfStarted: 1.1, Pace: 1}}, false},
		{"short queue, own time above the limit", Request{TargetLatency: targetLatency, Wait: 340 * time.Millisecond, Prefill: 280 * time.Millisecond, MeanPrefill: 280 * time.Millisecond, Fractions: share.Fractions{OfRate: 7, OfStarted: 1}}, false},
		{"idle engine, too late", Request{TargetLatency: targetLatency, Wait: 960 * time.Millisecond, Prefill: 950 * time.Millisecond, MeanPrefill: 950 * time.Millisecond, Fractions: share.Fractions{OfRate: 7, OfStarted: 1}}, false},
		{"no target latency", Request{Wait: time.Hour}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.request.Fractions.Least == 0 {
				// All workspaces have what they are due.
				tt.request.Fractions.Least = 1
			}
			tt.request.Queue = max(tt.request.Wait-tt.request.Overhead-max(tt.request.Prefill, unloaded), 0)
			assert.Equal(t, Default().Admit(tt.request), tt.admit)
		})
	}
}
