package cell

import (
	"testing"
	"time"

	"github.com/galenalatch/galenalatch"
)

// small is a pool of 16 slots in two cells, small enough that the bound of the
// gap is far below the service of a workspace during a test.
func small(tenants ...tenant) size {
	return size{
		pool:    galenalatch.Pool{Name: "m", ColdLimit: 2, WarmLimit: 4, MaxCost: 40, CellsPerDataCentre: 1},
		centres: 2, workers: 4, nodes: 4, unit: 40 * time.Millisecond, maxRunning: 16, tenants: tenants,
	}
}

// Guards against workspaces of different cells of a pool that receive
// different service, against cells that cannot borrow, and against idle slots
// while work waits.
func TestPoolIsFair(t *testing.T) {
	busy := tenant{class: galenalatch.Interactive, open: 24, cost: 20}
	at := func(home int) tenant { x := busy; x.home = home; return x }
	with := func(x tenant, change func(*tenant)) tenant { change(&x); return x }
	for _, tc := range []struct {
		name    string
		serving int
		tenants []tenant
	}{
		{"equal", 0, append(named("a", 4, at(1)), named("b", 4, at(2))...)},
		{"one against seven", 0, append(named("a", 1, at(1)), named("b", 7, at(2))...)},
		{"home without servers", 1, append(named("a", 4, at(1)), named("b", 4, at(2))...)},
		{"only homes without servers", 1, named("b", 8, at(2))},
		{"weights", 0, append(named("a", 2, at(1)), named("b", 4, with(at(2), func(x *tenant) { x.weight = 2 }))...)},
		{"cell at its running limits", 0, append(named("a", 4, with(at(1), func(x *tenant) { x.maxRunning = 1; x.open = 9 })), named("b", 4, at(2))...)},
		{"moving home", 0, append(named("a", 3, at(1)), append(named("b", 4, at(2)), named("m", 1, with(busy, func(x *tenant) { x.moves = true }))...)...)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			z := small(tc.tenants...)
			z.serving = tc.serving
			r := newTrial(z, "cells")
			r.measure(30)
			r.reset()
			r.measure(300)
			gap, mean := r.gap(func(x *tenant) bool { return x.maxRunning == 0 })
			t.Logf("gap %.0f, bound %.0f, mean %.0f, utilisation %.1f %%", gap, z.bound(), mean, 100*r.busy)
			if gap > z.bound() || mean < 2*z.bound() {
				t.Errorf("gap %.0f with bound %.0f and mean service %.0f", gap, z.bound(), mean)
			}
			if r.busy < 0.97 {
				t.Errorf("utilisation %.3f while work waits", r.busy)
			}
			for _, x := range r.tenants {
				if x.samples[len(x.samples)-1] == x.samples[0] {
					t.Errorf("workspace %s receives nothing", x.name)
				}
			}
		})
	}
}
