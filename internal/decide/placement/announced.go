package placement

import (
	"math"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// maxPause bounds the pause that a server may ask for, so that an absurd value
	// does not take it away for good.
	maxPause = 10 * time.Minute
	// maxReturnSpread and returnSpreadShare bound the time by which a router extends a
	// pause, so that routers which were paused together do not return together.
	maxReturnSpread   = 500 * time.Millisecond
	returnSpreadShare = 0.25
	// returnTime is the time after a pause in which the requests that this router may
	// have at the server grow from one to its slots.
	returnTime = time.Second
	// leavingMemory is how long the leaving of a server that is not listed any more is
	// remembered: its entry may come back while the store recovers.
	leavingMemory = 10 * time.Minute
)

// process identifies one start of a server.
type process struct {
	id      galenalatch.ServerID
	started int64
}

func (s *server) process() process { return process{s.ID, s.Started} }

// RecordLeaving records that the server has said in an answer that it leaves, and
// reports whether that was not known. It holds for this process of the server, whatever
// its entry says later.
func (t *Table) RecordLeaving(now time.Time, id galenalatch.ServerID, started int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.leaving[process{id, started}]
	t.leaving[process{id, started}] = now
	if s := t.listed(process{id, started}); s != nil {
		s.leavingAnnounced = true
	}
	return !known
}

// listed returns the server of a process, or nil if it is not listed any more.
func (t *Table) listed(p process) *server {
	if s, ok := t.servers[p.id]; ok && s.process() == p {
		return s
	}
	return nil
}

// expireLeaving forgets the leaving of servers that are not listed any more.
func (t *Table) expireLeaving(now time.Time) {
	for process, at := range t.leaving {
		if t.listed(process) != nil {
			t.leaving[process] = now
		} else if now.Sub(at) >= leavingMemory {
			delete(t.leaving, process)
		}
	}
}

// RecordPause records that the server has asked in an answer for a pause. It returns
// the end of the pause, and whether it is the first request of a pause. A pause is never
// shortened.
func (t *Table) RecordPause(now time.Time, id galenalatch.ServerID, started int64, pause time.Duration) (until time.Time, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.listed(process{id, started})
	if s == nil {
		return now, false
	}
	first = !now.Before(s.pausedUntil)
	pause = min(pause, maxPause)
	if until := now.Add(pause + t.returnSpread(s, pause)); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return s.pausedUntil, first
}

// returnSpread returns the time by which this router extends a pause of a server. It
// differs between routers, and is the same for each pause of one length.
func (t *Table) returnSpread(s *server, pause time.Duration) time.Duration {
	fraction := float64(hash(routerSeed(t.Self), s)) / math.MaxUint64
	longest := min(time.Duration(returnSpreadShare*float64(pause)), maxReturnSpread)
	return time.Duration(fraction * float64(longest))
}

// returnSlots returns the number of requests that this router may have at a server that
// has asked for a pause.
func (s *server) returnSlots(now time.Time) int {
	since := now.Sub(s.pausedUntil)
	if since >= returnTime {
		return math.MaxInt
	}
	return 1 + int(float64(s.Slots)*float64(since)/float64(returnTime))
}

// nextReturnSlot returns when a returning server takes one more request of this router.
func (s *server) nextReturnSlot() time.Time {
	return s.pausedUntil.Add(time.Duration(float64(returnTime) * float64(s.running) / float64(s.Slots)))
}
