package freshness

import (
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// listSettle is how long the instance list must differ in the same way
	// before the lists of the catalogue follow it, since the list lags.
	listSettle = 5 * time.Second
	// listRank is the further wait of each router in the order of names, so
	// that usually one router proposes a change.
	listRank = time.Second
)

// proposal is the difference between the instance list and the catalogue's
// list, and since when it is the same.
type proposal struct {
	put, remove []galenalatch.RouterID
	since       time.Time
}

// ListChange returns the routers that this router should put into and remove
// from the catalogue's list by a change of the held version, or none. The
// change must not be applied to another version.
func (v *View) ListChange(now time.Time) (put, remove []galenalatch.RouterID) {
	put = without(v.listed.Current, v.lists.Current)
	remove = without(v.lists.Current, v.listed.Current)
	if !slices.Equal(put, v.proposed.put) || !slices.Equal(remove, v.proposed.remove) {
		v.proposed = proposal{put, remove, now}
	}
	rank, listed := slices.BinarySearch(v.listed.Current, v.Self)
	wait := listSettle + time.Duration(rank)*listRank
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
