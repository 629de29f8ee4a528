package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// exchange sends a request from one router to another. The reply arrives at
// once.
func (m *model) exchange(from, to galenalatch.RouterID) {
	reply := m.routers[to].Reply(m.now, m.routers[from].Request(m.now, to))
	m.routers[from].Merge(m.now, to, reply)
}

func (m *model) apply(v galenalatch.Version, routers ...galenalatch.RouterID) {
	for _, r := range routers {
		m.routers[r].SetHeld(v, m.lists[v])
	}
}

// TestRestartWaitsForOpenAcceptances guards against a restarted router that
// qualifies by evidence older than an acceptance to which its previous
// process contributed.
func TestRestartWaitsForOpenAcceptances(t *testing.T) {
	m := newModel(1, 5, 5)
	m.lists = append(m.lists, m.lists[1])
	m.apply(2, "r0", "r1")
	m.exchange("r0", "r1")

	// r1 replied that it holds 2. It restarts and sends requests to a majority
	// that does not hold 2.
	m.restart("r1")
	m.now = m.now.Add(100 * time.Millisecond)
	m.apply(1, "r1")
	for _, r := range []galenalatch.RouterID{"r2", "r3", "r4"} {
		m.exchange("r1", r)
	}
	// r2 then receives 2, which completes the majority that r0 counts.
	m.apply(2, "r2")
	m.exchange("r0", "r2")
	held, total := m.routers["r0"].Accepted(m.now, 2)
	assert.Assert(t, 2*held > total)

	m.now = m.now.Add(modelWindow)
	m.exchange("r3", "r1")
	m.exchange("r3", "r4")
	fresh, _ := m.routers["r3"].Fresh(m.now)
	assert.Assert(t, !fresh, "r3 is fresh with version 1")

	m.now = m.now.Add(modelSettle)
	for _, r := range []galenalatch.RouterID{"r0", "r3", "r4"} {
		m.exchange("r1", r)
	}
	_, reason := m.routers["r1"].Fresh(m.now)
	assert.Equal(t, reason, Starting, "r1 lacks version 2")
	m.apply(2, "r1")
	fresh, _ = m.routers["r1"].Fresh(m.now)
	assert.Assert(t, fresh)
}

// TestOldRepliesDoNotCount guards against an acceptance that counts the reply
// of a process that ended longer than Settle ago.
func TestOldRepliesDoNotCount(t *testing.T) {
	m := newModel(1, 5, 5)
	m.lists = append(m.lists, m.lists[1])
	m.apply(2, "r0", "r1")
	m.exchange("r0", "r1")
	m.restart("r1")
	m.now = m.now.Add(modelSettle - time.Millisecond)
	q := m.routers["r0"].Request(m.now, "r2")
	m.now = m.now.Add(2 * time.Millisecond)
	m.apply(1, "r1")
	for _, r := range []galenalatch.RouterID{"r2", "r3", "r4"} {
		m.exchange("r1", r)
	}
	m.apply(2, "r2")
	m.routers["r0"].Merge(m.now, "r2", m.routers["r2"].Reply(m.now, q))
	held, total := m.routers["r0"].Accepted(m.now, 2)
	assert.Equal(t, held, 2)
	assert.Equal(t, total, 5)

	m.now = m.now.Add(modelWindow)
	m.exchange("r3", "r1")
	m.exchange("r3", "r4")
	fresh, _ := m.routers["r3"].Fresh(m.now)
	assert.Assert(t, fresh, "r3 is fresh with version 1, so 2 must not have been accepted")
}

// TestAcceptedNeedsBothLists guards against an acceptance by a majority of
// the new list alone, which the routers of the previous list do not detect.
func TestAcceptedNeedsBothLists(t *testing.T) {
	m := newModel(1, 3, 3)
	m.lists = append(m.lists, Lists{Current: m.names[:1], Previous: m.names})
	m.apply(2, "r0")
	held, total := m.routers["r0"].Accepted(m.now, 2)
	assert.Equal(t, held, 1)
	assert.Equal(t, total, 3)
	assert.Assert(t, !m.routers["r0"].MayChangeLists(m.now))
	m.now = m.now.Add(modelWindow)
	m.exchange("r1", "r2")
	fresh, _ := m.routers["r1"].Fresh(m.now)
	assert.Assert(t, fresh)
	m.apply(2, "r2")
	m.exchange("r0", "r2")
	assert.Assert(t, m.routers["r0"].MayChangeLists(m.now))
}

// TestListChange guards against lists that follow each temporary change of
// the instance list, that are changed by all routers at once, or that are
// changed before the held version is accepted.
func TestListChange(t *testing.T) {
	m := newModel(1, 4, 3)
	r0, r1 := m.routers["r0"], m.routers["r1"]
	propose := func(v *View) int {
		v.RecordRead(m.now, v.Held())
		put, remove := v.RouterListChange(m.now)
		return len(put) + 10*len(remove)
	}
	r0.SetInstances(m.names[1:])
	assert.Equal(t, propose(r0), 0)
	r0.SetInstances(m.names)
	assert.Equal(t, propose(r0)+propose(r1), 0)
	m.now = m.now.Add(listStableTime)
	assert.Equal(t, propose(r0), 0, "version 1 is not accepted yet")
	m.exchange("r0", "r1")
	m.exchange("r1", "r0")
	assert.Equal(t, propose(r0), 1)
	assert.Equal(t, propose(r1), 0)

	m.lists = append(m.lists, Lists{Current: m.names, Previous: m.lists[1].Current})
	m.apply(2, "r0")
	r1.RecordRead(m.now, 2)
	m.now = m.now.Add(listRankDelay)
	_, remove := r1.RouterListChange(m.now)
	assert.Equal(t, len(remove), 0)
	assert.Equal(t, propose(r0), 0)
	put, _ := r1.RouterListChange(m.now)
	assert.Equal(t, len(put), 0, "r1 has received a newer version than the held one")
}

// TestReadInterval guards against more reads than the table allows, and
// against a router that does not read while no router confirms its
// catalogue.
func TestReadInterval(t *testing.T) {
	for _, c := range []struct {
		routers int
		age     time.Duration
		want    time.Duration
	}{
		{1, 0, 25 * time.Millisecond},
		{8, 0, 200 * time.Millisecond},
		{8, time.Minute, 200 * time.Millisecond},
		{400, 0, 10 * time.Second},
		{400, 1500 * time.Millisecond, time.Second},
	} {
		now := time.Now()
		v := New(Options{Self: "r", Started: now.Add(-time.Hour)})
		var ids []galenalatch.RouterID
		for i := range c.routers {
			ids = append(ids, galenalatch.RouterID(fmt.Sprint("r", i)))
		}
		v.SetInstances(ids)
		v.RecordRead(now.Add(-c.age), 0)
		assert.Equal(t, v.ReadInterval(now), c.want, "%d routers", c.routers)
	}
}

// TestHoldersAreRepaired guards against a restarted router that does not
// receive all holders, and against holders that are sent although nothing
// has changed.
func TestHoldersAreRepaired(t *testing.T) {
	m := newModel(1, 2, 2)
	for i := range 200 {
		m.routers["r0"].SetHolder(m.now, galenalatch.Holder{
			Cell: galenalatch.CellID{Pool: "p", Index: i}, Router: "r0", Epoch: 3,
		})
	}
	m.now = m.now.Add(time.Minute)
	m.restart("r1")
	for range 12 {
		m.now = m.now.Add(250 * time.Millisecond)
		m.exchange("r1", "r0")
	}
	assert.Equal(t, len(m.routers["r1"].Holders()), 200)
	q := m.routers["r1"].Request(m.now, "r0")
	assert.Equal(t, len(q.Gossip.Holders), 0)
	assert.Equal(t, len(m.routers["r0"].Reply(m.now, q).Holders), 0)
	assert.Assert(t, !m.routers["r1"].SetHolder(m.now, galenalatch.Holder{
		Cell: galenalatch.CellID{Pool: "p", Index: 7}, Router: "r1", Epoch: 2,
	}), "an older epoch must not win")
}

// TestGossipPeers guards against gossip peers that are always the same, not
// listed or the router itself, and against an awaited version whose routers are
// not among them.
func TestGossipPeers(t *testing.T) {
	m := newModel(1, 7, 7)
	r := rand.New(rand.NewPCG(1, 2))
	v := m.routers["r0"]
	v.SetInstances(m.names[:6])
	seen := make(map[galenalatch.RouterID]int)
	for range 1000 {
		p := v.GossipPeers(m.now, r)
		assert.Equal(t, len(p), fanOut)
		for _, x := range p {
			seen[x]++
		}
	}
	assert.Equal(t, len(seen), 5)
	for x, n := range seen {
		assert.Assert(t, x != "r0" && n > 500, "%s: %d", x, n)
	}
	v.AwaitAcceptance(m.now, 1)
	assert.Equal(t, len(v.GossipPeers(m.now, r)), 6)
	for _, x := range m.names[1:4] {
		m.exchange("r0", x)
	}
	assert.Equal(t, len(v.GossipPeers(m.now, r)), fanOut)
}
