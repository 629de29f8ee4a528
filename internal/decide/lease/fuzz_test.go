package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

// world is the model: routers that share one clock and one table, in which
// every call can be delayed, refused or lost.
type world struct {
	now     time.Time
	table   row
	up      bool
	routers []*actor
	// late are writes whose client got no answer.
	late    []galenalatch.Write
	holders map[galenalatch.Epoch]string
	newest  galenalatch.Epoch
	starts  int
}

// actor is a router that can be paused between any two steps.
type actor struct {
	name  string
	lease *Lease
	// sent is a write that the router decided on and has not sent, done one
	// whose result it has not seen.
	sent *galenalatch.Write
	done func()
}

func (w *world) start(a *actor, rank int) {
	w.starts++
	start, n := fmt.Sprint(a.name, w.starts), 0
	a.lease, a.sent, a.done = New(Config{Key: "k", Router: galenalatch.RouterID(a.name), Start: start, NewID: func() string {
		n++
		return fmt.Sprint(start, "-", n)
	}}), nil, nil
	a.lease.SetRank(rank)
}

// step lets a router take one step. fate says what happens to its call.
func (w *world) step(a *actor, fate string) {
	l := a.lease
	switch {
	case a.done != nil:
		a.done()
		a.done = nil
	case a.sent != nil:
		write := *a.sent
		a.sent = nil
		var done galenalatch.Row
		var err error
		switch {
		case !w.up || fate == "refused":
			err = down
		case fate == "late":
			w.late = append(w.late, write)
			err = unclear
		default:
			done, err = w.table.put(write)
			if fate == "lost" {
				// A conflict can be lost as well.
				err = unclear
			}
		}
		a.done = func() { l.Result(w.now, done, err) }
	default:
		action := l.Next(w.now)
		a.sent = action.Write
		if action.Read {
			got, err := w.table.read()
			if !w.up || fate == "refused" || fate == "lost" {
				err = down
			}
			a.done = func() { l.Observe(w.now, got, err) }
		}
	}
}

func (w *world) check(t *rapid.T) {
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
		if other, ok := w.holders[e]; ok && other != start {
			t.Fatalf("epoch %d belongs to %s and %s", e, other, start)
		}
		w.holders[e] = start
		if a.lease.Lapsed(w.now) && a.lease.heard > e {
			t.Fatalf("%s is lapsed with epoch %d and has heard of %d", start, e, a.lease.heard)
		}
	}
	if len(held) > 1 {
		t.Fatalf("several routers hold the lease: %v", held)
	}
	if w.table.exists {
		v, err := decode(w.table.row.Value)
		if err != nil || v.Epoch < w.newest {
			t.Fatalf("row %s after epoch %d: %v", w.table.row.Value, w.newest, err)
		}
		w.newest = v.Epoch
	}
}

// TestHistories guards against histories in which two routers believe that
// they hold the lease at the same moment, an epoch goes back or has two
// holders, or nobody takes over after the platform is back. Routers are
// paused, restarted and told to release, and calls are late, lost or refused.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, up: true, holders: map[galenalatch.Epoch]string{}}
		for i := range rapid.IntRange(2, 3).Draw(t, "routers") {
			a := &actor{name: string(rune('a' + i))}
			w.start(a, i)
			w.routers = append(w.routers, a)
		}
		pick := rapid.Custom(func(t *rapid.T) *actor { return w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")] })
		fates := rapid.SampledFrom([]string{"", "", "", "", "refused", "lost", "late"})
		run := func(t *rapid.T) {
			// One router is paused in the middle of a call, or none. The
			// others make quick steps for a while.
			paused := rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(t, "paused")
			if paused < len(w.routers) {
				if rapid.SampledFrom([]bool{false, false, true}).Draw(t, "release") {
					w.routers[paused].lease.Release(w.now, "")
				}
				for range rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5}).Draw(t, "steps") {
					w.step(w.routers[paused], fates.Draw(t, "fate"))
				}
			}
			step := rapid.SampledFrom([]time.Duration{20, 50, 100, 300}).Draw(t, "step") * time.Millisecond
			// Lists are drawn evenly, ranges mostly near their start.
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
			"step": func(t *rapid.T) { w.step(pick.Draw(t, "actor"), fates.Draw(t, "fate")) },
			"steps": func(t *rapid.T) {
				a := pick.Draw(t, "actor")
				for range rapid.IntRange(1, 6).Draw(t, "steps") {
					w.step(a, fates.Draw(t, "fate"))
					w.check(t)
				}
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "millis")) * time.Millisecond)
			},
			"outage": func(*rapid.T) { w.up = !w.up },
			"arrive": func(t *rapid.T) {
				if len(w.late) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.late)-1).Draw(t, "late")
				_, _ = w.table.put(w.late[i])
				w.late = append(w.late[:i], w.late[i+1:]...)
			},
			"release": func(t *rapid.T) {
				a := pick.Draw(t, "actor")
				a.lease.Release(w.now, rapid.SampledFrom([]galenalatch.RouterID{"", "a", "b"}).Draw(t, "successor"))
			},
			"hear": func(t *rapid.T) { pick.Draw(t, "actor").lease.StopBecauseOf(w.newest) },
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
		t.Fatalf("nobody holds the lease 20 s after the platform is back: %s", w.table.row.Value)
	})
}
