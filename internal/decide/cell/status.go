package cell

import (
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/fairqueue"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// Status is the state of a cell for operators. Granted counts the grants that
// have not ended, LentSlots the slots lent to other cells. MayGrant says that
// the lease and the reports of entries allow grants, Lapsed that the holder
// continues without a valid lease, and Stopped that the cell will not grant
// again.
type Status struct {
	Cell        galenalatch.CellID
	Epoch       galenalatch.Epoch
	VirtualTime int64
	Waiting     int
	// Ready is the number of waiting requests that could start if there were
	// free slots.
	Ready      int
	Granted    int
	LentSlots  int
	MayGrant   bool
	Lapsed     bool
	Stopped    bool
	Servers    []warmup.Status
	Workspaces []fairqueue.Usage
}

// Status returns the state of the cell at the given time.
func (c *Cell) Status(now time.Time) Status {
	return Status{
		Cell:        c.cfg.ID,
		Epoch:       c.cfg.Epoch,
		VirtualTime: c.queue.VirtualTime(),
		Waiting:     c.queue.Len(),
		Ready:       c.queue.Ready(),
		Granted:     len(c.grants),
		LentSlots:   len(c.loans),
		MayGrant:    c.mayGrant(now),
		Lapsed:      c.lapsed,
		Stopped:     c.stopped,
		Servers:     c.servers.Status(now),
		Workspaces:  c.queue.Usage(),
	}
}
