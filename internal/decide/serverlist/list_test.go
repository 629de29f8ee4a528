package serverlist

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

// registration returns a registration of server s1.
func registration(started int64, leaving bool) galenalatch.Registration {
	return galenalatch.Registration{ID: "s1", Started: started, Leaving: leaving}
}

// complete and change return updates of an era with registrations of server s1.
func complete(era uint64, rs ...galenalatch.Registration) galenalatch.ServerUpdate {
	u := change(era, rs...)
	u.Complete = true
	return u
}

func change(era uint64, rs ...galenalatch.Registration) galenalatch.ServerUpdate {
	return galenalatch.ServerUpdate{
		Stamp: galenalatch.Stamp{Position: galenalatch.Position{Era: era}}, Registered: rs,
	}
}

func removal(era uint64) galenalatch.ServerUpdate {
	u := change(era)
	u.Removed = []galenalatch.ServerID{"s1"}
	return u
}

// step is an update and what it changes: "", "listed 1", "leaving 1" with the start of
// the process, or "removed", and both with a comma between.
type step struct {
	after  time.Duration
	update galenalatch.ServerUpdate
	want   string
}

func describe(c Change) string {
	text := ""
	for _, r := range c.Listed {
		word := "listed"
		if r.Leaving {
			word = "leaving"
		}
		text += fmt.Sprintf("%s %d", word, r.Started)
	}
	for range c.Removed {
		if text != "" {
			text += ", "
		}
		text += "removed"
	}
	return text
}

// Guards against servers that have left, were removed or have been started anew and get
// requests again because a copy of the store has their old entries; against servers that
// are dropped because a copy lacks them; and against ones that stay away for good.
func TestRestoredStore(t *testing.T) {
	ready, leaving := registration(1, false), registration(1, true)
	unknown, unknownLeaving := registration(0, false), registration(0, true)
	known := step{0, complete(0, ready), "listed 1"}
	tests := []struct {
		name  string
		steps []step
	}{
		{"in the copy", []step{known, {0, complete(1, ready), "listed 1"}}},
		{"missing in the copy, registers again", []step{
			known, {0, complete(1), "removed"}, {time.Second, change(1, ready), "listed 1"},
		}},
		{"missing in the copy, listed by a second one", []step{
			known, {0, complete(1), "removed"}, {time.Second, complete(2, ready), "listed 1"},
		}},
		{"missing in a copy for long, listed by the next one", []step{
			known, {0, complete(1), "removed"}, {ReturnTime, complete(2, ready), ""},
			{expiryTime - 1, change(2), ""}, {1, change(2), "listed 1"},
		}},
		{"leaving, ready in the copy", []step{
			known, {0, change(0, leaving), "leaving 1"}, {0, complete(1, ready), "leaving 1"},
		}},
		{"leaving, ready in two copies", []step{
			known, {0, change(0, leaving), "leaving 1"}, {0, complete(1, ready), "leaving 1"}, {0, complete(2, ready), "leaving 1"},
		}},
		{"leaving, ready in the copy and written as ready before as leaving", []step{
			known, {0, change(0, leaving), "leaving 1"}, {0, complete(1, ready), "leaving 1"},
			{0, change(1, ready), "leaving 1"}, {0, change(1, leaving), "leaving 1"},
		}},
		{"leaving, then a new process", []step{
			known, {0, change(0, leaving), "leaving 1"}, {0, complete(1, ready), "leaving 1"}, {0, change(1, registration(2, false)), "listed 2"},
		}},
		{"leaving without an id of its start, then a change", []step{
			{0, complete(0, unknown), "listed 0"}, {0, change(0, unknownLeaving), "leaving 0"},
			{0, complete(1, unknown), "leaving 0"}, {0, change(1, unknown), "listed 0"},
		}},
		{"removed, in the copy until it expires", []step{
			known, {0, removal(0), "removed"}, {time.Second, complete(1, ready), ""},
			{time.Second, change(1), ""}, {time.Second, removal(1), ""}, {expiryTime, change(1), ""},
		}},
		{"removed, in the copy and kept alive", []step{
			known, {0, removal(0), "removed"}, {time.Second, complete(1, ready), ""}, {expiryTime, change(1), "listed 1"},
		}},
		{"removed, in the copy, a change follows", []step{
			known, {0, removal(0), "removed"}, {time.Second, complete(1, ready), ""}, {time.Second, change(1, ready), "listed 1"},
		}},
		{"removed, in two copies", []step{
			known, {0, removal(0), "removed"}, {time.Second, complete(1, ready), ""},
			{expiryTime - 1, complete(2, ready), ""}, {expiryTime - 1, change(2), ""},
		}},
		{"removed long ago, in the copy", []step{
			known, {0, removal(0), "removed"}, {memory, change(0), ""}, {1, complete(1, ready), "listed 1"},
		}},
		{"started anew, the old process in the copy", []step{
			known, {0, change(0, registration(2, false)), "listed 2"}, {0, complete(1, ready), "removed"},
			{time.Second, change(1, registration(2, false)), "listed 2"}, {expiryTime, change(1), ""},
		}},
		{"a later process in the copy", []step{
			known, {0, complete(1, registration(2, false)), "listed 2"},
		}},
		{"removed and listed again in one era", []step{
			known, {0, removal(0), "removed"}, {0, change(0, ready), "listed 1"}, {0, complete(0), "removed"}, {0, complete(0, ready), "listed 1"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l List
			now := time.Now()
			for i, s := range tt.steps {
				now = now.Add(s.after)
				era := l.era
				c := l.Apply(now, s.update)
				assert.Equal(t, describe(c), s.want, "step %d", i)
				assert.Equal(t, c.Restored, s.update.Era != era, "step %d", i)
			}
		})
	}
}

// Guards against a list that differs from the store's table although the store has never
// come back from a copy, and against removals that are reported twice.
func TestWithoutLoss(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var l List
		table := make(map[galenalatch.ServerID]galenalatch.Registration)
		got := make(map[galenalatch.ServerID]galenalatch.Registration)
		// removedAt are the times at which listed servers were removed.
		removedAt := make(map[galenalatch.ServerID]time.Time)
		now := time.Now()
		for range rapid.IntRange(1, 30).Draw(r, "updates") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(r, "pause")) * time.Millisecond)
			var u galenalatch.ServerUpdate
			for range rapid.IntRange(0, 3).Draw(r, "changes") {
				id := galenalatch.ServerID(rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(r, "server"))
				if rapid.Bool().Draw(r, "removed") {
					delete(table, id)
					u.Removed = append(u.Removed, id)
					continue
				}
				x := registration(int64(rapid.IntRange(0, 2).Draw(r, "start")), rapid.Bool().Draw(r, "leaving"))
				x.ID = id
				table[id] = x
				u.Registered = append(u.Registered, x)
			}
			if u.Complete = rapid.Bool().Draw(r, "complete") || len(u.Registered)+len(u.Removed) > 1; u.Complete {
				u.Registered, u.Removed = nil, nil
				for _, x := range table {
					u.Registered = append(u.Registered, x)
				}
			}
			c := l.Apply(now, u)
			for _, x := range c.Listed {
				got[x.ID] = x
				delete(removedAt, x.ID)
			}
			for i, id := range c.Removed {
				if at, ok := removedAt[id]; ok && now.Sub(at) <= memory || slices.Contains(c.Removed[:i], id) {
					r.Fatalf("%s is removed twice", id)
				}
				if _, ok := got[id]; ok {
					removedAt[id] = now
				}
				delete(got, id)
			}
			if fmt.Sprint(got) != fmt.Sprint(table) || c.Restored {
				r.Fatalf("%v; the store has %v", got, table)
			}
		}
	})
}
