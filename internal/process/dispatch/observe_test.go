package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// told records what an observer is told.
type told []string

func (o *told) ServerChanged(_ galenalatch.CellID, before, now warmup.Status) {
	*o = append(*o, fmt.Sprintf("%s %s/%s %s/%s", now.Server, before.State, before.Boot, now.State, now.Boot))
}

func (o *told) RouterGone(galenalatch.CellID, galenalatch.RouterID) {}

func (o *told) Granting(galenalatch.CellID, galenalatch.Epoch, time.Duration) {}

// Guards against events for servers that have not changed, for all servers
// of a cell that was just taken over, and for the moment after a restart in
// which the boot identity is not known.
func TestChanged(t *testing.T) {
	var o told
	look := func(before map[galenalatch.ServerID]warmup.Status, s ...warmup.Status) map[galenalatch.ServerID]warmup.Status {
		return changed(galenalatch.CellID{}, before, s, &o)
	}
	m := look(nil, warmup.Status{Server: "a", State: warmup.Warm, Boot: "1"})
	assert.Equal(t, len(o), 0)
	m = look(m, warmup.Status{Server: "a", State: warmup.Warm, Boot: "1", Running: 3}, warmup.Status{Server: "b", State: warmup.Cold})
	m = look(m, warmup.Status{Server: "a", State: warmup.Cold}, warmup.Status{Server: "b", State: warmup.Cold})
	m = look(m, warmup.Status{Server: "a", State: warmup.Cold, Boot: "2"}, warmup.Status{Server: "b", State: warmup.Cold})
	m = look(m)
	look(m, warmup.Status{Server: "b", State: warmup.Cold, Boot: "7"})
	assert.DeepEqual(t, o, told{"b / cold/", "a warm/1 cold/1", "a cold/1 cold/2", "b / cold/7"})
}
