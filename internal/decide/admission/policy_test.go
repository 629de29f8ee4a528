package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are admitted although their first token will be
// late, and against workspaces above their share that displace others.
func TestAdmit(t *testing.T) {
	const targetLatency = time.Second
	tests := []struct {
		name    string
		request Request
		admit   bool
	}{
		{"idle engines", Request{TargetLatency: targetLatency, Wait: 100 * time.Millisecond, Fraction: 3}, true},
		{"within the share", Request{TargetLatency: targetLatency, Wait: 900 * time.Millisecond, Fraction: 0.5}, true},
		{"at the share", Request{TargetLatency: targetLatency, Wait: 900 * time.Millisecond, Fraction: 1}, true},
		{"slightly above the share", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Fraction: 1.5}, true},
		{"twice the share", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Fraction: 2}, false},
		{"nearly idle engines, far above the share", Request{TargetLatency: targetLatency, Wait: 140 * time.Millisecond, Fraction: 20}, true},
		{"far above the share", Request{TargetLatency: targetLatency, Wait: 160 * time.Millisecond, Fraction: 7}, false},
		{"of two above the share, the one that has used more", Request{TargetLatency: targetLatency, Wait: 250 * time.Millisecond, Fraction: 7}, false},
		{"of two above the share, the one that has used less", Request{TargetLatency: targetLatency, Wait: 250 * time.Millisecond, Fraction: 2.5}, true},
		{"of two far above the share, the one with more of all that was started", Request{TargetLatency: targetLatency, Wait: 100 * time.Millisecond, Fraction: 13, StartedFraction: 1.6}, false},
		{"of two far above the share, the one with less of all that was started", Request{TargetLatency: targetLatency, Wait: 100 * time.Millisecond, Fraction: 7, StartedFraction: 0.75}, true},
		{"most of what was started, idle engines", Request{TargetLatency: targetLatency, Wait: 70 * time.Millisecond, Fraction: 13, StartedFraction: 2}, true},
		{"slightly above the share, most of what was started", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Fraction: 1.5, StartedFraction: 2}, true},
		{"above the limit only with the delay of the router", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Overhead: 100 * time.Millisecond, Fraction: 2}, true},
		{"above the limit even without the delay of the router", Request{TargetLatency: targetLatency, Wait: 600 * time.Millisecond, Overhead: 100 * time.Millisecond, Fraction: 2}, false},
		{"too late because of the delay of the router", Request{TargetLatency: targetLatency, Wait: 960 * time.Millisecond, Overhead: 500 * time.Millisecond, Fraction: 0.5}, false},
		{"just in time", Request{TargetLatency: targetLatency, Wait: 950 * time.Millisecond}, true},
		{"too late", Request{TargetLatency: targetLatency, Wait: 960 * time.Millisecond}, false},
		{"too late after waiting", Request{TargetLatency: targetLatency, Wait: 500 * time.Millisecond, Waited: 500 * time.Millisecond}, false},
		{"no aim", Request{Wait: time.Hour}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, Default().Admit(tt.request), tt.admit)
		})
	}
}
