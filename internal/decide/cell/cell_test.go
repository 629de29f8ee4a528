package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenalatch/galenalatch"
	"gotest.tools/v3/assert"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pool   = galenalatch.Pool{Name: "m", Kind: galenalatch.ModelPool, ColdLimit: 2, WarmLimit: 4, MaxCost: 100}
	cellID = galenalatch.CellID{Pool: "m", DataCentre: "a"}
)

// newCell returns a cell with a lease and one server with a load report.
func newCell(t *testing.T) *Cell {
	t.Helper()
	c := New(Config{ID: cellID, Router: "r", Epoch: 1, Pool: pool, Start: start})
	c.SetLease(start.Add(time.Hour), false)
	c.SetRouters(start, nil)
	c.SetServers(start, []galenalatch.Instance{{ID: "s", Address: "s:1", DataCentre: "a"}})
	c.SetLoad(start, "s", start, galenalatch.LoadReport{Boot: "b1"}, nil)
	return c
}

func enqueue(c *Cell, now time.Time, ids ...string) {
	for _, id := range ids {
		c.Handle(now, "e", galenalatch.Enqueue{Cell: cellID, Waiting: galenalatch.Waiting{
			Request: galenalatch.RequestID(id), Workspace: "w", Class: galenalatch.Interactive, Estimate: 10,
		}})
	}
}

func grantsOf(out []galenalatch.Outgoing) []galenalatch.Grant {
	var all []galenalatch.Grant
	for _, o := range out {
		if g, ok := o.Message.(galenalatch.Grant); ok {
			all = append(all, g)
		}
	}
	return all
}

// Guards against a cold server that receives more requests than its cold
// limit, and against a limit that does not rise with completed requests.
func TestLimitRisesWithCompletedWork(t *testing.T) {
	c := newCell(t)
	enqueue(c, start, "1", "2", "3", "4", "5", "6")
	first := grantsOf(c.Tick(start))
	assert.Equal(t, len(first), 2)
	assert.Equal(t, first[0].Boot, galenalatch.BootID("b1"))
	c.Handle(start, "e", galenalatch.Finish{Cell: cellID, Request: first[0].Request, Serial: first[0].Serial, Units: 7, Outcome: galenalatch.Answered, Completed: true})
	assert.Equal(t, len(grantsOf(c.Tick(start))), 2)
}

// Guards against a second grant for a duplicated Enqueue, and against a slot
// that stays occupied after the entry has answered that it does not run a lost
// grant.
func TestLostGrantIsResentThenProbed(t *testing.T) {
	c := newCell(t)
	enqueue(c, start, "1")
	g := grantsOf(c.Tick(start))[0]
	enqueue(c, start, "1")
	again := grantsOf(c.Tick(start))
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0], g)
	now := start.Add(2500 * time.Millisecond)
	c.SetLoad(now, "s", now, galenalatch.LoadReport{Boot: "b1"}, nil)
	assert.Equal(t, grantsOf(c.Tick(now))[0], g)
	now = now.Add(5 * time.Second)
	ask := grantsOf(c.Tick(now))[0]
	assert.Assert(t, ask.StatusQuery)
	c.Handle(now, "e", galenalatch.Finish{Cell: cellID, Request: "1", Serial: g.Serial, Outcome: galenalatch.NotRun})
	s := c.Status(now)
	assert.Equal(t, s.Granted, 0)
	assert.Equal(t, s.Servers[0].Running, 0)
}

// Guards against grants without a lease, before reports or after a newer
// epoch is known.
func TestNoGrantWithoutLease(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*Cell)
		want   int
	}{
		{"valid", func(*Cell) {}, 1},
		{"expired", func(c *Cell) { c.SetLease(start, false) }, 0},
		{"lapsed", func(c *Cell) { c.SetLease(start, true) }, 1},
		{"lapsed for 2 h", func(c *Cell) { c.SetLease(start.Add(-2*time.Hour-time.Second), true) }, 0},
		{"report incomplete", func(c *Cell) {
			c.SetRouters(start, []galenalatch.RouterID{"x"})
			c.Handle(start, "x", galenalatch.Report{Cell: cellID, Epoch: 1, More: true})
		}, 0},
		{"report complete", func(c *Cell) {
			c.SetRouters(start, []galenalatch.RouterID{"x"})
			c.Handle(start, "x", galenalatch.Report{Cell: cellID, Epoch: 1})
		}, 1},
		{"no report", func(c *Cell) { c.SetRouters(start, []galenalatch.RouterID{"x"}) }, 0},
		{"newer holder", func(c *Cell) { c.SetPeers(start, []galenalatch.Holder{{Cell: cellID, Epoch: 2}}) }, 0},
		{"boot identity unknown", func(c *Cell) { c.SetServers(start, []galenalatch.Instance{{ID: "t"}}) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCell(t)
			tc.change(c)
			enqueue(c, start, "1")
			assert.Equal(t, len(grantsOf(c.Tick(start))), tc.want)
		})
	}
}

// Guards against a holder that grants while an entry that has not reported may
// still use a grant of the previous holder, and against one that waits forever
// for reports.
func TestWaitsForReports(t *testing.T) {
	for _, tc := range []struct {
		name     string
		released bool
		wait     time.Duration
	}{{"expired", false, 2 * time.Second}, {"released", true, 4 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{ID: cellID, Router: "r", Epoch: 2, Pool: pool, Start: start, PredecessorReleased: tc.released})
			c.SetLease(start.Add(time.Hour), false)
			c.SetRouters(start, []galenalatch.RouterID{"x"})
			c.SetServers(start, []galenalatch.Instance{{ID: "s"}})
			enqueue(c, start, "1")
			for _, want := range []int{0, 1} {
				now := start.Add(tc.wait - time.Duration(1-want))
				c.SetLoad(now, "s", now, galenalatch.LoadReport{Boot: "b1"}, nil)
				assert.Equal(t, len(grantsOf(c.Tick(now))), want)
			}
		})
	}
}

// Guards against a new catalogue whose limits are not applied to the
// workspaces of the queue, or whose entries are applied to other workspaces,
// and against grants for a data centre that it takes out of service.
func TestCatalogueLimits(t *testing.T) {
	c := newCell(t)
	enqueue(c, start, "1", "2", "3")
	entry := galenalatch.Entry{Workspace: "w", Class: galenalatch.Interactive, Weight: 1, MaxRunning: 1}
	other := galenalatch.Entry{Workspace: "v", Class: galenalatch.Interactive, Weight: 1, MaxRunning: 9}
	c.SetCatalogue(start, galenalatch.Catalogue{Pools: []galenalatch.Pool{pool}, Entries: []galenalatch.Entry{entry, other}})
	assert.Equal(t, len(grantsOf(c.Tick(start))), 1)
	c.SetCatalogue(start, galenalatch.Catalogue{Pools: []galenalatch.Pool{pool}, OutOfService: []galenalatch.DataCentre{"a"}})
	assert.Equal(t, len(grantsOf(c.Tick(start))), 0)
}

// Guards against a cell that earns credit while it is idle or partitioned from
// the other cells: its virtual time would stay behind theirs.
func TestVirtualTimeFollowsPeers(t *testing.T) {
	for _, tc := range []struct {
		name string
		busy bool
		want int64
	}{{"idle, then busy", false, 100000 + 2*10}, {"partitioned", true, 102000 - 64*100}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCell(t)
			ids := []string{"1", "2", "3", "4"}
			if tc.busy {
				enqueue(c, start, ids...)
			}
			c.Tick(start)
			for i, vt := range []int64{102000, 100000} {
				id := galenalatch.CellID{Pool: "m", DataCentre: galenalatch.DataCentre(fmt.Sprint("p", i))}
				c.Handle(start, "x", galenalatch.Summary{Cell: id, Epoch: 1, VirtualTime: vt, Waiting: 1})
			}
			enqueue(c, start, ids...)
			c.Tick(start)
			assert.Equal(t, c.Status(start).VirtualTime, tc.want)
		})
	}
}

// Guards against a cell that keeps free slots while another cell of the pool
// has waiting requests, and against loans that are counted twice.
func TestLoanGoesToLowestVirtualTime(t *testing.T) {
	c := newCell(t)
	for i, vt := range []int64{50, 20} {
		id := galenalatch.CellID{Pool: "m", DataCentre: galenalatch.DataCentre(fmt.Sprint("p", i))}
		c.Handle(start, galenalatch.RouterID(fmt.Sprint("r", i)), galenalatch.Summary{Cell: id, Epoch: 1, VirtualTime: vt, Waiting: 1})
	}
	out := c.Tick(start)
	assert.Equal(t, len(out), 2)
	assert.Equal(t, out[0].To, galenalatch.RouterID("r1"))
	l := out[0].Message.(galenalatch.Lend)
	back := galenalatch.GiveBack{From: l.To, To: cellID, Slot: l.Slot, Used: true, Completed: true}
	c.Handle(start, "r1", back)
	c.Handle(start, "e", galenalatch.Report{Cell: cellID, Epoch: 1, Running: []galenalatch.Running{{
		Request: "1", Server: "s", Boot: "b1", Home: l.To, ServerCell: cellID, Slot: l.Slot, Serial: 1,
	}}})
	c.Handle(start, "r1", back)
	s := c.Status(start)
	assert.Equal(t, s.LentSlots, 1)
	assert.Equal(t, s.Servers[0].Limit, 3)
}

// Guards against a server that gets no work until its next load report after
// each slot that another cell did not need.
func TestUnusedLoanFreesSlotAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	id := galenalatch.CellID{Pool: "p", DataCentre: "a"}
	other := galenalatch.CellID{Pool: "p", DataCentre: "b"}
	pool := galenalatch.Pool{Name: "p", ColdLimit: 1, WarmLimit: 1, MaxCost: 100}
	c := New(Config{ID: id, Router: "r1", Epoch: 1, Pool: pool, Start: now.Add(-time.Minute)})
	c.SetCatalogue(now, galenalatch.Catalogue{Pools: []galenalatch.Pool{pool}})
	c.SetServers(now, []galenalatch.Instance{{ID: "s", DataCentre: "a", Pool: "p"}})
	c.SetLease(now.Add(time.Minute), false)
	c.SetLoad(now, "s", now, galenalatch.LoadReport{Boot: "1"}, nil)
	c.SetPeers(now, []galenalatch.Holder{{Cell: other, Router: "r2", Epoch: 1}})
	c.Handle(now, "r2", galenalatch.Summary{Cell: other, Epoch: 1, Waiting: 5})
	var loan *galenalatch.Lend
	for _, o := range c.Tick(now) {
		if m, ok := o.Message.(galenalatch.Lend); ok {
			loan = &m
		}
	}
	assert.Assert(t, loan != nil)
	now = now.Add(3 * time.Millisecond)
	c.Handle(now, "r2", galenalatch.GiveBack{From: other, To: id, Slot: loan.Slot})
	c.RouterConnected(now, "r1", "start")
	c.Handle(now, "r1", galenalatch.Enqueue{Cell: id, Waiting: galenalatch.Waiting{Request: "q", Workspace: "w", Class: galenalatch.Interactive, Estimate: 1}})
	granted := false
	for _, o := range c.Tick(now) {
		_, ok := o.Message.(galenalatch.Grant)
		granted = granted || ok
	}
	assert.Assert(t, granted)
}

// Guards against a slot that is freed, used or returned because of a message
// that does not prove that its grant has ended, and against a slot that stays
// occupied after the router of its entry has restarted or gone.
func TestSlotStaysOccupiedUntilGrantEnds(t *testing.T) {
	other := galenalatch.CellID{Pool: "m", DataCentre: "p"}
	for _, tc := range []struct {
		name    string
		do      func(*Cell, galenalatch.Grant)
		granted int
		running int
	}{
		{"withdraw", func(c *Cell, g galenalatch.Grant) {
			c.Handle(start, "e", galenalatch.Withdraw{Cell: cellID, Request: g.Request})
		}, 1, 1},
		{"report without the grant", func(c *Cell, _ galenalatch.Grant) {
			c.Handle(start, "e", galenalatch.Report{Cell: cellID, Epoch: 1})
		}, 1, 1},
		{"finish of another grant", func(c *Cell, g galenalatch.Grant) {
			c.Handle(start, "e", galenalatch.Finish{Cell: cellID, Request: g.Request, Serial: g.Serial - 1})
		}, 1, 1},
		{"late report after the finish", func(c *Cell, g galenalatch.Grant) {
			c.Handle(start, "e", galenalatch.Finish{Cell: cellID, Request: g.Request, Serial: g.Serial})
			c.Handle(start, "e", galenalatch.Report{Cell: cellID, Epoch: 1, Running: []galenalatch.Running{{
				Request: g.Request, Server: g.Server, Boot: g.Boot, Home: cellID, ServerCell: cellID, Serial: g.Serial,
			}}})
		}, 0, 0},
		{"report after an unknown finish", func(c *Cell, g galenalatch.Grant) {
			c.Handle(start, "e", galenalatch.Finish{Cell: cellID, Request: "2", Serial: 7})
			c.Handle(start, "e", galenalatch.Report{Cell: cellID, Epoch: 1, Running: []galenalatch.Running{{
				Request: "2", Server: g.Server, Boot: g.Boot, Home: cellID, ServerCell: cellID, Serial: 7,
			}}})
		}, 1, 1},
		{"entry disconnected for 9 s", func(c *Cell, _ galenalatch.Grant) {
			c.RouterDisconnected(start, "e")
			c.Tick(start.Add(9 * time.Second))
		}, 1, 1},
		{"entry disconnected for 10 s", func(c *Cell, _ galenalatch.Grant) {
			c.RouterDisconnected(start, "e")
			c.Tick(start.Add(10 * time.Second))
		}, 0, 0},
		{"entry has restarted", func(c *Cell, _ galenalatch.Grant) {
			c.RouterConnected(start, "e", "first")
			c.RouterConnected(start, "e", "second")
		}, 0, 0},
		{"later grant is confirmed", func(c *Cell, g galenalatch.Grant) {
			c.SetLease(start, false)
			now := start.Add(3 * time.Second)
			c.Tick(now)
			c.SetLoad(now, "s", now, galenalatch.LoadReport{Boot: "b1"}, nil)
			c.SetLease(now.Add(time.Hour), false)
			c.Tick(now)
			c.Handle(now, "e", galenalatch.Progress{Cell: cellID, Used: []galenalatch.Used{{Serial: g.Serial + 1}}})
		}, 1, 1},
		{"slot lent to an earlier holder", func(c *Cell, _ galenalatch.Grant) {
			enqueue(c, start, "2")
			c.Handle(start, "x", galenalatch.Lend{From: other, To: cellID, ToEpoch: 0, Slot: "a", TermMillis: 1000})
			c.Tick(start)
		}, 2, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCell(t)
			enqueue(c, start, "1")
			tc.do(c, grantsOf(c.Tick(start))[0])
			s := c.Status(start)
			assert.Equal(t, s.Granted, tc.granted)
			assert.Equal(t, s.Servers[0].Running, tc.running)
		})
	}
}

// Guards against a new holder that returns a slot on which the previous holder
// may have started a request that has not been reported yet.
func TestNewHolderDelaysLoanAnswers(t *testing.T) {
	other := galenalatch.CellID{Pool: "m", DataCentre: "p"}
	for _, tc := range []struct {
		after time.Duration
		want  int
	}{{4 * time.Second, 0}, {5 * time.Second, 1}} {
		c := newCell(t)
		c.Tick(start)
		c.SetPeers(start, []galenalatch.Holder{{Cell: other, Router: "x", Epoch: 1}})
		now := start.Add(tc.after)
		c.Handle(now, "x", galenalatch.Lend{From: other, Epoch: 1, To: cellID, ToEpoch: 1, Slot: "a", StatusQuery: true})
		n := 0
		for _, o := range c.Tick(now) {
			if _, ok := o.Message.(galenalatch.GiveBack); ok {
				n++
			}
		}
		assert.Equal(t, n, tc.want)
	}
}

// Guards against routers that TakeExpiredRouters returns more than once, or
// although none of their requests was running.
func TestExpiredRoutersAreReturnedOnce(t *testing.T) {
	c := newCell(t)
	enqueue(c, start, "1")
	c.Tick(start)
	c.RouterConnected(start, "idle", "s1")
	c.RouterDisconnected(start, "e")
	c.RouterDisconnected(start, "idle")
	c.Tick(start.Add(9 * time.Second))
	assert.Equal(t, len(c.TakeExpiredRouters()), 0)
	c.Tick(start.Add(10 * time.Second))
	assert.DeepEqual(t, c.TakeExpiredRouters(), []galenalatch.RouterID{"e"})
	assert.Equal(t, len(c.TakeExpiredRouters()), 0)
}

// Guards against a workspace that gains by a wrong estimate: the charge of a
// request must follow its cost while it runs, and its final cost must replace
// the charge, whether it is higher or lower.
func TestChargeIsSettled(t *testing.T) {
	for _, units := range []int64{1, 40} {
		c := newCell(t)
		enqueue(c, start, "1")
		g := grantsOf(c.Tick(start))[0]
		c.Handle(start, "e", galenalatch.Progress{Cell: cellID, Used: []galenalatch.Used{{Serial: g.Serial, Units: 25}}})
		before := c.Handover().Counters["w"]
		assert.Equal(t, before, int64(25))
		c.Handle(start, "e", galenalatch.Finish{Cell: cellID, Request: g.Request, Serial: g.Serial, Units: units, Completed: true, Outcome: galenalatch.Answered})
		assert.Assert(t, before != units)
		assert.Equal(t, c.Handover().Counters["w"], units)
	}
}
