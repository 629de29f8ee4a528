package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
)

// Result is the outcome of the exchange for a reservation.
type Result string

// The results of exchanges.
const (
	// Served requests got a response.
	Served Result = "served"
	// Failed requests got a response that reports a failure of the server.
	Failed Result = "failed"
	// Shed requests were rejected by the server without having run.
	Shed Result = "shed"
	// Misdirected requests reached another server at the same address.
	Misdirected Result = "misdirected"
	// Broken exchanges ended before the response was complete.
	Broken Result = "broken"
	// Unreachable means that no connection to the server was possible.
	Unreachable Result = "unreached"
	// Cancelled exchanges carry no information about the server.
	Cancelled Result = "cancelled"
	// Unsent requests were not sent, for a reason other than the server.
	Unsent Result = "unsent"
)

func routerSeed(r galenalatch.RouterID) uint64 {
	return xxhash.Sum64String(string(r))
}

func (t *Table) reserve(now time.Time, p *Reservation) {
	s := p.server
	s.running++
	p.sent = now
	if len(s.prefilling) == 0 {
		s.prefillSince = now
	}
	s.prefilling[p] = struct{}{}
	s.recentCount(now)
	s.recentSends = append(s.recentSends, now)
	t.takeLimited(now, s)
	t.serviceWork(s.Service).recordChoice(p, p.size)
}

// RecordFirstToken records the first token of the response. It ends the prefill
// of the request, and the prompt counts as cached at the server.
func (t *Table) RecordFirstToken(now time.Time, p *Reservation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.serviceWork(p.server.Service)
	if _, ok := p.server.prefilling[p]; ok {
		p.server.recordFirstToken(now, p)
		w.observe(p, now.Sub(p.sent))
		if p.nominal > 0 {
			// A slow server does not make the engines of the service look slow.
			took := slowed(now.Sub(p.sent), 1/p.Slowdown)
			t.calibration(p.server.Service).observe(now, p.nominal, took)
		}
	}
	t.endPrefill(now, p)
	p.server.cache.Read(float64(min(p.size, maxCountedTokens) - min(p.Cached, maxCountedTokens)))
	p.server.cache.Use(p.keys, w.partMemory(p.server, t.settings[p.server.Service].CacheTokens))
}

func (t *Table) endPrefill(now time.Time, p *Reservation) {
	s := p.server
	if _, ok := s.prefilling[p]; !ok {
		return
	}
	delete(s.prefilling, p)
	// The engine prefills in order of arrival: the next request begins now.
	s.prefillSince = now
}

// Release ends a reservation and records its result.
func (t *Table) Release(now time.Time, p *Reservation, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := p.server
	t.endPrefill(now, p)
	s.running--
	switch r {
	case Served:
		t.serviceWork(s.Service).duration.add(now.Sub(p.sent).Seconds())
		s.meanDuration += time.Duration(float64(now.Sub(p.sent)-s.meanDuration) * durationWeight)
		s.recordResult(0)
		s.backoff = 0
	case Failed:
		s.recordResult(1)
	case Broken:
		s.recordResult(1)
		s.backOff(now)
	case Unsent:
		t.returnLimited(p)
		s.forgetSend(p.sent)
	case Unreachable:
		s.backOff(now)
	case Shed:
		s.failUntil(now.Add(shedPause))
	case Misdirected:
		// The server no longer has the address: its registration is out of
		// date. Further requests would reach a server of another service.
		s.failUntil(now.Add(maxBackoff))
	}
}

// shedPause is the time for which other servers are preferred after a server has shed
// a request.
const shedPause = 50 * time.Millisecond

// LocalLoad returns the load of this router's requests, by the keys that
// servers have in messages between routers. Servers without requests are left
// out.
func (t *Table) LocalLoad(now time.Time) map[uint32]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[uint32]Load)
	for _, s := range t.servers {
		if s.running > 0 {
			loads[s.key()] = Load{Running: s.running, Prefill: s.backlog(now)}
		}
	}
	return loads
}

// SetRemote replaces the load that another router has reported. A nil map
// removes it.
func (t *Table) SetRemote(now time.Time, r galenalatch.RouterID, loads map[uint32]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setRemote(r, remoteLoad{at: now, loads: loads})
}

// setRemote replaces the load of another router, or removes it when there is
// none. It keeps the sums up to date, so that Choose needs none over all routers.
func (t *Table) setRemote(r galenalatch.RouterID, l remoteLoad) {
	for k, old := range t.remote[r].loads {
		t.addRemote(k, Load{Running: -old.Running, Prefill: -old.Prefill})
	}
	if l.loads == nil {
		delete(t.remote, r)
		return
	}
	t.remote[r] = l
	for k, fresh := range l.loads {
		t.addRemote(k, fresh)
	}
}

// addRemote adds to the load of all other routers on the server with a key, which
// need not be listed yet.
func (t *Table) addRemote(key uint32, l Load) {
	sum := t.remoteTotal[key]
	sum.Running += l.Running
	sum.Prefill += l.Prefill
	if sum == (Load{}) {
		delete(t.remoteTotal, key)
	} else {
		t.remoteTotal[key] = sum
	}
	if s, ok := t.serversByKey[key]; ok {
		s.remote = sum
	}
}
