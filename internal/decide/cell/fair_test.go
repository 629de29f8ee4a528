package cell

import (
	"testing"
	"time"

	"github.com/galenalatch/galenalatch"
)

// smallLoad returns a pool of 16 slots in two cells, small enough that the
// bound of the gap is far below the service of a workspace during a test.
func smallLoad(workspaces ...workspaceLoad) poolLoad {
	return poolLoad{
		pool:        galenalatch.Pool{Name: "m", ColdLimit: 2, WarmLimit: 4, MaxCost: 40, CellsPerDataCentre: 1},
		dataCentres: 2, servers: 4, routers: 4, unitTime: 40 * time.Millisecond, maxRunning: 16, workspaces: workspaces,
	}
}

// Guards against workspaces of different cells of a pool that receive
// different service, against cells that cannot borrow, and against idle slots
// while requests wait.
func TestPoolIsFair(t *testing.T) {
	busy := workspaceLoad{class: galenalatch.Interactive, openRequests: 24, cost: 20}
	at := func(home int) workspaceLoad { x := busy; x.home = home; return x }
	with := func(x workspaceLoad, change func(*workspaceLoad)) workspaceLoad { change(&x); return x }
	for _, tc := range []struct {
		name             string
		cellsWithServers int
		workspaces       []workspaceLoad
	}{
		{"equal", 0, append(workspacesNamed("a", 4, at(1)), workspacesNamed("b", 4, at(2))...)},
		{"one against seven", 0, append(workspacesNamed("a", 1, at(1)), workspacesNamed("b", 7, at(2))...)},
		{"home without servers", 1, append(workspacesNamed("a", 4, at(1)), workspacesNamed("b", 4, at(2))...)},
		{"only homes without servers", 1, workspacesNamed("b", 8, at(2))},
		{"weights", 0, append(workspacesNamed("a", 2, at(1)), workspacesNamed("b", 4, with(at(2), func(x *workspaceLoad) { x.weight = 2 }))...)},
		{"cell at its running limits", 0, append(workspacesNamed("a", 4, with(at(1), func(x *workspaceLoad) { x.maxRunning = 1; x.openRequests = 9 })), workspacesNamed("b", 4, at(2))...)},
		{"moving home", 0, append(workspacesNamed("a", 3, at(1)), append(workspacesNamed("b", 4, at(2)), workspacesNamed("m", 1, with(busy, func(x *workspaceLoad) { x.movesHome = true }))...)...)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			z := smallLoad(tc.workspaces...)
			z.cellsWithServers = tc.cellsWithServers
			r := newTrial(z, "cells")
			r.measure(30)
			r.reset()
			r.measure(300)
			gap, mean := r.serviceGap(func(x *workspaceLoad) bool { return x.maxRunning == 0 })
			t.Logf("gap %.0f, bound %.0f, mean %.0f, utilisation %.1f %%", gap, z.gapBound(), mean, 100*r.utilisation)
			if gap > z.gapBound() || mean < 2*z.gapBound() {
				t.Errorf("gap %.0f with bound %.0f and mean service %.0f", gap, z.gapBound(), mean)
			}
			if r.utilisation < 0.97 {
				t.Errorf("utilisation %.3f while requests wait", r.utilisation)
			}
			for _, x := range r.workspaces {
				if x.samples[len(x.samples)-1] == x.samples[0] {
					t.Errorf("workspace %s receives no service", x.name)
				}
			}
		})
	}
}
