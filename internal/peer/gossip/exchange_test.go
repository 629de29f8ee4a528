package gossip

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/freshness"
)

// fleet is a group of exchanges that pass messages by function calls instead of
// a network.
type fleet struct {
	t            *testing.T
	ids          []galenalatch.RouterID
	mu           sync.Mutex
	head         galenalatch.Version
	platformDown bool
	isolated     map[galenalatch.RouterID]bool
	members      map[galenalatch.RouterID]*member
}

// member is one router of the fleet. It holds the changes up to a version and
// records the calls of its callbacks.
type member struct {
	*Exchange
	fleet  *fleet
	inbox  chan func()
	mu     sync.Mutex
	held   galenalatch.Version
	events []string
	stop   func()
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, isolated: make(map[galenalatch.RouterID]bool), members: make(map[galenalatch.RouterID]*member)}
	for i := range n {
		f.ids = append(f.ids, galenalatch.RouterID(fmt.Sprint("r", i)))
	}
	for _, id := range f.ids {
		f.start(id)
	}
	return f
}

func (f *fleet) start(id galenalatch.RouterID) *member {
	d := &member{fleet: f, inbox: make(chan func(), 1000)}
	e, err := New(Options{
		Self:    id,
		Changes: d,
		Send: func(to galenalatch.RouterID, m galenalatch.Message) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			o := f.members[to]
			if o == nil || f.isolated[id] != f.isolated[to] {
				return false
			}
			o.inbox <- func() { o.Handle(id, m) }
			return true
		},
		Head: func(context.Context) (galenalatch.Version, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.platformDown || f.isolated[id] {
				return 0, errors.New("platform down")
			}
			return f.head, nil
		},
		FreshChanged:  func(fresh bool, r freshness.Reason) { d.addEvent("fresh %v %s", fresh, r) },
		HolderChanged: func(h galenalatch.Holder) { d.addEvent("holder %s %d", h.Router, h.Epoch) },
	})
	assert.NilError(f.t, err)
	d.Exchange = e
	e.SetInstances(f.ids)
	f.mu.Lock()
	f.members[id] = d
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.t.Context())
	var g sync.WaitGroup
	g.Go(func() { _ = e.Run(ctx) })
	g.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case deliver := <-d.inbox:
				deliver()
			}
		}
	})
	d.stop = func() {
		cancel()
		g.Wait()
	}
	f.t.Cleanup(d.stop)
	return d
}

func (d *member) addEvent(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, fmt.Sprintf(format, args...))
}

// ChangesAfter implements Changes. The change to version n is n bytes long.
func (d *member) ChangesAfter(v galenalatch.Version) [][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list [][]byte
	for n := v + 1; n <= d.held; n++ {
		list = append(list, make([]byte, n))
	}
	return list
}

// ApplyEncoded implements Changes.
func (d *member) ApplyEncoded(changes [][]byte) error {
	for _, c := range changes {
		d.apply(galenalatch.Version(len(c)))
	}
	return nil
}

func (d *member) apply(v galenalatch.Version) {
	d.mu.Lock()
	if v != d.held+1 {
		d.mu.Unlock()
		return
	}
	d.held = v
	d.mu.Unlock()
	d.SetHeld(v, freshness.Lists{})
}

// commit writes the next change to the table and applies it on a router.
func (f *fleet) commit(id galenalatch.RouterID) galenalatch.Version {
	f.mu.Lock()
	f.head++
	v := f.head
	f.mu.Unlock()
	f.members[id].apply(v)
	return v
}

func wait(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func (f *fleet) reasons() string {
	var s []string
	for _, id := range f.ids {
		_, r := f.members[id].Fresh()
		s = append(s, string(r))
	}
	return strings.Join(slices.Compact(s), " ")
}

// Guards against changes and cell holders that do not reach all routers, and
// against a version that is reported as accepted too early or never.
func TestChangesReachAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		for range 300 {
			f.commit("r3")
		}
		held, total := f.members["r3"].Accepted(300)
		assert.Equal(t, held, 0)
		assert.Equal(t, total, 8)
		f.members["r3"].SetHolder(galenalatch.Holder{Cell: galenalatch.CellID{Pool: "p"}, Router: "r3", Epoch: 2})
		f.members["r4"].SetHolder(galenalatch.Holder{Cell: galenalatch.CellID{Pool: "p"}, Router: "r4", Epoch: 1})
		wait(2 * time.Second)
		for _, id := range f.ids {
			assert.Equal(t, f.members[id].held, galenalatch.Version(300))
			assert.Assert(t, !f.members[id].Behind())
			h, _ := f.members[id].Holder(galenalatch.CellID{Pool: "p"})
			assert.Equal(t, h.Router, galenalatch.RouterID("r3"))
		}
		held, _ = f.members["r3"].Accepted(300)
		assert.Assert(t, held > 4)
		assert.Equal(t, f.reasons(), "table")
	})
}

// Guards against a fleet that becomes stale during a platform outage, and
// against a router that stays fresh although it is cut off from all others.
func TestPlatformOutageAndIsolatedRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.commit("r0")
		wait(3 * time.Second)
		f.mu.Lock()
		f.platformDown = true
		f.mu.Unlock()
		for range 40 {
			wait(500 * time.Millisecond)
			for _, id := range f.ids {
				fresh, _ := f.members[id].Fresh()
				assert.Assert(t, fresh)
			}
		}
		assert.Equal(t, f.reasons(), "majority")

		f.mu.Lock()
		f.isolated["r7"] = true
		f.mu.Unlock()
		wait(2*time.Second + defaultInterval)
		fresh, reason := f.members["r7"].Fresh()
		assert.Assert(t, !fresh, "%s", reason)
		d := f.members["r7"]
		d.mu.Lock()
		assert.Equal(t, d.events[len(d.events)-1], "fresh false stale")
		d.mu.Unlock()
		fresh, _ = f.members["r0"].Fresh()
		assert.Assert(t, fresh)

		f.mu.Lock()
		f.isolated["r7"] = false
		f.mu.Unlock()
		wait(time.Second)
		assert.Equal(t, f.reasons(), "majority")
	})
}

// Guards against a router that restarts during a platform outage and becomes
// fresh before it has received the accepted version, or never.
func TestRestartDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.commit("r0")
		wait(3 * time.Second)
		f.mu.Lock()
		f.platformDown = true
		f.mu.Unlock()
		wait(3 * time.Second)
		f.members["r5"].stop()
		d := f.start("r5")
		wait(freshness.DefaultSettle - time.Second)
		fresh, reason := d.Fresh()
		assert.Assert(t, !fresh)
		assert.Equal(t, reason, freshness.Starting)
		assert.Equal(t, d.held, galenalatch.Version(1))
		wait(3 * time.Second)
		fresh, reason = d.Fresh()
		assert.Assert(t, fresh, "%s", reason)
	})
}
