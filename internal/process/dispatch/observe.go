package dispatch

import (
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// observeInterval is how often the cells are checked for changes. A state that
// lasts for a shorter time may not be reported.
const observeInterval = 250 * time.Millisecond

// observe reports the changes since its last call to the observer.
func (d *Dispatcher) observe(now time.Time) {
	o := d.options.Observer
	if o == nil {
		return
	}
	for id, c := range d.cells {
		for _, r := range c.cell.TakeExpiredRouters() {
			o.RouterExpired(id, r)
		}
		s := c.cell.Status(now)
		if s.MayGrant && !c.granting {
			c.granting = true
			o.GrantingStarted(id, c.epoch, now.Sub(c.opened))
		}
		c.servers = reportServerChanges(id, c.servers, s.Servers, o)
	}
}

// reportServerChanges calls o.ServerChanged for each server whose status differs
// from before, and returns the new statuses. With before nil it reports nothing.
func reportServerChanges(id galenalatch.CellID, before map[galenalatch.ServerID]warmup.Status, servers []warmup.Status, o Observer) map[galenalatch.ServerID]warmup.Status {
	after := make(map[galenalatch.ServerID]warmup.Status, len(servers))
	for _, s := range servers {
		b, known := before[s.Server]
		if s.Boot == "" {
			// The boot identity is unknown until the next load report.
			s.Boot = b.Boot
		}
		after[s.Server] = s
		if before == nil || known && b.State == s.State && b.Boot == s.Boot {
			continue
		}
		o.ServerChanged(id, b, s)
	}
	return after
}
