package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// recordingObserver records the calls of ServerChanged.
type recordingObserver []string

func (o *recordingObserver) ServerChanged(_ galenalatch.CellID, before, now warmup.Status) {
	*o = append(*o, fmt.Sprintf("%s %s/%s %s/%s", now.Server, before.State, before.Boot, now.State, now.Boot))
}

func (o *recordingObserver) RouterExpired(galenalatch.CellID, galenalatch.RouterID) {}

func (o *recordingObserver) GrantingStarted(galenalatch.CellID, galenalatch.Epoch, time.Duration) {}

// Guards against events for servers that have not changed, for every server of
// a cell that was just taken over, and for a boot identity that is only unknown
// for the moment because the server has restarted.
func TestServerChanges(t *testing.T) {
	var o recordingObserver
	observe := func(before map[galenalatch.ServerID]warmup.Status, s ...warmup.Status) map[galenalatch.ServerID]warmup.Status {
		return reportServerChanges(galenalatch.CellID{}, before, s, &o)
	}
	m := observe(nil, warmup.Status{Server: "a", State: warmup.Warm, Boot: "1"})
	assert.Equal(t, len(o), 0)
	m = observe(m, warmup.Status{Server: "a", State: warmup.Warm, Boot: "1", Running: 3}, warmup.Status{Server: "b", State: warmup.Cold})
	m = observe(m, warmup.Status{Server: "a", State: warmup.Cold}, warmup.Status{Server: "b", State: warmup.Cold})
	m = observe(m, warmup.Status{Server: "a", State: warmup.Cold, Boot: "2"}, warmup.Status{Server: "b", State: warmup.Cold})
	m = observe(m)
	observe(m, warmup.Status{Server: "b", State: warmup.Cold, Boot: "7"})
	assert.DeepEqual(t, o, recordingObserver{"b / cold/", "a warm/1 cold/1", "a cold/1 cold/2", "b / cold/7"})
}
