package load

import (
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/fleet/topology"
	"github.com/galenalatch/galenalatch/internal/peer/link"
)

// SetPeers replaces the list of routers and the topology, and closes connections
// to routers that it does not connect. A call with an empty token does nothing;
// the first token that is not empty remains in use. An error comes from the first
// use of the token.
func (s *Syncer) SetPeers(list []galenalatch.Instance, t topology.Topology, token string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token == "" {
		return nil
	}
	if s.mesh == nil {
		m, err := link.New(link.Options{
			Self: s.Self, Start: s.Start, DataCentre: s.DataCentre, Token: token,
			Handle:          s.receive,
			Connected:       func(r galenalatch.RouterID, _ string) { s.recordContact(r); s.Quarantine.ResendAll(); s.Connected(r) },
			ConnectionError: s.Disconnected,
		})
		if err != nil {
			return err
		}
		s.mesh = m
		close(s.ready)
	}
	s.topology = t
	connect := append(slices.Clone(t.Peers), t.RemoteRelays()...)
	s.mesh.SetPeers(slices.DeleteFunc(slices.Clone(list), func(i galenalatch.Instance) bool {
		return !slices.Contains(connect, galenalatch.RouterID(i.ID))
	}))
	now := time.Now()
	routers := make(map[galenalatch.RouterID]time.Time, len(connect))
	remote := make(map[galenalatch.DataCentre]time.Time)
	for _, r := range connect {
		routers[r] = now
		if at, ok := s.lastContact[r]; ok {
			routers[r] = at
		}
		if d, ok := t.RemoteDataCentre(r); ok {
			remote[d] = now
			if at, ok := s.lastContactDataCentre[d]; ok {
				remote[d] = at
			}
		}
	}
	s.lastContact, s.lastContactDataCentre = routers, remote
	return nil
}

func (s *Syncer) recordContact(r galenalatch.RouterID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordContactLocked(r, time.Now())
}

// recordContactLocked records a contact with a router. The caller holds s.mu.
func (s *Syncer) recordContactLocked(r galenalatch.RouterID, now time.Time) {
	if _, ok := s.lastContact[r]; ok {
		s.lastContact[r] = now
	}
	if d, ok := s.topology.RemoteDataCentre(r); ok {
		if _, ok := s.lastContactDataCentre[d]; ok {
			s.lastContactDataCentre[d] = now
		}
	}
}

// Silent returns the routers without contact for the timeout, and reports whether
// there was contact with any other router within it. Contact is a message or an
// open connection. The routers of another data centre are silent after twice the
// timeout without contact with any of its relays: within it, its own routers
// remove a failed relay from the list, and another router becomes a relay.
func (s *Syncer) Silent(now time.Time, timeout time.Duration) (silent []galenalatch.RouterID, connected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mesh == nil {
		return nil, false
	}
	for r, t := range s.mesh.Stats() {
		if t.Connected {
			s.recordContactLocked(r, now)
		}
	}
	for r, at := range s.lastContact {
		_, remote := s.topology.RemoteDataCentre(r)
		switch {
		case now.Sub(at) < timeout:
			connected = true
		case !remote:
			silent = append(silent, r)
		}
	}
	for d, at := range s.lastContactDataCentre {
		if now.Sub(at) >= 2*timeout {
			silent = append(silent, s.topology.In(d)...)
		}
	}
	return silent, connected
}
