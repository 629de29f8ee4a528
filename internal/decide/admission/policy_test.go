package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are admitted although their first token will be
// late, and against workspaces above their share that displace others.
func TestAdmit(t *testing.T) {
	const aim = time.Second
	tests := []struct {
		name   string
		demand Demand
		admit  bool
	}{
		{"idle engines", Demand{Aim: aim, Wait: 100 * time.Millisecond, Fraction: 3}, true},
		{"within the share", Demand{Aim: aim, Wait: 900 * time.Millisecond, Fraction: 0.5}, true},
		{"at the share", Demand{Aim: aim, Wait: 900 * time.Millisecond, Fraction: 1}, true},
		{"slightly above the share", Demand{Aim: aim, Wait: 500 * time.Millisecond, Fraction: 1.5}, true},
		{"twice the share", Demand{Aim: aim, Wait: 500 * time.Millisecond, Fraction: 2}, false},
		{"nearly idle engines, far above the share", Demand{Aim: aim, Wait: 140 * time.Millisecond, Fraction: 20}, true},
		{"far above the share", Demand{Aim: aim, Wait: 160 * time.Millisecond, Fraction: 7}, false},
		{"of two above the share, the one that has used more", Demand{Aim: aim, Wait: 250 * time.Millisecond, Fraction: 7}, false},
		{"of two above the share, the one that has used less", Demand{Aim: aim, Wait: 250 * time.Millisecond, Fraction: 2.5}, true},
		{"of two far above the share, the one with more of all that was begun", Demand{Aim: aim, Wait: 100 * time.Millisecond, Fraction: 13, OfBegun: 1.6}, false},
		{"of two far above the share, the one with less of all that was begun", Demand{Aim: aim, Wait: 100 * time.Millisecond, Fraction: 7, OfBegun: 0.75}, true},
		{"most of what was begun, idle engines", Demand{Aim: aim, Wait: 70 * time.Millisecond, Fraction: 13, OfBegun: 2}, true},
		{"slightly above the share, most of what was begun", Demand{Aim: aim, Wait: 500 * time.Millisecond, Fraction: 1.5, OfBegun: 2}, true},
		{"above the limit only with the delay of the router", Demand{Aim: aim, Wait: 500 * time.Millisecond, Overhead: 100 * time.Millisecond, Fraction: 2}, true},
		{"above the limit even without the delay of the router", Demand{Aim: aim, Wait: 600 * time.Millisecond, Overhead: 100 * time.Millisecond, Fraction: 2}, false},
		{"too late because of the delay of the router", Demand{Aim: aim, Wait: 960 * time.Millisecond, Overhead: 500 * time.Millisecond, Fraction: 0.5}, false},
		{"just in time", Demand{Aim: aim, Wait: 950 * time.Millisecond}, true},
		{"too late", Demand{Aim: aim, Wait: 960 * time.Millisecond}, false},
		{"too late after waiting", Demand{Aim: aim, Wait: 500 * time.Millisecond, Waited: 500 * time.Millisecond}, false},
		{"no aim", Demand{Wait: time.Hour}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, Default().Admit(tt.demand), tt.admit)
		})
	}
}
