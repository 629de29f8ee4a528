package view

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch/internal/standin/store"
)

const (
	// maxCopyAge is the largest age of a copy from which the store comes back.
	maxCopyAge = 3 * time.Second
	// operatorsAgain and serversAgain are the times after the store's return in which
	// the operators and the servers write again what it has lost.
	operatorsAgain = 2 * time.Second
	serversAgain   = 1500 * time.Millisecond
	// expireTime is the time after which the store removes the entries of servers that
	// do not write.
	expireTime = 3600 * time.Millisecond
)

// restoration is the newest return of the store from a copy.
type restoration struct {
	// backups holds a copy of the store for each tick, the newest last.
	backups []store.Copy
	copied  store.Copy
	// backAt is when the store comes back; zero if it is not away.
	backAt time.Time
	// returnedAt is when the store came back last.
	returnedAt time.Time
	// operatorsAt, serversAt and expireAt are when the operators and the servers write
	// again, and when the entries of the others expire; zero if that is done.
	operatorsAt, serversAt, expireAt time.Time
}

// away reports whether the store is away before its return from a copy.
func (r *restoration) away() bool { return !r.backAt.IsZero() }

// pending reports whether the operators have yet to write again.
func (r *restoration) pending() bool { return r.away() || !r.operatorsAt.IsZero() }

// beginRestoration begins the absence of the store before its return.
func (f *fleet) beginRestoration(now time.Time, a action) {
	r := &f.restoration
	r.copied = r.backups[max(0, len(r.backups)-1-int(a.CopyAge/tick))]
	r.backAt = now.Add(a.Length)
	f.store.SetFault(store.RefuseCalls)
	f.faultyUntil = latest(f.faultyUntil, r.backAt)
}

// advanceRestoration does what is due after the newest return of the store.
func (f *fleet) advanceRestoration(now time.Time) {
	r := &f.restoration
	if due(now, &r.backAt) {
		f.store.Restore(r.copied)
		f.store.SetFault(store.NoFault)
		r.returnedAt = now
		r.operatorsAt, r.serversAt, r.expireAt = now.Add(operatorsAgain), now.Add(serversAgain), now.Add(expireTime)
	}
	if !r.away() {
		if due(now, &r.operatorsAt) {
			f.writeOperatorsAgain()
		}
		if due(now, &r.serversAt) {
			f.writeServersAgain()
		}
		if due(now, &r.expireAt) {
			f.expireEntries()
		}
	}
	r.backups = append(r.backups, f.store.Backup())
	if extra := len(r.backups) - 1 - int(maxCopyAge/tick); extra > 0 {
		r.backups = r.backups[extra:]
	}
}

// removalsKnown returns the time from which on routers must know of a removal whenever it
// was. Nobody writes a lost removal again: the entry stays until it expires.
func (r *restoration) removalsKnown() time.Time {
	if r.returnedAt.IsZero() {
		return time.Time{}
	}
	return r.returnedAt.Add(expireTime + leavingBound)
}

// due reports whether a time has come, and clears it.
func due(now time.Time, at *time.Time) bool {
	if at.IsZero() || now.Before(*at) {
		return false
	}
	*at = time.Time{}
	return true
}

// writeOperatorsAgain writes which data centres are out of service and which are not.
func (f *fleet) writeOperatorsAgain() {
	for _, d := range dataCentres {
		f.store.SetOutOfService(d, !f.outSince[d].IsZero())
	}
}

// writeServersAgain writes the entries of the servers that run.
func (f *fleet) writeServersAgain() {
	for _, p := range f.servers {
		if p.present {
			f.store.Register(p.registration)
		}
	}
}

// expireEntries removes the entries of the servers that do not run.
func (f *fleet) expireEntries() {
	for _, p := range f.servers {
		if !p.present {
			f.store.Unregister(p.registration.ID)
		}
	}
}

// Guards against what TestDrainAndEvacuation does, in a store that comes back from copies,
// also one after the other: a router must not use a server again that it had stopped using
// only because a copy does not have that change, must learn what was written again, and
// must not lose the servers that a copy lacks.
func TestRestoredStoreInFleet(t *testing.T) {
	checkHistories(t, drawRestoredAction)
}

func drawRestoredAction(r *rapid.T) action {
	if rapid.IntRange(0, 2).Draw(r, "restored") > 0 {
		return drawAction(r)
	}
	return action{
		Kind:    "restore",
		Pause:   time.Duration(rapid.IntRange(0, 60).Draw(r, "pause")) * tick,
		Length:  time.Duration(rapid.IntRange(0, 30).Draw(r, "away")) * tick,
		CopyAge: time.Duration(rapid.IntRange(0, int(maxCopyAge/tick)).Draw(r, "age of the copy")) * tick,
	}
}
