package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeTable is a table with a single row.
type fakeTable struct {
	exists bool
	row    galenalatch.Row
	writes int
}

func (r *fakeTable) read() (galenalatch.Row, error) {
	if !r.exists {
		return galenalatch.Row{}, galenalatch.KindNotFound.Errorf("no row")
	}
	return r.row, nil
}

func (r *fakeTable) put(w galenalatch.Write) (galenalatch.Row, error) {
	if w.IfAbsent && r.exists || w.IfTag != "" && (!r.exists || w.IfTag != r.row.Tag) {
		return galenalatch.Row{}, galenalatch.KindConflict.Errorf("condition does not hold")
	}
	r.writes++
	r.exists, r.row = true, galenalatch.Row{Key: w.Key, Value: w.Value, Tag: fmt.Sprint(r.writes)}
	return r.row, nil
}

// testRouter carries out the actions of one lease.
type testRouter struct {
	*Lease
	table *fakeTable
}

func newRouter(r *fakeTable, name string, rank int) testRouter {
	n := 0
	l := New(Config{Key: "k", Router: galenalatch.RouterID(name), Start: name + "1", NewID: func() string {
		n++
		return fmt.Sprint(name, n)
	}})
	l.SetRank(rank)
	return testRouter{l, r}
}

// step carries out the next action of the lease. If fail is not nil, a read
// fails, and a write returns fail: after it took effect if applied is set,
// without effect otherwise.
func (r testRouter) step(now time.Time, applied bool, fail error) Action {
	a := r.Next(now)
	switch {
	case a.Read && fail != nil:
		r.ReadDone(now, galenalatch.Row{}, galenalatch.KindPlatformDown.Errorf("down"))
	case a.Read:
		got, err := r.table.read()
		r.ReadDone(now, got, err)
	case a.Write != nil:
		var done galenalatch.Row
		err := fail
		if applied || fail == nil {
			done, err = r.table.put(*a.Write)
		}
		if err == nil && fail != nil {
			err = fail
		}
		r.WriteDone(now, done, err)
	}
	return a
}

// drive takes two steps every 100 ms from one time to another.
func (r testRouter) drive(from, to time.Duration, fail error) {
	for ; from <= to; from += 100 * time.Millisecond {
		r.step(start.Add(from), false, fail)
		r.step(start.Add(from), false, fail)
	}
}

func at(d time.Duration) time.Time { return start.Add(d) }

var (
	errDown         = galenalatch.KindPlatformDown.Errorf("down")
	errWriteUnknown = galenalatch.KindWriteUnknown.Errorf("lost")
)

const second = time.Second

// TestTakeover guards against a takeover before duration and margin are
// over, and against one that never happens.
func TestTakeover(t *testing.T) {
	table := &fakeTable{}
	a, b := newRouter(table, "a", 0), newRouter(table, "b", 1)
	a.drive(0, 0, nil)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1))
	assert.Assert(t, a.Held(at(3999*time.Millisecond)))
	assert.Assert(t, !a.Held(at(4*second)), "the lease counts from before the write was sent")
	assert.Assert(t, !a.Lapsed(at(4*second)), "a paused holder is not lapsed")

	b.drive(0, 4600*time.Millisecond, nil)
	assert.Equal(t, b.Epoch(), galenalatch.Epoch(0), "rank 1 waits 4 s + 0.5 s + 0.2 s")
	b.drive(4700*time.Millisecond, 4700*time.Millisecond, nil)
	assert.Equal(t, b.Epoch(), galenalatch.Epoch(2))
	assert.Assert(t, b.Unconfirmed(at(5*second)))

	a.step(at(5*second), false, nil)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1), "the renewal had a conflict and the row was not read yet")
	a.step(at(5*second), false, nil)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(0))
	b.ConfirmStopped(1)
	assert.Assert(t, !b.Unconfirmed(at(5*second)))

	c := newRouter(table, "c", -1)
	c.drive(5*second, 8*second, nil)
	c.SetRank(0)
	assert.Assert(t, c.step(at(8*second), false, nil).Read, "a new candidate reads at once")
}

// TestReadBack guards against a holder that loses its lease, or counts it
// from the wrong time, because the response to a write was lost.
func TestReadBack(t *testing.T) {
	table := &fakeTable{}
	a := newRouter(table, "a", 0)
	a.step(start, false, nil)
	a.step(start, true, errWriteUnknown)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(0), "the outcome of the write is not known yet")
	assert.Assert(t, !a.Idle())
	assert.Assert(t, a.step(at(second), true, nil).Read)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1))
	assert.Equal(t, a.Expires(), at(4*second))

	assert.Assert(t, a.step(at(1400*time.Millisecond), true, errWriteUnknown).Write != nil)
	assert.Assert(t, a.step(at(2400*time.Millisecond), true, nil).Read)
	assert.Equal(t, a.Expires(), at(5400*time.Millisecond))
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1))
}

// TestLateWrite guards against a lease that is lost or counted wrongly
// because a renewal takes effect only after the read-back did not show it.
func TestLateWrite(t *testing.T) {
	table := &fakeTable{}
	a := newRouter(table, "a", 0)
	a.drive(0, 0, nil)
	late := a.step(at(1400*time.Millisecond), false, errWriteUnknown).Write
	assert.Assert(t, a.step(at(2400*time.Millisecond), false, nil).Read)
	_, err := table.put(*late)
	assert.NilError(t, err)
	assert.Assert(t, a.step(at(2400*time.Millisecond), false, nil).Write != nil)
	assert.Assert(t, a.step(at(2400*time.Millisecond), false, nil).Read)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1))
	assert.Equal(t, a.Expires(), at(5400*time.Millisecond))
}

// TestNewerEpochDuringTakeover guards against a router that becomes the
// holder although it learned of a newer epoch before the result of its own
// takeover.
func TestNewerEpochDuringTakeover(t *testing.T) {
	table := &fakeTable{}
	a := newRouter(table, "a", 0)
	a.step(start, false, nil)
	write := a.Next(start).Write
	a.ObserveEpoch(5)
	done, err := table.put(*write)
	a.WriteDone(start, done, err)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(0))
	a.drive(0, second, nil)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(6))
}

// TestLapsed guards against routers that stop granting during an outage of
// the platform, and against a lapsed holder that continues forever or
// although a newer holder is known.
func TestLapsed(t *testing.T) {
	table := &fakeTable{}
	a, b := newRouter(table, "a", 0), newRouter(table, "b", 0)
	a.drive(0, 0, nil)
	b.drive(0, 0, nil)
	a.drive(100*time.Millisecond, 20*second, errDown)
	b.drive(100*time.Millisecond, 20*second, errDown)
	assert.Assert(t, !a.Held(at(20*second)) && a.Lapsed(at(20*second)))
	assert.Assert(t, !a.Lapsed(at(30*second)), "paused for 10 s")

	b.drive(20*second, 23*second, nil)
	assert.Equal(t, b.Epoch(), galenalatch.Epoch(0), "a candidate starts its wait again after an outage")
	a.drive(23*second, 23*second, nil)
	assert.Assert(t, a.Held(at(24*second)), "the same holder continues")
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1))

	a.drive(23*second, 40*second, errDown)
	assert.Assert(t, a.Lapsed(at(40*second)))
	assert.Assert(t, a.ObserveEpoch(2))
	assert.Assert(t, !a.Lapsed(at(40*second)))
	assert.Assert(t, !a.ObserveEpoch(2))

	c := newRouter(&fakeTable{}, "c", 0)
	c.drive(0, 0, nil)
	c.drive(2*time.Hour, 2*time.Hour+3*second, errDown)
	assert.Assert(t, c.Lapsed(at(2*time.Hour+3*second)))
	c.drive(2*time.Hour+4*second, 2*time.Hour+4*second, errDown)
	assert.Equal(t, c.Epoch(), galenalatch.Epoch(0), "a lapsed holder stops after 2 h")
}

// TestRelease guards against a handover that takes as long as an expiry,
// goes to another router or back, or makes the successor count its
// predecessor as unconfirmed.
func TestRelease(t *testing.T) {
	table := &fakeTable{}
	a, b, c := newRouter(table, "a", 0), newRouter(table, "b", 1), newRouter(table, "c", 2)
	a.drive(0, 0, nil)
	a.Release(at(second), "c")
	assert.Assert(t, !a.Held(at(second)), "the holder stops before the row is released")
	a.step(at(second), true, errWriteUnknown)
	a.step(at(second), true, nil)
	assert.Assert(t, a.Idle())
	b.drive(second, second, nil)
	assert.Equal(t, b.Epoch(), galenalatch.Epoch(0))
	c.drive(second, second, nil)
	assert.Equal(t, c.Epoch(), galenalatch.Epoch(2))
	assert.Assert(t, !c.Unconfirmed(at(second)))

	c.Release(at(2*second), "")
	c.drive(2*second, 6*second, nil)
	assert.Equal(t, c.Epoch(), galenalatch.Epoch(0))
	c.drive(6*second, 7*second, nil)
	assert.Equal(t, c.Epoch(), galenalatch.Epoch(3))
}

// TestUnconfirmedIsInherited guards against a third holder that does not
// learn from the row that the first one may still grant requests.
func TestUnconfirmedIsInherited(t *testing.T) {
	table := &fakeTable{}
	a, b, c := newRouter(table, "a", 0), newRouter(table, "b", 0), newRouter(table, "c", 0)
	a.drive(0, 0, nil)
	b.drive(0, 6*second, nil)
	assert.Equal(t, b.Epoch(), galenalatch.Epoch(2))
	b.Release(at(7*second), "c")
	b.drive(7*second, 7*second, nil)
	c.drive(7*second, 7*second, nil)
	assert.Equal(t, c.Epoch(), galenalatch.Epoch(3))
	assert.Assert(t, c.Unconfirmed(at(2*time.Hour)))
	assert.Assert(t, !c.Unconfirmed(at(2*time.Hour+10*second)))
	v, ok := c.Row()
	assert.Assert(t, ok)
	assert.Equal(t, len(v.Unconfirmed), 1)
	c.ConfirmStopped(1)
	assert.Assert(t, !c.Unconfirmed(at(8*second)))

	many := Value{Holder: "z", Epoch: 20}
	for e := range galenalatch.Epoch(maxPredecessors) {
		many.Unconfirmed = append(many.Unconfirmed, Predecessor{Router: "x", Epoch: e + 1, RemainingMillis: 1000 * int64(e)})
	}
	list := inheritPredecessors(start, many, 2*time.Hour)
	assert.Equal(t, len(list), maxPredecessors)
	assert.Equal(t, list[0].until, at(second), "merged predecessors keep the longest remaining time")
}
