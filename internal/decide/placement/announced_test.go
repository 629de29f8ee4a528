package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

func entryOf(id string) galenalatch.Registration {
	return galenalatch.Registration{ID: galenalatch.ServerID(id), Service: pool, Address: id, DataCentre: "a", Slots: 8, Started: 1}
}

// newPool returns a table with servers, and a reservation of each of them.
func newPool(self galenalatch.RouterID, servers ...string) (*Table, map[string]*Reservation) {
	t := New(Options{Self: self, Local: "a", PrefillRate: 50})
	t.SetServices(map[string]galenalatch.Service{pool: {Name: pool}})
	for _, id := range servers {
		t.Put(start, entryOf(id))
	}
	reservations := make(map[string]*Reservation)
	for len(reservations) < len(servers) {
		p, _ := t.Choose(start, Request{Service: pool})
		reservations[string(p.Server)] = p
	}
	return t, reservations
}

// Guards against an announcement that is undone by a later entry, by an entry that lapses
// and comes back, or that counts for another process with the id or the address.
func TestLeavingIsRemembered(t *testing.T) {
	table, _ := newPool("r1", "s1")
	assert.Assert(t, table.RecordLeaving(start, "s1", 1))
	assert.Assert(t, !table.RecordLeaving(start, "s1", 1), "it is news only once")
	assert.Assert(t, !table.Usable(start, "s1"))

	table.Put(start, entryOf("s1"))
	assert.Assert(t, !table.Usable(start, "s1"), "after a later entry")
	moved := entryOf("s1")
	moved.Address = "elsewhere"
	table.Put(start, moved)
	assert.Assert(t, !table.Usable(start, "s1"), "after an entry with another address")
	table.Remove("s1", start)
	back := start.Add(leavingMemory / 2)
	table.Expire(back)
	table.Put(back, entryOf("s1"))
	assert.Assert(t, !table.Usable(back, "s1"), "after its entry came back")

	other := entryOf("s2")
	other.Address = "s1"
	table.Put(back, other)
	assert.Assert(t, table.Usable(back, "s2"), "another server at the address")
	restarted := entryOf("s1")
	restarted.Started = 2
	table.Put(back, restarted)
	assert.Assert(t, table.Usable(back, "s1"), "a new start with the same id")
}

// Guards against a table that grows with each server that has ever left.
func TestLeavingIsForgotten(t *testing.T) {
	table, reservations := newPool("r1", "s1", "s2")
	for _, p := range reservations {
		table.RecordLeaving(start, p.Server, p.Started)
	}
	table.Remove("s1", start)
	table.Expire(start)
	table.Expire(start.Add(leavingMemory))
	assert.Equal(t, len(table.leaving), 1)
	assert.Assert(t, !table.Usable(start.Add(leavingMemory), "s2"), "it is still listed")
}

// Guards against a reason that is missing in logs and metrics, or wrong in them.
func TestReasons(t *testing.T) {
	tests := []struct {
		reason Reason
		change func(t *Table, p *Reservation)
	}{
		{Available, func(*Table, *Reservation) {}},
		{NotListed, func(t *Table, p *Reservation) { t.Remove(p.Server, start) }},
		{Leaving, func(t *Table, p *Reservation) {
			r := entryOf("s1")
			r.Leaving = true
			t.Put(start, r)
		}},
		{LeavingAnnounced, func(t *Table, p *Reservation) { t.RecordLeaving(start, p.Server, p.Started) }},
		{OutOfService, func(t *Table, p *Reservation) { t.SetOutOfService(start, "a", true) }},
		{PauseRequested, func(t *Table, p *Reservation) { t.RecordPause(start, p.Server, p.Started, time.Second) }},
		{Returning, func(t *Table, p *Reservation) {
			t.RecordPause(start.Add(-time.Second), p.Server, p.Started, time.Second*9/10)
		}},
		{ColdLimit, func(t *Table, p *Reservation) {
			r := entryOf("s1")
			r.ColdFor = time.Second
			t.Put(start, r)
		}},
		{NamedLimit, func(t *Table, p *Reservation) { t.RecordLimit(start, p, galenalatch.ResponseHead{Limited: true}) }},
		{Failing, func(t *Table, p *Reservation) { t.Release(start, p, Broken) }},
	}
	assert.Equal(t, len(tests), len(Reasons))
	names := make(map[string]bool)
	for _, tt := range tests {
		t.Run(tt.reason.String(), func(t *testing.T) {
			table, reservations := newPool("r1", "s1")
			tt.change(table, reservations["s1"])
			assert.Equal(t, table.ServiceAvailability(start, pool).Reason, tt.reason)
			assert.Equal(t, table.Count(start, tt.reason), 1)
			_, ok := table.Choose(start, Request{Service: pool})
			assert.Equal(t, ok, tt.reason == Available || tt.reason == Failing)
			assert.Equal(t, table.Usable(start, "s1"), !tt.reason.final())
		})
		names[tt.reason.String()] = true
	}
	assert.Equal(t, len(names), len(Reasons))
}

// Guards against requests to a server during the pauses that it asks for. The rule: from
// half a second after a rejection to the end of its pause, at most two requests of this
// router.
func TestPausesAreKept(t *testing.T) {
	const (
		reactionTime = 500 * time.Millisecond
		maxArrivals  = 2
		answerTime   = 100 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		table, _ := newPool("r1", "s1", "s2")
		type pause struct{ from, to time.Time }
		pauses := make(map[galenalatch.ServerID][]pause)
		arrivals := make(map[galenalatch.ServerID][]time.Time)
		now := start.Add(time.Second)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			p, ok := table.Choose(now, Request{Service: pool})
			if !ok {
				continue
			}
			arrivals[p.Server] = append(arrivals[p.Server], now)
			now = now.Add(answerTime)
			if rapid.IntRange(0, 3).Draw(t, "answer") > 0 {
				table.Release(now, p, Served)
				continue
			}
			d := time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond
			table.RecordPause(now, p.Server, p.Started, d)
			table.Release(now, p, rapid.SampledFrom([]Result{Shed, Failed}).Draw(t, "result"))
			pauses[p.Server] = append(pauses[p.Server], pause{now.Add(reactionTime), now.Add(d)})
		}
		for s, list := range pauses {
			for _, d := range list {
				n := 0
				for _, at := range arrivals[s] {
					if !at.Before(d.from) && at.Before(d.to) {
						n++
					}
				}
				if n > maxArrivals {
					t.Fatalf("%d requests to %s in a pause", n, s)
				}
			}
		}
	})
}

// Guards against routers that were paused together and send all that they have in the
// same moment after it.
func TestRoutersReturnGently(t *testing.T) {
	const (
		routers = 40
		pause   = 2 * time.Second
	)
	ends := make(map[time.Time]int)
	for i := range routers {
		table, reservations := newPool(galenalatch.RouterID(fmt.Sprint("r", i)), "s1")
		until, _ := table.RecordPause(start, "s1", 1, pause)
		table.Release(start, reservations["s1"], Shed)
		assert.Assert(t, until.Sub(start) >= pause && until.Sub(start) <= pause+maxReturnSpread)
		ends[until.Truncate(maxReturnSpread/5)]++

		begun := 0
		for range 10 {
			if _, ok := table.Choose(until, Request{Service: pool}); ok {
				begun++
			}
		}
		assert.Equal(t, begun, 1, "at the end of the pause")
		next := table.ServiceAvailability(until, pool)
		assert.Equal(t, next.Reason, Returning)
		_, ok := table.Choose(next.Until, Request{Service: pool})
		assert.Assert(t, ok, "one more at the time that is told to callers")
		for range 10 {
			_, ok := table.Choose(until.Add(returnTime), Request{Service: pool})
			assert.Assert(t, ok, "all of them after returnTime")
		}
	}
	for at, n := range ends {
		assert.Assert(t, n <= routers/2, "%d of %d routers return in 100 ms from %s", n, routers, at.Sub(start))
	}
}

// Guards against a server that an absurd pause takes away for good, and against a later
// request of a shorter pause that ends an earlier one.
func TestPauseIsBounded(t *testing.T) {
	table, _ := newPool("r1", "s1")
	long, first := table.RecordPause(start, "s1", 1, 1000*time.Hour)
	assert.Assert(t, first && long.Sub(start) <= maxPause+maxReturnSpread)
	again, first := table.RecordPause(start, "s1", 1, time.Second)
	assert.Assert(t, !first)
	assert.Equal(t, again, long)
}
