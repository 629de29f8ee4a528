package freshness

import "github.com/galenalatch/galenalatch"

// Versions returns the newest version that each router is known to have
// held, for display to operators. The routers may hold other versions now.
func (v *View) Versions() map[galenalatch.RouterID]galenalatch.Version {
	all := map[galenalatch.RouterID]galenalatch.Version{v.Self: v.held}
	for r, a := range v.directReplies {
		all[r] = a.version
	}
	return all
}
