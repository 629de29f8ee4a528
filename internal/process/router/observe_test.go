package router

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
	"github.com/galenalatch/galenalatch/internal/platform/leases"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

func logged(t *testing.T) (*events.Log, func() string) {
	t.Helper()
	var b bytes.Buffer
	l, err := events.New(&b, "debug", "logfmt")
	assert.NilError(t, err)
	return l, func() string {
		var all []string
		for _, m := range regexp.MustCompile(`event=(\d+)`).FindAllStringSubmatch(b.String(), -1) {
			all = append(all, m[1])
		}
		b.Reset()
		return strings.Join(all, " ")
	}
}

// Guards against a release or a renewal that is logged as a loss, against a loss
// that is not logged, and against events for other routers' leases.
func TestLeaseEvents(t *testing.T) {
	r := &Router{loggedLeases: make(map[galenalatch.CellID]leases.State)}
	r.settings.ID = "a"
	held := leases.State{Epoch: 2, Held: true, Holder: "a", HolderEpoch: 2}
	lapsed := leases.State{Epoch: 2, Lapsed: true, Holder: "a", HolderEpoch: 2}
	released := leases.State{Released: true, Holder: "a", HolderEpoch: 2}
	other := leases.State{Holder: "b", HolderEpoch: 3}
	for _, c := range []struct {
		before, now leases.State
		want        events.Number
	}{
		{leases.State{}, held, events.LeaseAcquired},
		{held, held, 0},
		{held, lapsed, events.LeaseLapsed},
		{lapsed, held, events.LeaseRenewed},
		{lapsed, other, events.LeaseLost},
		{held, other, events.LeaseLost},
		{held, released, events.LeaseReleased},
		{released, other, 0},
		{other, leases.State{Released: true, Holder: "b", HolderEpoch: 3}, 0},
		{other, leases.State{Epoch: 4, Held: true, Holder: "a", HolderEpoch: 4}, events.LeaseAcquired},
	} {
		n, ok := r.leaseEvent(c.before, c.now)
		if !ok {
			n = 0
		}
		assert.Equal(t, n, c.want, "%+v", c)
	}
}

// Guards against an unbounded number of log lines, or of stored causes, when
// many requests are refused or connections rejected.
func TestLogLimiter(t *testing.T) {
	var l logLimiter
	now := time.Now()
	assert.Assert(t, l.allow(now, "x"))
	assert.Assert(t, !l.allow(now.Add(59*time.Second), "x"))
	assert.Assert(t, l.allow(now.Add(time.Minute), "x"))
	for i := range 2 * maxLogCauses {
		l.allow(now, fmt.Sprint(i))
	}
	assert.Equal(t, len(l.last), maxLogCauses)
	assert.Assert(t, l.allow(now.Add(2*time.Minute), "y"))
}

// Guards against changes of servers, or of what is in service, that are not
// logged or that are logged as another event.
func TestServiceAndServerEvents(t *testing.T) {
	l, got := logged(t)
	r := &Router{log: l}
	r.logServiceChanges(galenalatch.Catalogue{}.WithServer("x", true))
	r.hasBeenReady.Store(true)
	c := galenalatch.Catalogue{Version: 1}.WithDataCentre("a", true)
	r.logServiceChanges(c)
	r.logServiceChanges(c.WithVersion(2).WithServer("s", true).WithDataCentre("a", false))
	r.logServiceChanges(c)
	r.logServiceChanges(galenalatch.Catalogue{Version: 3})
	assert.Equal(t, got(), "5009 5010 5009 5010")

	o := cellObserver{l}
	was := warmup.Status{Server: "s", State: warmup.Warm, Boot: "1"}
	for _, now := range []warmup.Status{
		{Server: "s", State: warmup.Cold, Boot: "2"},
		{Server: "s", State: warmup.Leaving, Boot: "1"},
		{Server: "s", State: warmup.Suspect, Boot: "1"},
		{Server: "s", State: warmup.OutOfService, Boot: "1"},
	} {
		o.ServerChanged(galenalatch.CellID{}, was, now)
	}
	o.ServerChanged(galenalatch.CellID{}, warmup.Status{}, was)
	assert.Equal(t, got(), "4003 4002 4006 4005 4002 4001")
}

// Guards against different outcomes that are logged as the same event.
func TestFailureEvents(t *testing.T) {
	assert.Equal(t, failureEvent(galenalatch.KindInProgress.Errorf("x")), events.ClaimUnfinished)
	assert.Equal(t, failureEvent(galenalatch.KindServerFailed.Errorf("x")), events.OutcomeUnknown)
	assert.Equal(t, failureEvent(galenalatch.KindStreamBroken.Errorf("x")), events.StreamBroken)
	assert.Equal(t, failureEvent(galenalatch.KindQueueFull.Errorf("x")), events.RequestRefused)
}
