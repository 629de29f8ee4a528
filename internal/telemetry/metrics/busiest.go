package metrics

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// places is the number of workspaces with series of their own.
	places = 64
	// period is the time between choices.
	period = 10 * time.Minute
	// lead is how many times busier than the quietest workspace of the set
	// another one must be to take its place.
	lead = 2
	// most bounds the workspaces that are counted between choices.
	most = 100_000
	// other is the label of the workspaces outside the set.
	other = "other"
)

// busiest chooses the workspaces with series of their own.
//
// A workspace joins when it is first seen while there are fewer than 64 in
// the set. After that the set is chosen anew every 10 minutes, by
// the requests ended in these 10 minutes: the busiest workspace outside takes
// the place of the quietest inside when it ended at least twice as many, and
// so on. The factor keeps workspaces of about the same load from changing
// places, since each change deletes the series of the one that leaves.
//
// Calls of use and count hold the lock during the callback, so that no
// series of a workspace appears after it was forgotten.
type busiest struct {
	mu     sync.Mutex
	set    map[galenalatch.WorkspaceName]bool
	ended  map[galenalatch.WorkspaceName]int
	chosen time.Time
	forget func(label string)
}

func newBusiest(now time.Time, forget func(string)) *busiest {
	return &busiest{
		set:    make(map[galenalatch.WorkspaceName]bool),
		ended:  make(map[galenalatch.WorkspaceName]int),
		chosen: now,
		forget: forget,
	}
}

// use calls f with the label of the workspace.
func (b *busiest) use(now time.Time, w galenalatch.WorkspaceName, f func(label string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.choose(now)
	f(b.label(w))
}

// count counts an ended request and calls f with the label of the workspace.
func (b *busiest) count(now time.Time, w galenalatch.WorkspaceName, f func(label string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.choose(now)
	if _, ok := b.ended[w]; ok || len(b.ended) < most {
		b.ended[w]++
	}
	f(b.label(w))
}

func (b *busiest) label(w galenalatch.WorkspaceName) string {
	if len(b.set) < places && w != other {
		b.set[w] = true
	}
	if b.set[w] {
		return string(w)
	}
	return other
}

func (b *busiest) choose(now time.Time) {
	if now.Sub(b.chosen) < period {
		return
	}
	b.chosen = now
	var inside, outside []galenalatch.WorkspaceName
	for w := range b.set {
		inside = append(inside, w)
	}
	for w := range b.ended {
		if !b.set[w] && w != other {
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
		if b.ended[joins] < lead*max(1, b.ended[leaves]) {
			break
		}
		delete(b.set, leaves)
		b.set[joins] = true
		b.forget(string(leaves))
	}
	clear(b.ended)
}
