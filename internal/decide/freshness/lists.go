package freshness

import (
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// listStableTime is how long the same difference between the instance
	// list and the catalogue's list must last before the latter is changed,
	// since the instance list lags.
	listStableTime = 5 * time.Second
	// listRankDelay is the further wait of a router for each router before it
	// in the order of names, so that usually only one router proposes a
	// change.
	listRankDelay = time.Second
)

// proposal is the difference between the instance list and the catalogue's
// list, and the time since which it has been the same.
type proposal struct {
	put, remove []galenalatch.RouterID
	since       time.Time
}

// RouterListChange returns the routers that this router should add to and
// remove from the catalogue's list by a change of the held version, or none.
// The change must not be applied to another version.
func (v *View) RouterListChange(now time.Time) (put, remove []galenalatch.RouterID) {
	put = without(v.instanceLists.Current, v.catalogueLists.Current)
	remove = without(v.catalogueLists.Current, v.instanceLists.Current)
	if !slices.Equal(put, v.proposed.put) || !slices.Equal(remove, v.proposed.remove) {
		v.proposed = proposal{put, remove, now}
	}
	rank, listed := slices.BinarySearch(v.instanceLists.Current, v.Self)
	wait := listStableTime + time.Duration(rank)*listRankDelay
	if !listed || v.Behind() || now.Sub(v.proposed.since) < wait || !v.MayChangeLists(now) {
		return nil, nil
	}
	if _, reason := v.Fresh(now); reason != Table {
		return nil, nil
	}
	return put, remove
}

// without returns the routers of a that are not in b. Both are sorted.
func without(a, b []galenalatch.RouterID) []galenalatch.RouterID {
	return slices.DeleteFunc(slices.Clone(a), func(r galenalatch.RouterID) bool {
		_, found := slices.BinarySearch(b, r)
		return found
	})
}
