package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// Guards against a fleet in which a cold server has more owners than counted,
// or an owner that uses more or less than its part of the bound.
func TestColdOwners(t *testing.T) {
	var members []galenalatch.RouterID
	for i := range 9 {
		members = append(members, galenalatch.RouterID(fmt.Sprint("r", i)))
	}
	tests := []struct {
		rate float64
		each int
	}{
		// One and a half times the rate and 5 more, a fifth of it.
		{7.3, 3},
		{10, 4},
	}
	for _, tt := range tests {
		testColdOwners(t, members, tt.rate, tt.each)
	}
}

func testColdOwners(t *testing.T, members []galenalatch.RouterID, rate float64, each int) {
	owners := 0
	for _, m := range members {
		table := newTable(m, 0)
		table.SetServices(map[string]galenalatch.Service{pool: {Name: pool, Engine: true, ColdTime: 3 * time.Second, ColdRate: rate}})
		table.SetMembers(members)
		r := registration(0)
		r.ColdFor = 10 * time.Second
		table.Put(start, r)
		sent := 0
		for range 10 {
			if p, ok := table.Choose(start, prompt(1)); ok {
				assert.Assert(t, p.Cold)
				sent++
			}
		}
		if sent > 0 {
			owners++
			assert.Equal(t, sent, each)
			_, ok := table.Choose(start.Add(coldWindow-1), prompt(1))
			assert.Assert(t, !ok, "within the second")
			_, ok = table.Choose(start.Add(coldWindow), prompt(1))
			assert.Assert(t, ok, "a second later")
		}
	}
	assert.Equal(t, owners, coldOwners)
}

// Guards against servers that count as warm early because a later entry names
// a shorter time, and against warm ones that turn cold when a data centre that
// was not out returns.
func TestChill(t *testing.T) {
	table := newTable("r1", 0)
	r := registration(0)
	for _, cold := range []time.Duration{3 * time.Second, time.Second, 0} {
		r.ColdFor = cold
		table.Put(start, r)
	}
	s := table.servers[r.ID]
	assert.Assert(t, s.cold(start.Add(3*time.Second-1)))
	assert.Assert(t, !s.cold(start.Add(3*time.Second)))
	later := start.Add(time.Minute)
	table.SetOut(later, r.DataCentre, false)
	assert.Assert(t, !s.cold(later), "it was not out")
	table.SetOut(later, r.DataCentre, true)
	assert.Assert(t, !table.Usable(later, r.ID))
	table.SetOut(later, r.DataCentre, false)
	assert.Assert(t, s.cold(later), "it was out")
	assert.Assert(t, !table.Usable(later, "unknown"))
}

// Guards against what was known of one process that is held for another one
// with its id, at another address, of another service, or started again.
func TestAnotherProcess(t *testing.T) {
	tests := []struct {
		name   string
		change func(*galenalatch.Registration)
		same   bool
	}{
		{"the same entry again", func(*galenalatch.Registration) {}, true},
		{"leaving", func(r *galenalatch.Registration) { r.Leaving = true }, true},
		{"another service", func(r *galenalatch.Registration) { r.Service = "other" }, false},
		{"another address", func(r *galenalatch.Registration) { r.Address = "10.0.9.9:80" }, false},
		{"another start", func(r *galenalatch.Registration) { r.Started++ }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable("r1", 2)
			before := table.servers["s0"]
			r := registration(0)
			tt.change(&r)
			table.Put(start, r)
			assert.Equal(t, table.servers["s0"] == before, tt.same)
			all := append(append([]*server(nil), table.services[pool]...), table.services["other"]...)
			assert.Equal(t, len(all), 2, "each server is listed once")
		})
	}
}

// Guards against a server that is removed earlier or later than it was told
// first, and against others that go with it.
func TestRemoval(t *testing.T) {
	table := newTable("r1", 3)
	table.Remove("s1", start.Add(time.Second))
	table.Remove("s1", start.Add(time.Minute))
	table.Remove("unknown", start)
	assert.DeepEqual(t, table.Expire(start), []galenalatch.ServerID(nil))
	assert.DeepEqual(t, table.Expire(start.Add(time.Second)), []galenalatch.ServerID{"s1"})
	var left []galenalatch.ServerID
	for _, s := range table.services[pool] {
		left = append(left, s.ID)
	}
	assert.DeepEqual(t, left, []galenalatch.ServerID{"s0", "s2"})
}

// Guards against a reading queue that seems longer or shorter after some of
// its requests got their first token.
func TestBacklog(t *testing.T) {
	table := newTable("r1", 1)
	p, _ := table.Choose(start, prompt(1))
	q, _ := table.Choose(start.Add(10*time.Millisecond), prompt(2))
	s := p.server
	both := p.cost + q.cost
	assert.Equal(t, s.backlog(start.Add(20*time.Millisecond)), both-20*time.Millisecond)
	at := start.Add(p.cost)
	table.First(at, p)
	assert.Equal(t, s.backlog(at.Add(time.Millisecond)), q.cost-time.Millisecond)
	table.First(at.Add(q.cost), q)
	assert.Equal(t, s.backlog(at.Add(q.cost)), time.Duration(0))
}

// Guards against predictions and preferences that count one slot too many or
// too few.
func TestLastSlot(t *testing.T) {
	table := newTable("r1", 1)
	s := table.servers["s0"]
	s.duration = 640 * time.Millisecond
	assert.Equal(t, s.full(s.Slots-1), time.Duration(0), "one slot is free")
	assert.Equal(t, s.full(s.Slots), 10*time.Millisecond, "the next slot")
	assert.Equal(t, s.full(s.Slots+1), 20*time.Millisecond)

	score := func(running int) time.Duration {
		s.running = running
		return table.price(start, s, Ask{Service: "plain"}, nil, false, false).score
	}
	const slots = 64
	assert.Equal(t, score(slots-1), plainCost)
	assert.Equal(t, score(slots), 2*plainCost*(slots+1)/slots, "all slots are taken")
}

// Guards against a server whose address belongs to another one and that gets
// request after request until its entry is gone, also when an older exchange
// with it ends.
func TestMisdirectedServersPause(t *testing.T) {
	table := newTable("r1", 2)
	p, _ := table.Choose(start, prompt(1))
	older, _ := table.Choose(start, prompt(1))
	for older.Server != p.Server {
		older, _ = table.Choose(start, prompt(1))
	}
	table.Done(start, p, Misdirected)
	table.Done(start, older, Shed)
	for at := start; at.Before(start.Add(longestPause)); at = at.Add(100 * time.Millisecond) {
		q, ok := table.Choose(at, prompt(1))
		assert.Assert(t, ok && q.Server != p.Server, "after %s", at.Sub(start))
		table.Done(at, q, Served)
	}
	q, _ := table.Choose(start.Add(longestPause), prompt(1))
	assert.Equal(t, q.Server, p.Server)
}
