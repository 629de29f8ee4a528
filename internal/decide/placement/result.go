package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
)

// Result says how the exchange at a place ended.
type Result string

// The results of exchanges.
const (
	// Served requests got an answer.
	Served Result = "served"
	// Failed requests got an answer that says that the server failed.
	Failed Result = "failed"
	// Shed requests were rejected without having run.
	Shed Result = "shed"
	// Misdirected requests reached another server at the same address.
	Misdirected Result = "misdirected"
	// Broken exchanges got no whole answer.
	Broken Result = "broken"
	// Unreached servers could not be connected.
	Unreached Result = "unreached"
	// Cancelled exchanges say nothing about the server.
	Cancelled Result = "cancelled"
)

func seedOf(r galenalatch.RouterID) uint64 {
	return xxhash.Sum64String(string(r))
}

func (t *Table) reserve(now time.Time, p *Place) {
	s := p.server
	s.running++
	p.sent = now
	if len(s.reading) == 0 {
		s.readSince = now
	}
	s.reading[p] = struct{}{}
	s.coldCount(now)
	s.coldSends = append(s.coldSends, now)
}

// First records the first token of the answer. The server has read the
// prompt by then.
func (t *Table) First(now time.Time, p *Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := p.server.reading[p]; ok {
		p.server.firstToken(now, p)
		if p.nominal > 0 {
			t.pace(p.server.Service).observe(now, p.nominal, now.Sub(p.sent))
		}
	}
	t.endReading(now, p)
	for i, k := range p.keys {
		p.server.kept.Add(k, p.parts[i].Tokens)
	}
}

func (t *Table) endReading(now time.Time, p *Place) {
	s := p.server
	if _, ok := s.reading[p]; !ok {
		return
	}
	delete(s.reading, p)
	// The engine reads in order of arrival: the next one begins now.
	s.readSince = now
}

// Done ends a place.
func (t *Table) Done(now time.Time, p *Place, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := p.server
	t.endReading(now, p)
	s.running--
	switch r {
	case Served:
		s.duration += time.Duration(float64(now.Sub(p.sent)-s.duration) * durationWeight)
		s.failed(0)
		s.pause = 0
	case Failed:
		s.failed(1)
	case Broken:
		s.failed(1)
		s.unreachable(now)
	case Unreached:
		s.unreachable(now)
	case Shed:
		s.pauseTo(now.Add(shedPause))
	case Misdirected:
		// The server is gone and its entry is behind. Each further request
		// would be an arrival at a service that it does not belong to.
		s.pauseTo(now.Add(longestPause))
	}
}

// shedPause is the time for which a full server gets no new requests.
const shedPause = 50 * time.Millisecond

// Own returns what this router has under way, by short names of servers and
// without idle ones.
func (t *Table) Own(now time.Time) map[uint32]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[uint32]Load)
	for _, s := range t.servers {
		if s.running > 0 {
			loads[s.key()] = Load{Running: s.running, Reading: s.backlog(now)}
		}
	}
	return loads
}

// SetRemote records what another router has under way.
func (t *Table) SetRemote(now time.Time, r galenalatch.RouterID, loads map[uint32]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setRemote(r, remoteLoad{at: now, loads: loads})
}

// setRemote replaces the load of a router, and forgets it when there is none.
// The sums follow, so that a choice does not add up all routers.
func (t *Table) setRemote(r galenalatch.RouterID, l remoteLoad) {
	for k, old := range t.remote[r].loads {
		sum := t.elsewhere[k]
		sum.Running -= old.Running
		sum.Reading -= old.Reading
		if sum == (Load{}) {
			delete(t.elsewhere, k)
			continue
		}
		t.elsewhere[k] = sum
	}
	if l.loads == nil {
		delete(t.remote, r)
		return
	}
	t.remote[r] = l
	for k, fresh := range l.loads {
		sum := t.elsewhere[k]
		sum.Running += fresh.Running
		sum.Reading += fresh.Reading
		t.elsewhere[k] = sum
	}
}
