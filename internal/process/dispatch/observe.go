package dispatch

import (
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// observeEvery is how often the cells are looked at for the observer. States
// that last for a shorter time are not reported.
const observeEvery = 250 * time.Millisecond

// observe tells the observer what has changed since the last look.
func (h *Host) observe(now time.Time) {
	o := h.options.Observer
	if o == nil {
		return
	}
	for id, c := range h.cells {
		for _, r := range c.cell.Gone() {
			o.RouterGone(id, r)
		}
		s := c.cell.Status(now)
		if s.Granting && !c.granting {
			c.granting = true
			o.Granting(id, c.epoch, now.Sub(c.opened))
		}
		c.servers = changed(id, c.servers, s.Servers, o)
	}
}

// changed tells of the differences between two looks at the servers of a
// cell and returns the newer one.
func changed(id galenalatch.CellID, before map[galenalatch.ServerID]warmup.Status, servers []warmup.Status, o Observer) map[galenalatch.ServerID]warmup.Status {
	after := make(map[galenalatch.ServerID]warmup.Status, len(servers))
	for _, s := range servers {
		b, known := before[s.Server]
		if s.Boot == "" {
			// The identity is unknown until the next load report.
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
