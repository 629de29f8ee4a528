package freshness

import "github.com/galenalatch/galenalatch"

// Versions returns the newest version that each router is known to hold, for
// operators. It proves nothing about the present.
func (v *View) Versions() map[galenalatch.RouterID]galenalatch.Version {
	all := map[galenalatch.RouterID]galenalatch.Version{v.Self: v.held}
	for r, a := range v.answers {
		all[r] = a.version
	}
	return all
}
