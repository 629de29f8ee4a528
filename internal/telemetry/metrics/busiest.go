package metrics

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// maxLabelled is the number of workspaces that have series of their own.
	maxLabelled = 64
	// selectionPeriod is the time between two selections of these workspaces.
	selectionPeriod = 10 * time.Minute
	// replaceFactor is the factor by which a workspace must have ended more
	// requests than one with series of its own to replace it.
	replaceFactor = 2
	// maxCounted limits the workspaces whose requests are counted between
	// two selections.
	maxCounted = 100_000
	// otherLabel is the label value that all other workspaces share.
	otherLabel = "other"
)

// busiest selects the workspaces that have series of their own.
//
// While there are fewer than 64, each workspace is added when it is first seen.
// After that the set is reviewed every 10 minutes, by the requests that ended in
// these 10 minutes: the busiest workspace outside the set replaces the least busy
// one in the set if it ended at least twice as many requests, then the second
// busiest replaces the second least busy one, and so on. The factor of two keeps
// workspaces with about the same load from replacing each other again and again;
// each replacement deletes the series of a workspace.
//
// The methods withLabel and countEnded hold the lock while they call f, so that f
// cannot create a series for a workspace whose series were deleted.
type busiest struct {
	mu       sync.Mutex
	labelled map[galenalatch.WorkspaceName]bool
	// ended counts the requests that ended since selected, the time of the
	// last selection.
	ended    map[galenalatch.WorkspaceName]int
	selected time.Time
	// forget deletes the series with a label value.
	forget func(label string)
}

func newBusiest(now time.Time, forget func(string)) *busiest {
	return &busiest{
		labelled: make(map[galenalatch.WorkspaceName]bool),
		ended:    make(map[galenalatch.WorkspaceName]int),
		selected: now,
		forget:   forget,
	}
}

// withLabel calls f with the label value of the workspace.
func (b *busiest) withLabel(now time.Time, w galenalatch.WorkspaceName, f func(label string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reselect(now)
	f(b.label(w))
}

// countEnded counts an ended request and calls f with the label value of the
// workspace.
func (b *busiest) countEnded(now time.Time, w galenalatch.WorkspaceName, f func(label string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reselect(now)
	if _, ok := b.ended[w]; ok || len(b.ended) < maxCounted {
		b.ended[w]++
	}
	f(b.label(w))
}

// label returns the label value of the workspace. It adds the workspace to the
// set while there is room.
func (b *busiest) label(w galenalatch.WorkspaceName) string {
	if len(b.labelled) < maxLabelled && w != otherLabel {
		b.labelled[w] = true
	}
	if b.labelled[w] {
		return string(w)
	}
	return otherLabel
}

// reselect reviews the set if selectionPeriod has passed since the last
// selection.
func (b *busiest) reselect(now time.Time) {
	if now.Sub(b.selected) < selectionPeriod {
		return
	}
	b.selected = now
	var inside, outside []galenalatch.WorkspaceName
	for w := range b.labelled {
		inside = append(inside, w)
	}
	for w := range b.ended {
		if !b.labelled[w] && w != otherLabel {
			outside = append(outside, w)
		}
	}
	byLoad := func(x, y galenalatch.WorkspaceName) int {
		return cmp.Or(cmp.Compare(b.ended[x], b.ended[y]), cmp.Compare(x, y))
	}
	slices.SortFunc(inside, byLoad)
	slices.SortFunc(outside, byLoad)
	slices.Reverse(outside)
	for i := range min(len(inside), len(outside)) {
		leaves, joins := inside[i], outside[i]
		if b.ended[joins] < replaceFactor*max(1, b.ended[leaves]) {
			break
		}
		delete(b.labelled, leaves)
		b.labelled[joins] = true
		b.forget(string(leaves))
	}
	clear(b.ended)
}
