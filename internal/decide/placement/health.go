package placement

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// HealthTarget is a server whose health this router asks for.
type HealthTarget struct {
	Server  galenalatch.ServerID
	Started int64
	Address string
	// Path is the request target of its health.
	Path string
}

// HealthTargets returns the servers that may become cold and whose requests while cold
// this router may send: each is in the list of coldOwners routers.
func (t *Table) HealthTargets(now time.Time) []HealthTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []HealthTarget
	for _, s := range t.servers {
		settings := t.settings[s.Service]
		if settings.ColdRate <= 0 || settings.HealthPath == "" || !t.owns(s, coldOwners) {
			continue
		}
		if r := t.reason(now, s); r.final() || r == PauseRequested {
			continue
		}
		targets = append(targets, HealthTarget{Server: s.ID, Started: s.Started, Address: s.Address, Path: settings.HealthPath})
	}
	return targets
}

// RecordCold records that the health answer of a server says that it is cold, and
// reports whether that was not known.
func (t *Table) RecordCold(now time.Time, id galenalatch.ServerID, started int64, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.listed(process{id, started})
	if s == nil {
		return false
	}
	known := s.cold(now)
	s.setCold(now, d)
	s.coldByHealth = s.coldUntil
	return !known
}

// LocalCold returns the ends of the cold times that health answers have told this router,
// by the keys that processes of servers have in messages between routers.
func (t *Table) LocalCold(now time.Time) map[uint32]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	cold := make(map[uint32]time.Time)
	for _, s := range t.servers {
		if now.Before(s.coldByHealth) {
			cold[s.ID.ProcessKey(s.Started)] = s.coldByHealth
		}
	}
	return cold
}

// SetRemoteCold adds what health answers have told other routers.
func (t *Table) SetRemoteCold(now time.Time, cold map[uint32]time.Time) {
	if len(cold) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if until, ok := cold[s.ID.ProcessKey(s.Started)]; ok {
			s.setCold(now, until.Sub(now))
		}
	}
}
