package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// row is a table of one row.
type row struct {
	exists bool
	row    galenalatch.Row
	writes int
}

func (r *row) read() (galenalatch.Row, error) {
	if !r.exists {
		return galenalatch.Row{}, galenalatch.KindNotFound.Errorf("no row")
	}
	return r.row, nil
}

func (r *row) put(w galenalatch.Write) (galenalatch.Row, error) {
	if w.IfAbsent && r.exists || w.IfTag != "" && (!r.exists || w.IfTag != r.row.Tag) {
		return galenalatch.Row{}, galenalatch.KindConflict.Errorf("condition does not hold")
	}
	r.writes++
	r.exists, r.row = true, galenalatch.Row{Key: w.Key, Value: w.Value, Tag: fmt.Sprint(r.writes)}
	return r.row, nil
}

// router drives one lease by hand.
type router struct {
	*Lease
	row *row
}

func newRouter(r *row, name string, rank int) router {
	n := 0
	l := New(Config{Key: "k", Router: galenalatch.RouterID(name), Start: name + "1", NewID: func() string {
		n++
		return fmt.Sprint(name, n)
	}})
	l.SetRank(rank)
	return router{l, r}
}

// step carries out what the lease asks for. A write gets the error fail after
// it took effect when effect is set, and without effect otherwise.
func (r router) step(now time.Time, effect bool, fail error) Action {
	a := r.Next(now)
	switch {
	case a.Read && fail != nil:
		r.Observe(now, galenalatch.Row{}, galenalatch.KindPlatformDown.Errorf("down"))
	case a.Read:
		got, err := r.row.read()
		r.Observe(now, got, err)
	case a.Write != nil:
		var done galenalatch.Row
		err := fail
		if effect || fail == nil {
			done, err = r.row.put(*a.Write)
		}
		if err == nil && fail != nil {
			err = fail
		}
		r.Result(now, done, err)
	}
	return a
}

// drive steps every 100 ms from one time to another.
func (r router) drive(from, to time.Duration, fail error) {
	for ; from <= to; from += 100 * time.Millisecond {
		r.step(start.Add(from), false, fail)
		r.step(start.Add(from), false, fail)
	}
}

func at(d time.Duration) time.Time { return start.Add(d) }

var (
	down    = galenalatch.KindPlatformDown.Errorf("down")
	unclear = galenalatch.KindUnclear.Errorf("lost")
)

const second = time.Second

// TestTakeover guards against a takeover before duration and margin are over,
// and against one that never comes.
func TestTakeover(t *testing.T) {
	table := &row{}
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
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1), "the renewal met a conflict")
	a.step(at(5*second), false, nil)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(0))
	b.Confirm(1)
	assert.Assert(t, !b.Unconfirmed(at(5*second)))

	c := newRouter(table, "c", -1)
	c.drive(5*second, 8*second, nil)
	c.SetRank(0)
	assert.Assert(t, c.step(at(8*second), false, nil).Read, "a new candidate reads at once")
}

// TestReadBack guards against a holder that loses its lease, or counts it
// from the wrong time, because the response to a write was lost.
func TestReadBack(t *testing.T) {
	table := &row{}
	a := newRouter(table, "a", 0)
	a.step(start, false, nil)
	a.step(start, true, unclear)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(0), "nothing is known yet")
	assert.Assert(t, !a.Idle())
	assert.Assert(t, a.step(at(second), true, nil).Read)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1))
	assert.Equal(t, a.Expires(), at(4*second))

	assert.Assert(t, a.step(at(1400*time.Millisecond), true, unclear).Write != nil)
	assert.Assert(t, a.step(at(2400*time.Millisecond), true, nil).Read)
	assert.Equal(t, a.Expires(), at(5400*time.Millisecond))
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1))
}

// TestLateWrite guards against a renewal that takes effect after the
// read-back did not show it.
func TestLateWrite(t *testing.T) {
	table := &row{}
	a := newRouter(table, "a", 0)
	a.drive(0, 0, nil)
	late := a.step(at(1400*time.Millisecond), false, unclear).Write
	assert.Assert(t, a.step(at(2400*time.Millisecond), false, nil).Read)
	_, err := table.put(*late)
	assert.NilError(t, err)
	assert.Assert(t, a.step(at(2400*time.Millisecond), false, nil).Write != nil)
	assert.Assert(t, a.step(at(2400*time.Millisecond), false, nil).Read)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1))
	assert.Equal(t, a.Expires(), at(5400*time.Millisecond))
}

// TestHeardInFlight guards against a router that becomes the holder although
// it heard of a newer epoch before the result of its own takeover.
func TestHeardInFlight(t *testing.T) {
	table := &row{}
	a := newRouter(table, "a", 0)
	a.step(start, false, nil)
	write := a.Next(start).Write
	a.StopBecauseOf(5)
	done, err := table.put(*write)
	a.Result(start, done, err)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(0))
	a.drive(0, second, nil)
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(6))
}

// TestLapsed guards against a fleet that stops with the platform, and against
// a lapsed holder that goes on although a newer one is known or forever.
func TestLapsed(t *testing.T) {
	table := &row{}
	a, b := newRouter(table, "a", 0), newRouter(table, "b", 0)
	a.drive(0, 0, nil)
	b.drive(0, 0, nil)
	a.drive(100*time.Millisecond, 20*second, down)
	b.drive(100*time.Millisecond, 20*second, down)
	assert.Assert(t, !a.Held(at(20*second)) && a.Lapsed(at(20*second)))
	assert.Assert(t, !a.Lapsed(at(30*second)), "paused for 10 s")

	b.drive(20*second, 23*second, nil)
	assert.Equal(t, b.Epoch(), galenalatch.Epoch(0), "a candidate waits anew after an outage")
	a.drive(23*second, 23*second, nil)
	assert.Assert(t, a.Held(at(24*second)), "the same holder goes on")
	assert.Equal(t, a.Epoch(), galenalatch.Epoch(1))

	a.drive(23*second, 40*second, down)
	assert.Assert(t, a.Lapsed(at(40*second)))
	assert.Assert(t, a.StopBecauseOf(2))
	assert.Assert(t, !a.Lapsed(at(40*second)))
	assert.Assert(t, !a.StopBecauseOf(2))

	c := newRouter(&row{}, "c", 0)
	c.drive(0, 0, nil)
	c.drive(2*time.Hour, 2*time.Hour+3*second, down)
	assert.Assert(t, c.Lapsed(at(2*time.Hour+3*second)))
	c.drive(2*time.Hour+4*second, 2*time.Hour+4*second, down)
	assert.Equal(t, c.Epoch(), galenalatch.Epoch(0), "a lapsed holder stops after 2 h")
}

// TestRelease guards against a handover that takes as long as an expiry, goes
// to another router or back, or makes the successor count its predecessor as
// active.
func TestRelease(t *testing.T) {
	table := &row{}
	a, b, c := newRouter(table, "a", 0), newRouter(table, "b", 1), newRouter(table, "c", 2)
	a.drive(0, 0, nil)
	a.Release(at(second), "c")
	assert.Assert(t, !a.Held(at(second)), "the holder stops before the row says so")
	a.step(at(second), true, unclear)
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

// TestUnconfirmedIsInherited guards against a third holder that does not know
// that the first one may still act.
func TestUnconfirmedIsInherited(t *testing.T) {
	table := &row{}
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
	c.Confirm(1)
	assert.Assert(t, !c.Unconfirmed(at(8*second)))

	many := Value{Holder: "z", Epoch: 20}
	for e := range galenalatch.Epoch(maxPredecessors) {
		many.Unconfirmed = append(many.Unconfirmed, Predecessor{Router: "x", Epoch: e + 1, RemainingMillis: 1000 * int64(e)})
	}
	list := inherit(start, many, 2*time.Hour)
	assert.Equal(t, len(list), maxPredecessors)
	assert.Equal(t, list[0].until, at(second), "merged predecessors count as the longest")
}
