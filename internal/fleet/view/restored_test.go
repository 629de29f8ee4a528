package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/store"
)

// moment is how long the store is away before it comes back from a copy.
const moment = time.Second

// newerConfiguration returns a configuration that replaces the one of runView.
func newerConfiguration() *galenalatch.Configuration {
	return &galenalatch.Configuration{Version: 6, Services: map[string]galenalatch.Service{"x": {Name: "x"}}}
}

// Guards against a router that goes on from a version of the time before the store came
// back from a copy: the versions are given out again, and the changes after the copy that
// have a version which the router had read are never delivered.
func TestRestoredStoreIsReadAgain(t *testing.T) {
	tests := []struct {
		name string
		// lost are the transactions that the copy lacks, again those after the return
		// and the changes, before the router reads.
		lost, again int
		away        time.Duration
		returns     int
	}{
		{"nothing lost", 0, 0, moment, 1},
		{"fewer transactions than before", 20, 0, moment, 1},
		{"the version that was read", 5, 2, moment, 1},
		{"one more", 5, 3, moment, 1},
		{"many more", 5, 50, moment, 1},
		{"long absence", 5, 50, 5 * time.Second, 1},
		{"no absence", 5, 50, 0, 1},
		{"young copy", 1, 50, moment, 1},
		{"two returns", 5, 50, moment, 2},
		{"three returns", 5, 50, moment, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runView(t, func(t *testing.T, w *watchedStore) {
				write := func(count int) {
					for range count {
						w.store.Register(entry("s2", 1))
					}
				}
				w.store.Register(entry("s3", 1))
				copied := w.store.Backup()
				write(tt.lost)
				time.Sleep(time.Second)
				assert.Assert(t, w.usable() && w.table.Usable(time.Now(), "s3"))
				for range tt.returns {
					w.store.SetFault(store.RefuseCalls)
					time.Sleep(tt.away)
					w.store.Restore(copied)
					w.store.Configure(newerConfiguration())
					w.store.SetOutOfService("b", true)
					w.store.Register(leavingEntry("s3", 1))
					write(tt.again)
					w.store.SetFault(store.NoFault)
					time.Sleep(1500 * time.Millisecond)
				}
				assert.Equal(t, w.view.Configuration().Version, uint64(6))
				assert.Assert(t, !w.usable(), "data centre b is out of service")
				assert.Assert(t, !w.table.Usable(time.Now(), "s3"))
				age, ok := w.view.Age()
				assert.Assert(t, ok && age <= 1600*time.Millisecond, "%s", age)
			})
		})
	}
}

// drill is a view that has acted on changes which the copies of the store lack.
type drill struct {
	*watchedStore
	t *testing.T
}

// entry returns the entry of a server in data centre c.
func entry(id galenalatch.ServerID, started int64) galenalatch.Registration {
	return galenalatch.Registration{ID: id, Service: "x", Address: "10.0.0.1:80", DataCentre: "c", Slots: 4, Started: started}
}

func leavingEntry(id galenalatch.ServerID, started int64) galenalatch.Registration {
	r := entry(id, started)
	r.Leaving = true
	return r
}

// changeBeforeLoss writes what the copies lack.
func (d *drill) changeBeforeLoss() {
	d.change()
	d.store.Register(leavingEntry("leaving", 1))
	d.store.Unregister("gone")
	d.store.Unregister("lapsed")
	d.store.Register(entry("restarted", 2))
	d.store.Register(entry("new", 1))
}

// change is what the operators write, and write again.
func (d *drill) change() {
	d.store.Configure(newerConfiguration())
	d.store.SetOutOfService("b", true)
}

// beat is what the servers that run write again after a return.
func (d *drill) beat() {
	d.store.Register(server)
	d.store.Register(leavingEntry("leaving", 1))
	d.store.Register(entry("restarted", 2))
	d.store.Register(entry("new", 1))
	d.store.Register(entry("lapsed", 2))
}

// expire is what the store does when an entry was not written for long.
func (d *drill) expire() { d.store.Unregister("gone") }

// pass lets time pass and checks all the while that nothing is reverted.
func (d *drill) pass(length time.Duration) {
	d.t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(tick) {
		now := time.Now()
		d.table.Expire(now)
		assert.Equal(d.t, d.view.Configuration().Version, uint64(6))
		for id, want := range map[galenalatch.ServerID]bool{
			"s1": false, "leaving": false, "gone": false, "restarted": true, "new": true,
		} {
			assert.Equal(d.t, d.table.Usable(now, id), want, "%s", id)
		}
	}
}

// Guards against a router that reverts what it has acted on because a copy does not have
// it: a removed key, a data centre out of service, and servers that have left, are gone or
// were started anew. Guards also against one that drops the servers which a copy lacks, or
// whose entries had expired.
func TestRestoredStoreRevertsNothing(t *testing.T) {
	for _, returns := range []int{1, 2, 3} {
		runView(t, func(t *testing.T, w *watchedStore) {
			d := &drill{watchedStore: w, t: t}
			for _, id := range []galenalatch.ServerID{"leaving", "gone", "lapsed", "restarted"} {
				w.store.Register(entry(id, 1))
			}
			time.Sleep(time.Second)
			copied := w.store.Backup()
			d.changeBeforeLoss()
			time.Sleep(time.Second)
			for range returns {
				w.store.SetFault(store.RefuseCalls)
				d.pass(moment)
				w.store.Restore(copied)
				w.store.SetFault(store.NoFault)
				d.pass(1200 * time.Millisecond)
				d.beat()
				d.pass(800 * time.Millisecond)
				d.change()
				d.pass(500 * time.Millisecond)
			}
			d.pass(1500 * time.Millisecond)
			d.expire()
			d.pass(time.Minute)
			assert.Assert(t, w.table.Usable(time.Now(), "lapsed"))
		})
	}
}
