package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

// simulation holds several routers that share one clock and one table. Every
// call to the table can be delayed, refused or lost.
type simulation struct {
	now     time.Time
	table   fakeTable
	up      bool
	routers []*simRouter
	// delayed are writes whose client got no answer and that may still reach
	// the table.
	delayed  []galenalatch.Write
	holderOf map[galenalatch.Epoch]string
	newest   galenalatch.Epoch
	starts   int
}

// simRouter is a router that can be paused between any two steps.
type simRouter struct {
	name  string
	lease *Lease
	// unsent is a write that the lease returned and that was not sent yet.
	// deliverResult passes the result of the last call to the lease.
	unsent        *galenalatch.Write
	deliverResult func()
}

func (w *simulation) start(a *simRouter, rank int) {
	w.starts++
	start, n := fmt.Sprint(a.name, w.starts), 0
	a.lease, a.unsent, a.deliverResult = New(Config{Key: "k", Router: galenalatch.RouterID(a.name), Start: start, NewID: func() string {
		n++
		return fmt.Sprint(start, "-", n)
	}}), nil, nil
	a.lease.SetRank(rank)
}

// step lets a router take one step. outcome is what happens to its call:
// empty for success, refused, lost (carried out, but without an answer) or
// late.
func (w *simulation) step(a *simRouter, outcome string) {
	l := a.lease
	switch {
	case a.deliverResult != nil:
		a.deliverResult()
		a.deliverResult = nil
	case a.unsent != nil:
		write := *a.unsent
		a.unsent = nil
		var done galenalatch.Row
		var err error
		switch {
		case !w.up || outcome == "refused":
			err = errDown
		case outcome == "late":
			w.delayed = append(w.delayed, write)
			err = errWriteUnknown
		default:
			done, err = w.table.put(write)
			if outcome == "lost" {
				// The answer of a conflicting write can be lost as well.
				err = errWriteUnknown
			}
		}
		a.deliverResult = func() { l.WriteDone(w.now, done, err) }
	default:
		action := l.Next(w.now)
		a.unsent = action.Write
		if action.Read {
			got, err := w.table.read()
			if !w.up || outcome == "refused" || outcome == "lost" {
				err = errDown
			}
			a.deliverResult = func() { l.ReadDone(w.now, got, err) }
		}
	}
}

func (w *simulation) check(t *rapid.T) {
	var held []string
	for _, a := range w.routers {
		e := a.lease.Epoch()
		if e == 0 {
			continue
		}
		start := a.lease.config.Start
		if a.lease.Held(w.now) {
			held = append(held, fmt.Sprint(start, " epoch ", e))
		}
		if other, ok := w.holderOf[e]; ok && other != start {
			t.Fatalf("epoch %d belongs to %s and %s", e, other, start)
		}
		w.holderOf[e] = start
		if a.lease.Lapsed(w.now) && a.lease.newestEpoch > e {
			t.Fatalf("%s is lapsed with epoch %d and has heard of %d", start, e, a.lease.newestEpoch)
		}
	}
	if len(held) > 1 {
		t.Fatalf("several routers hold the lease at the same time: %v", held)
	}
	if w.table.exists {
		v, err := decode(w.table.row.Value)
		if err != nil || v.Epoch < w.newest {
			t.Fatalf("row %s after epoch %d: %v", w.table.row.Value, w.newest, err)
		}
		w.newest = v.Epoch
	}
}

// TestSingleHolder guards against two routers that report the lease as held
// at the same moment, an epoch that goes back or has two holders, and a lease
// that no router takes over after the platform is back.
// Random schedules pause and restart routers, make them release the lease,
// and delay, lose or refuse calls.
func TestSingleHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{now: start, up: true, holderOf: map[galenalatch.Epoch]string{}}
		for i := range rapid.IntRange(2, 3).Draw(t, "routers") {
			a := &simRouter{name: string(rune('a' + i))}
			w.start(a, i)
			w.routers = append(w.routers, a)
		}
		pick := rapid.Custom(func(t *rapid.T) *simRouter { return w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")] })
		outcomes := rapid.SampledFrom([]string{"", "", "", "", "refused", "lost", "late"})
		run := func(t *rapid.T) {
			// One router, or none, is paused in the middle of a call. The
			// others take quick steps for a while.
			paused := rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(t, "paused")
			if paused < len(w.routers) {
				if rapid.SampledFrom([]bool{false, false, true}).Draw(t, "release") {
					w.routers[paused].lease.Release(w.now, "")
				}
				for range rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5}).Draw(t, "steps") {
					w.step(w.routers[paused], outcomes.Draw(t, "outcome"))
				}
			}
			step := rapid.SampledFrom([]time.Duration{20, 50, 100, 300}).Draw(t, "step") * time.Millisecond
			// rapid draws evenly from lists, but from ranges mostly near their
			// start.
			end := w.now.Add(rapid.SampledFrom([]time.Duration{300, 1500, 3000, 4800, 5300, 7000}).Draw(t, "millis") * time.Millisecond)
			for w.now.Before(end) {
				for i, a := range w.routers {
					if i != paused {
						w.step(a, "")
					}
				}
				w.now = w.now.Add(step)
				w.check(t)
			}
			if paused < len(w.routers) {
				w.step(w.routers[paused], "")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":     w.check,
			"run":  run,
			"run2": run,
			"step": func(t *rapid.T) { w.step(pick.Draw(t, "actor"), outcomes.Draw(t, "outcome")) },
			"steps": func(t *rapid.T) {
				a := pick.Draw(t, "actor")
				for range rapid.IntRange(1, 6).Draw(t, "steps") {
					w.step(a, outcomes.Draw(t, "outcome"))
					w.check(t)
				}
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "millis")) * time.Millisecond)
			},
			"outage": func(*rapid.T) { w.up = !w.up },
			"arrive": func(t *rapid.T) {
				if len(w.delayed) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.delayed)-1).Draw(t, "late")
				_, _ = w.table.put(w.delayed[i])
				w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
			},
			"release": func(t *rapid.T) {
				a := pick.Draw(t, "actor")
				a.lease.Release(w.now, rapid.SampledFrom([]galenalatch.RouterID{"", "a", "b"}).Draw(t, "successor"))
			},
			"hear": func(t *rapid.T) { pick.Draw(t, "actor").lease.ObserveEpoch(w.newest) },
			"restart": func(t *rapid.T) {
				w.start(pick.Draw(t, "actor"), rapid.IntRange(0, 2).Draw(t, "rank"))
			},
		})
		w.up = true
		for range 400 {
			for _, a := range w.routers {
				w.step(a, "")
			}
			w.now = w.now.Add(50 * time.Millisecond)
			w.check(t)
		}
		for _, a := range w.routers {
			if a.lease.Held(w.now) {
				return
			}
		}
		t.Fatalf("no router holds the lease 20 s after the platform is back: %s", w.table.row.Value)
	})
}
