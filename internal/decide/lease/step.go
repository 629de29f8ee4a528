package lease

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// maxUnresolved limits the writes with an unknown outcome that are kept for
// read-backs. If an older one takes effect after all, the row is taken as
// this router's own, written at an unknown time, which only ends the lease
// earlier.
const maxUnresolved = 8

// nonCandidateReadFactor multiplies the read interval of a router that is
// not a candidate.
const nonCandidateReadFactor = 8

// Action is what the caller must do next: read the row and call ReadDone,
// carry out the write and call WriteDone, or, if it is zero, nothing.
type Action struct {
	Read  bool
	Write *galenalatch.Write
}

// Next returns what to do at the time now. The lease is counted from now, so
// the caller must take the time before it sends the write.
func (l *Lease) Next(now time.Time) Action {
	return l.next(now, 0)
}

// NextEarly is like Next, but renews Renew/2 earlier, so that the caller can
// renew all its leases with one call to the platform.
func (l *Lease) NextEarly(now time.Time) Action {
	return l.next(now, l.config.Renew/2)
}

// ReadDue reports whether Next would return a read.
func (l *Lease) ReadDue(now time.Time) bool {
	return l.inFlight == nil && (l.needRead || l.epoch == 0) && !now.Before(l.nextRead)
}

func (l *Lease) next(now time.Time, early time.Duration) Action {
	if l.epoch != 0 && !now.Before(l.expires.Add(l.config.LapsedLimit)) {
		l.dropLease()
	}
	switch {
	case l.inFlight != nil:
		return Action{}
	case l.ReadDue(now):
		l.readSent = now
		return Action{Read: true}
	case l.needRead || l.epoch == 0:
		if l.needRead || l.rank < 0 || l.rowOutdated(now) || now.Before(l.nextWrite) || now.Before(l.takeoverTime()) {
			return Action{}
		}
		return l.send(now, l.takeoverWrite(now))
	case l.releasing:
		if now.Before(l.nextWrite) {
			return Action{}
		}
		v := l.renewalValue(now)
		v.Released, v.Successor = true, l.successor
		return l.send(now, attempt{value: v, sent: now})
	case now.Before(l.nextWrite.Add(-early)):
		return Action{}
	}
	return l.send(now, attempt{value: l.renewalValue(now), sent: now})
}

// rowOutdated reports whether the row was not read for so long that the
// router must read it and start its wait again before it takes over.
func (l *Lease) rowOutdated(now time.Time) bool {
	return !l.rowKnown || now.Sub(l.lastRead) > l.config.Duration/2
}

// takeoverTime returns the time from which the router may take over the
// lease, given the last known row.
func (l *Lease) takeoverTime() time.Time {
	rankTime := l.firstSeen.Add(time.Duration(l.rank) * l.config.RankDelay)
	at := rankTime.Add(l.config.Duration + l.config.Margin)
	switch {
	case !l.rowExists:
		at = rankTime
	case l.wroteRow():
		// This process wrote the row and does not hold the lease.
		at = l.firstSeen
	case l.row.Released && l.row.Successor == l.config.Router:
		at = l.firstSeen
	case l.row.Released && l.row.Successor == "":
		at = rankTime
	case l.row.Released:
		// Leave the successor the time to read the row twice.
		at = rankTime.Add(2 * l.config.Read)
	}
	if at.Before(l.earliestTakeover) {
		return l.earliestTakeover
	}
	return at
}

// wroteRow reports whether this process wrote the present row.
func (l *Lease) wroteRow() bool {
	return l.rowExists && l.row.Holder == l.config.Router && l.row.Start == l.config.Start
}

// takeoverWrite returns the write that takes over the lease.
func (l *Lease) takeoverWrite(now time.Time) attempt {
	v := Value{
		Holder: l.config.Router,
		Start:  l.config.Start,
		Epoch:  max(l.row.Epoch, l.newestEpoch) + 1,
		Write:  l.config.NewID(),
	}
	var list []predecessor
	if l.rowExists {
		row := l.row
		// This process does not grant under its own earlier epoch any more, so
		// it is no unconfirmed predecessor.
		row.Released = row.Released || l.wroteRow()
		list = inheritPredecessors(now, row, l.config.LapsedLimit)
	}
	v.Unconfirmed = remainingPredecessors(now, list)
	return attempt{value: v, sent: now, unconfirmed: list}
}

// renewalValue returns the row value that renews the lease.
func (l *Lease) renewalValue(now time.Time) Value {
	return Value{
		Holder:      l.config.Router,
		Start:       l.config.Start,
		Epoch:       l.epoch,
		Write:       l.config.NewID(),
		Unconfirmed: remainingPredecessors(now, l.unconfirmed),
	}
}

func (l *Lease) send(now time.Time, a attempt) Action {
	l.inFlight = &a
	l.nextWrite = now.Add(l.config.Retry)
	return Action{Write: &galenalatch.Write{
		Key:      l.config.Key,
		Value:    a.value.encode(),
		IfTag:    l.tag,
		IfAbsent: !l.rowExists,
	}}
}

// WriteDone records the result of the write that Next returned.
func (l *Lease) WriteDone(now time.Time, row galenalatch.Row, err error) {
	if l.inFlight == nil {
		return
	}
	a := *l.inFlight
	l.inFlight = nil
	if err == nil {
		l.applyWrite(now, a, row.Tag)
		return
	}
	l.nextWrite = now.Add(l.config.Retry)
	switch galenalatch.KindOf(err) {
	case galenalatch.KindPlatformDown:
		l.lastFailure = a.sent
	case galenalatch.KindConflict:
		l.needRead, l.nextRead = true, now
	default:
		// The write may have taken effect, or may do so later.
		l.lastFailure = a.sent
		l.unresolved = append(l.unresolved, a)
		if len(l.unresolved) > maxUnresolved {
			l.unresolved = l.unresolved[1:]
		}
		l.needRead, l.nextRead = true, now
	}
}

// ReadDone records the result of a read of the row. The read must have been
// sent after the result of the latest write was passed to WriteDone.
func (l *Lease) ReadDone(now time.Time, row galenalatch.Row, err error) {
	v, decodeErr := Value{}, error(nil)
	if err == nil {
		v, decodeErr = decode(row.Value)
	}
	missing := galenalatch.KindOf(err) == galenalatch.KindNotFound
	if err != nil && !missing || decodeErr != nil {
		if l.readSent.After(l.lastFailure) {
			l.lastFailure = l.readSent
		}
		l.nextRead = now.Add(l.config.Retry)
		return
	}
	l.needRead, l.nextRead = false, now.Add(l.config.Read)
	if l.rank < 0 {
		// A router that is not a candidate needs the row only for information.
		l.nextRead = now.Add(nonCandidateReadFactor * l.config.Read)
	}
	// A candidate that could not read for a while starts its wait again, so
	// that the holder has the time to renew after an outage of the platform.
	outdated := l.rowOutdated(now)
	if l.rowExists == missing || l.tag != row.Tag || outdated {
		l.firstSeen = now
	}
	changed := !missing && l.tag != row.Tag
	l.rowKnown, l.rowExists, l.lastRead = true, !missing, now
	l.row, l.tag = v, row.Tag
	l.newestEpoch = max(l.newestEpoch, v.Epoch)
	if missing {
		l.tag = ""
	}

	if a, ok := l.unresolvedAttempt(v.Write); ok && !missing {
		l.applyWrite(now, a, row.Tag)
		return
	}
	if changed {
		// The unresolved writes were conditional on the tag that the row had
		// before.
		l.unresolved = nil
	}
	if l.epoch != 0 && !(l.wroteRow() && v.Epoch == l.epoch) {
		l.dropLease()
		l.needRead = false
	}
}

// unresolvedAttempt returns the write with the given id if its result is not
// known.
func (l *Lease) unresolvedAttempt(id string) (attempt, bool) {
	if l.inFlight != nil && l.inFlight.value.Write == id {
		return *l.inFlight, true
	}
	for _, a := range l.unresolved {
		if a.value.Write == id {
			return a, true
		}
	}
	return attempt{}, false
}

// applyWrite records that a write took effect and that the row has its
// value.
func (l *Lease) applyWrite(now time.Time, a attempt, tag string) {
	l.rowKnown, l.rowExists, l.row, l.tag = true, true, a.value, tag
	l.firstSeen, l.lastRead = now, now
	// The unresolved writes were conditional on the previous tag, so they can
	// no longer take effect.
	l.unresolved = nil
	l.needRead = false
	if a.value.Released {
		l.dropLease()
		l.needRead = false
		l.earliestTakeover = now.Add(l.config.Duration + l.config.Margin)
		return
	}
	if a.value.Epoch < l.newestEpoch {
		// Another holder is known. The row is this router's own, so it can
		// take over with a newer epoch.
		l.dropLease()
		l.needRead = false
		return
	}
	l.newestEpoch = max(l.newestEpoch, a.value.Epoch)
	if l.epoch != a.value.Epoch {
		l.epoch, l.expires = a.value.Epoch, time.Time{}
		l.releasing, l.unconfirmed = false, a.unconfirmed
	}
	if end := a.sent.Add(l.config.Duration); end.After(l.expires) {
		l.expires = end
	}
	l.lastFailure = time.Time{}
	l.nextWrite = a.sent.Add(l.config.Renew)
	if l.releasing {
		l.nextWrite = now
	}
}
