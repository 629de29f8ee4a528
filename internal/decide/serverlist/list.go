// Package serverlist decides which backend servers a router lists. It follows the
// store's table, but for what a store that came back from a copy lacks or reverts: a
// server that has left or was removed does not come back because a copy lists it.
package serverlist

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// ReturnTime is how much longer a server stays in use whose entry was lost, so
	// that it can register again. It is shorter than the time within which a leaving
	// server must get no new requests.
	ReturnTime = 1700 * time.Millisecond
	// expiryTime is the time after which the store has removed the entry of a server
	// that is gone.
	expiryTime = 4 * time.Second
	// memory is how long removed servers are known. It is longer than copies are old.
	memory = time.Minute
)

// Change is what an update changes.
type Change struct {
	// Listed are the registrations to use, in the order of the update.
	Listed []galenalatch.Registration
	// Removed are the sorted ids of the servers to remove.
	Removed []galenalatch.ServerID
	// Restored is set for the first update after the store came back from a copy.
	// The entries of live servers may be missing in it.
	Restored bool
}

// entry is what is known of a server.
type entry struct {
	galenalatch.Registration
	// removed is set when the server is not listed any more, gone is from when on it
	// is not used.
	removed bool
	gone    time.Time
	// earlier is set when this is known from an earlier era.
	earlier bool
	// held is a registration that is listed at heldUntil, unless the store has
	// removed it by then.
	held      *galenalatch.Registration
	heldUntil time.Time
}

// List is the list of backend servers. The zero value is empty.
type List struct {
	// read is set once an update was applied, era is the era of the newest one.
	read    bool
	era     uint64
	entries map[galenalatch.ServerID]*entry
}

// Apply applies an update of the backend servers' table. The first update of an era must
// be complete.
func (l *List) Apply(now time.Time, u galenalatch.ServerUpdate) Change {
	c := Change{Restored: l.read && u.Era != l.era}
	l.prepare(now, c.Restored)
	l.read, l.era = true, u.Era
	listed := make(map[galenalatch.ServerID]bool, len(u.Registered))
	for _, r := range u.Registered {
		listed[r.ID] = true
		l.register(now, r, u.Complete, &c)
	}
	for _, id := range u.Removed {
		l.remove(now, id, &c)
	}
	if u.Complete {
		l.removeMissing(now, listed, &c)
	}
	l.release(now, &c)
	slices.Sort(c.Removed)
	return c
}

// prepare forgets the servers that were removed long ago. If the store came back from a
// copy, what is known becomes that of an earlier era.
func (l *List) prepare(now time.Time, restored bool) {
	if l.entries == nil {
		l.entries = make(map[galenalatch.ServerID]*entry)
	}
	maps.DeleteFunc(l.entries, func(_ galenalatch.ServerID, e *entry) bool {
		return e.removed && e.held == nil && now.Sub(e.gone) > memory
	})
	if !restored {
		return
	}
	for _, e := range l.entries {
		e.earlier, e.held = true, nil
	}
}

// register applies a registration. One that the copy has of a server which was replaced
// or removed is held until the store has had the time to remove it.
func (l *List) register(now time.Time, r galenalatch.Registration, complete bool, c *Change) {
	e, ok := l.entries[r.ID]
	switch {
	case !ok || !e.earlier:
		l.list(r, false, c)
	case complete && e.outdates(now, r):
		l.drop(e, now.Add(ReturnTime), c)
		e.held, e.heldUntil = &r, now.Add(expiryTime)
	default:
		l.listAgain(e, r, complete, c)
	}
}

// outdates reports whether the entry is newer than a registration in a copy: of a later
// start of the server, or of its removal.
func (e *entry) outdates(now time.Time, r galenalatch.Registration) bool {
	removed := e.removed && !now.Before(e.gone) && r.Started == e.Started
	return removed || r.Started < e.Started
}

// list lists a registration.
func (l *List) list(r galenalatch.Registration, earlier bool, c *Change) {
	l.entries[r.ID] = &entry{Registration: r, earlier: earlier}
	c.Listed = append(c.Listed, r)
}

// listAgain lists a server that is known from an earlier era. A process that has begun
// to leave stays leaving. Without an id of its start, a registration in a change may be
// of another process than the known one.
func (l *List) listAgain(e *entry, r galenalatch.Registration, complete bool, c *Change) {
	same := r.Started == e.Started && (complete || r.Started != 0)
	leaves := e.Leaving && same
	r.Leaving = r.Leaving || leaves
	l.list(r, leaves, c)
}

// remove applies the removal of an entry in the store.
func (l *List) remove(now time.Time, id galenalatch.ServerID, c *Change) {
	e, ok := l.entries[id]
	if !ok {
		c.Removed = append(c.Removed, id)
		return
	}
	e.held, e.earlier = nil, false
	l.drop(e, now, c)
}

// removeMissing removes the servers that a complete update does not have.
func (l *List) removeMissing(now time.Time, listed map[galenalatch.ServerID]bool, c *Change) {
	gone := now
	if c.Restored {
		gone = now.Add(ReturnTime)
	}
	for id, e := range l.entries {
		if !listed[id] {
			e.held = nil
			l.drop(e, gone, c)
		}
	}
}

// drop takes a server off the list, from the time gone on.
func (l *List) drop(e *entry, gone time.Time, c *Change) {
	if e.removed {
		return
	}
	e.removed, e.gone = true, gone
	c.Removed = append(c.Removed, e.ID)
}

// release lists the registrations that were held and that the store still has.
func (l *List) release(now time.Time, c *Change) {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[id]
		if e.held != nil && !now.Before(e.heldUntil) {
			l.listAgain(e, *e.held, true, c)
		}
	}
}
