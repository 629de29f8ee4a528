package placement

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// Reason tells whether a router may send a request to a server now, and if not, why.
type Reason int

// The reasons, in the order in which they are checked.
const (
	// Available servers get requests.
	Available Reason = iota
	// NotListed servers have no entry, or one whose removal is due.
	NotListed
	// Leaving servers say in their entry that they take no new requests.
	Leaving
	// LeavingAnnounced servers have said so in an answer to this router.
	LeavingAnnounced
	// OutOfService servers are in a data centre that operators have taken out.
	OutOfService
	// PauseRequested servers have asked this router to send nothing for a time.
	PauseRequested
	// Returning servers get few requests shortly after such a pause.
	Returning
	// ColdLimit servers have just started, and this router has sent all that it may.
	ColdLimit
	// NamedLimit servers name a limit, and this router has sent all that it may.
	NamedLimit
	// Failing servers broke off an exchange, were not reached or rejected a request.
	// They get requests if no other server is available.
	Failing
)

// Reasons lists all reasons.
var Reasons = []Reason{Available, NotListed, Leaving, LeavingAnnounced, OutOfService, PauseRequested, Returning, ColdLimit, NamedLimit, Failing}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	switch r {
	case Available:
		return "available"
	case NotListed:
		return "notListed"
	case Leaving:
		return "leaving"
	case LeavingAnnounced:
		return "leavingAnnounced"
	case OutOfService:
		return "outOfService"
	case PauseRequested:
		return "pauseRequested"
	case Returning:
		return "returning"
	case ColdLimit:
		return "coldLimit"
	case NamedLimit:
		return "namedLimit"
	case Failing:
		return "failing"
	}
	return "unknown"
}

// final reports whether the server takes no more requests until its entry or its data
// centre changes.
func (r Reason) final() bool {
	return r >= NotListed && r <= OutOfService
}

// Availability tells whether a router may send a request to a server now. Until is when
// the reason ends by time alone, if that is known.
type Availability struct {
	Reason Reason
	Until  time.Time
}

// reason is the one decision on whether this router may send a request to a server.
func (t *Table) reason(now time.Time, s *server) Reason {
	switch {
	case s.removed(now):
		return NotListed
	case s.Leaving:
		return Leaving
	case s.leavingAnnounced:
		return LeavingAnnounced
	case s.outOfService:
		return OutOfService
	case !s.pausedUntil.IsZero() && now.Before(s.pausedUntil):
		return PauseRequested
	case !s.pausedUntil.IsZero() && s.running >= s.returnSlots(now):
		return Returning
	case s.cold(now) && !t.allowCold(now, s):
		return ColdLimit
	case s.limited(now) && !t.allowLimited(now, s):
		return NamedLimit
	case now.Before(s.failingUntil):
		return Failing
	}
	return Available
}

// availability returns the reason for a server, and when it ends.
func (t *Table) availability(now time.Time, s *server) Availability {
	a := Availability{Reason: t.reason(now, s)}
	switch a.Reason {
	case PauseRequested:
		a.Until = s.pausedUntil
	case Returning:
		a.Until = s.nextReturnSlot()
	case Failing:
		a.Until = s.failingUntil
	}
	return a
}

// Usable reports whether the server takes requests, now or soon.
func (t *Table) Usable(now time.Time, id galenalatch.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[id]
	return ok && !t.reason(now, s).final()
}

// CheckReservation returns why the request of a reservation must not be sent any more,
// or Available. The server may have changed since it was chosen.
func (t *Table) CheckReservation(now time.Time, p *Reservation) Reason {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[p.Server]
	if !ok || s.Version != p.Version {
		return NotListed
	}
	// The other reasons were checked when the server was chosen, with this request
	// not yet counted.
	if r := t.reason(now, s); r.final() || r == PauseRequested {
		return r
	}
	return Available
}

// ServiceAvailability returns the availability of the server of a service that becomes
// available first. If this is not known of any, Until is zero.
func (t *Table) ServiceAvailability(now time.Time, service string) Availability {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := Availability{Reason: NotListed}
	for _, s := range t.services[service] {
		a := t.availability(now, s)
		switch {
		case a.Reason == Available:
			return a
		case first.Until.IsZero() && (first.Reason.final() || !a.Until.IsZero()),
			!a.Until.IsZero() && a.Until.Before(first.Until):
			first = a
		}
	}
	return first
}

// Count returns the number of servers with a reason.
func (t *Table) Count(now time.Time, r Reason) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if t.reason(now, s) == r {
			n++
		}
	}
	return n
}
