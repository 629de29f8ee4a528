package lease

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// maxUnclear bounds the writes that are remembered for read-backs. An older
// write that takes effect after all is seen as the router's own row of an
// unknown time, which only ends the lease earlier.
const maxUnclear = 8

// idleReads makes the reads of a router that is no candidate rarer.
const idleReads = 8

// Action is what the caller must do next: read the row and call Observe, or
// carry out the write and call Result, or nothing.
type Action struct {
	Read  bool
	Write *galenalatch.Write
}

// Next returns what to do at the time now. The lease counts from now, so the
// caller must take the time before it sends the write.
func (l *Lease) Next(now time.Time) Action {
	return l.next(now, 0)
}

// Early is like Next, but renews earlier, so that the caller can renew all
// its leases with one call to the platform.
func (l *Lease) Early(now time.Time) Action {
	return l.next(now, l.config.Renew/2)
}

// ReadDue reports whether Next would ask for a read.
func (l *Lease) ReadDue(now time.Time) bool {
	return l.inFlight == nil && (l.needRead || l.epoch == 0) && !now.Before(l.nextRead)
}

func (l *Lease) next(now time.Time, early time.Duration) Action {
	if l.epoch != 0 && !now.Before(l.expires.Add(l.config.LapsedLimit)) {
		l.lose()
	}
	switch {
	case l.inFlight != nil:
		return Action{}
	case l.ReadDue(now):
		l.readSent = now
		return Action{Read: true}
	case l.needRead || l.epoch == 0:
		if l.needRead || l.rank < 0 || l.blind(now) || now.Before(l.nextWrite) || now.Before(l.takeover()) {
			return Action{}
		}
		return l.send(now, l.claim(now))
	case l.releasing:
		if now.Before(l.nextWrite) {
			return Action{}
		}
		v := l.renewal(now)
		v.Released, v.Successor = true, l.successor
		return l.send(now, attempt{value: v, sent: now})
	case now.Before(l.nextWrite.Add(-early)):
		return Action{}
	}
	return l.send(now, attempt{value: l.renewal(now), sent: now})
}

// blind reports whether the router has not seen the row for so long that it
// must read it and wait anew before it takes over.
func (l *Lease) blind(now time.Time) bool {
	return !l.known || now.Sub(l.read) > l.config.Duration/2
}

// takeover returns the time from which the router may take over the lease as
// it knows it.
func (l *Lease) takeover() time.Time {
	turn := l.seen.Add(time.Duration(l.rank) * l.config.RankDelay)
	at := turn.Add(l.config.Duration + l.config.Margin)
	switch {
	case !l.exists:
		at = turn
	case l.own():
		// This process has written the row and does not hold the lease.
		at = l.seen
	case l.row.Released && l.row.Successor == l.config.Router:
		at = l.seen
	case l.row.Released && l.row.Successor == "":
		at = turn
	case l.row.Released:
		// The successor gets the time to read the row twice.
		at = turn.Add(2 * l.config.Read)
	}
	if at.Before(l.notBefore) {
		return l.notBefore
	}
	return at
}

// own reports whether this process has written the row.
func (l *Lease) own() bool {
	return l.exists && l.row.Holder == l.config.Router && l.row.Start == l.config.Start
}

// claim returns the write that takes over the lease.
func (l *Lease) claim(now time.Time) attempt {
	v := Value{
		Holder: l.config.Router,
		Start:  l.config.Start,
		Epoch:  max(l.row.Epoch, l.heard) + 1,
		Write:  l.config.NewID(),
	}
	var list []predecessor
	if l.exists {
		row := l.row
		// This process knows that it does not act itself.
		row.Released = row.Released || l.own()
		list = inherit(now, row, l.config.LapsedLimit)
	}
	v.Unconfirmed = remaining(now, list)
	return attempt{value: v, sent: now, unconfirmed: list}
}

// renewal returns the value that renews the lease.
func (l *Lease) renewal(now time.Time) Value {
	return Value{
		Holder:      l.config.Router,
		Start:       l.config.Start,
		Epoch:       l.epoch,
		Write:       l.config.NewID(),
		Unconfirmed: remaining(now, l.unconfirmed),
	}
}

func (l *Lease) send(now time.Time, a attempt) Action {
	l.inFlight = &a
	l.nextWrite = now.Add(l.config.Retry)
	return Action{Write: &galenalatch.Write{
		Key:      l.config.Key,
		Value:    a.value.encode(),
		IfTag:    l.tag,
		IfAbsent: !l.exists,
	}}
}

// Result tells the result of the write that Next returned.
func (l *Lease) Result(now time.Time, row galenalatch.Row, err error) {
	if l.inFlight == nil {
		return
	}
	a := *l.inFlight
	l.inFlight = nil
	if err == nil {
		l.accept(now, a, row.Tag)
		return
	}
	l.nextWrite = now.Add(l.config.Retry)
	switch galenalatch.KindOf(err) {
	case galenalatch.KindPlatformDown:
		l.failed = a.sent
	case galenalatch.KindConflict:
		l.needRead, l.nextRead = true, now
	default:
		// The write may have taken effect, or may do so later.
		l.failed = a.sent
		l.unclear = append(l.unclear, a)
		if len(l.unclear) > maxUnclear {
			l.unclear = l.unclear[1:]
		}
		l.needRead, l.nextRead = true, now
	}
}

// Observe tells the result of a read of the row. The read must have been sent
// after the newest write's result was told.
func (l *Lease) Observe(now time.Time, row galenalatch.Row, err error) {
	v, decodeErr := Value{}, error(nil)
	if err == nil {
		v, decodeErr = decode(row.Value)
	}
	missing := galenalatch.KindOf(err) == galenalatch.KindNotFound
	if err != nil && !missing || decodeErr != nil {
		if l.readSent.After(l.failed) {
			l.failed = l.readSent
		}
		l.nextRead = now.Add(l.config.Retry)
		return
	}
	l.needRead, l.nextRead = false, now.Add(l.config.Read)
	if l.rank < 0 {
		// The row only informs a router that is no candidate.
		l.nextRead = now.Add(idleReads * l.config.Read)
	}
	// A candidate that could not read for a while starts to wait anew: after
	// an outage of the platform the holder gets the time to renew.
	gap := l.blind(now)
	if l.exists == missing || l.tag != row.Tag || gap {
		l.seen = now
	}
	changed := !missing && l.tag != row.Tag
	l.known, l.exists, l.read = true, !missing, now
	l.row, l.tag = v, row.Tag
	l.heard = max(l.heard, v.Epoch)
	if missing {
		l.tag = ""
	}

	if a, ok := l.attempt(v.Write); ok && !missing {
		l.accept(now, a, row.Tag)
		return
	}
	if changed {
		// The writes were conditional on the tag before.
		l.unclear = nil
	}
	if l.epoch != 0 && !(l.own() && v.Epoch == l.epoch) {
		l.lose()
		l.needRead = false
	}
}

// attempt returns the write with the given id if its result is not known.
func (l *Lease) attempt(id string) (attempt, bool) {
	if l.inFlight != nil && l.inFlight.value.Write == id {
		return *l.inFlight, true
	}
	for _, a := range l.unclear {
		if a.value.Write == id {
			return a, true
		}
	}
	return attempt{}, false
}

// accept notes that a write took effect and that the row has its value.
func (l *Lease) accept(now time.Time, a attempt, tag string) {
	l.known, l.exists, l.row, l.tag = true, true, a.value, tag
	l.seen, l.read = now, now
	// Other writes were conditional on the tag before. They can have no
	// effect any more.
	l.unclear = nil
	l.needRead = false
	if a.value.Released {
		l.lose()
		l.needRead = false
		l.notBefore = now.Add(l.config.Duration + l.config.Margin)
		return
	}
	if a.value.Epoch < l.heard {
		// Another holder is known. The row is this router's own, so it can
		// take over with a newer epoch.
		l.lose()
		l.needRead = false
		return
	}
	l.heard = max(l.heard, a.value.Epoch)
	if l.epoch != a.value.Epoch {
		l.epoch, l.expires = a.value.Epoch, time.Time{}
		l.releasing, l.unconfirmed = false, a.unconfirmed
	}
	if end := a.sent.Add(l.config.Duration); end.After(l.expires) {
		l.expires = end
	}
	l.failed = time.Time{}
	l.nextWrite = a.sent.Add(l.config.Renew)
	if l.releasing {
		l.nextWrite = now
	}
}
