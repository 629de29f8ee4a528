package rollout

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/rendezvous"
	"github.com/galenalatch/galenalatch/internal/decide/rollout"
)

const (
	// aloneTime is how long no other version must have been listed before a version
	// that is to be avoided gets requests all the same.
	aloneTime = time.Second
	// oldVersionTime is how long the versions that an order has replaced are avoided:
	// their servers stop, and their entries remain for a few seconds.
	oldVersionTime = 30 * time.Second
	// maxHold bounds how long a version waits for the operators' table.
	maxHold = 5 * time.Second
	// minCanaryServers is the smallest number of servers that an unproved version is
	// tried on, so that one faulty server does not decide.
	minCanaryServers = 2
)

// service is the state of one service.
type service struct {
	c    *Controller
	name string

	mu    sync.Mutex
	order *order
	// row is the version of the status row, whatever order it is of.
	row uint64
	// avoid holds the versions that get no requests, until a time; zero stands for
	// ever. held are versions that wait for the operators' table to reach a position
	// of the store.
	avoid map[string]time.Time
	held  map[string]hold
	// othersSeen is when servers of versions that are not avoided were last listed, or
	// any for the first time.
	othersSeen time.Time
	// avoided and canaries restrict the choices. They are replaced, not changed.
	// unproved holds those of avoided that are not only held.
	avoided  map[string]bool
	unproved map[string]bool
	canaries map[galenalatch.ServerID]bool
	uses     map[string]placement.VersionUse
	// rank is the place of this router among those that may write the status, or -1 if
	// it is not listed.
	rank int
}

// hold is a version that waits for the operators' table.
type hold struct {
	position galenalatch.Position
	until    time.Time
}

func newService(c *Controller, name string) *service {
	return &service{c: c, name: name, avoid: make(map[string]time.Time), held: make(map[string]hold)}
}

// setOrder replaces the order. A version that the order before has not proved is avoided.
func (s *service) setOrder(now time.Time, o galenalatch.RolloutOrder, stamp galenalatch.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.order
	if old != nil && !o.Removed && old.Version == o.Version {
		return
	}
	if old != nil && old.status.State != galenalatch.RolloutDone && old.Target != o.Target {
		s.avoid[old.Target] = time.Time{}
	}
	if o.Removed {
		s.order = nil
		return
	}
	delete(s.avoid, o.Target)
	s.order = newOrder(now, o, stamp, s.c.Within)
	if old != nil {
		// The status table is followed already.
		s.order.statusProof, s.order.currentSince = old.statusProof, old.currentSince
	}
	s.setAvoided(now)
	s.c.Events.RolloutOrdered(o)
}

// hold avoids a version until the operators' table has reached a position of the store.
func (s *service) hold(now time.Time, version string, at galenalatch.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.held[version]; !ok {
		s.held[version] = hold{position: at, until: now.Add(maxHold)}
	}
}

// look updates what restricts the choices. It reports whether anything does. The caller
// holds c.mu.
func (s *service) look(now time.Time) bool {
	uses := s.c.Table.VersionUses(now, s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses = uses
	for v, h := range s.held {
		if !s.c.operatorsSeen.Before(h.position) || now.After(h.until) {
			delete(s.held, v)
		}
	}
	for v, until := range s.avoid {
		listed := len(uses[v].Servers) > 0
		if !until.IsZero() && now.After(until) || until.IsZero() && s.order == nil && !listed {
			delete(s.avoid, v)
		}
	}
	s.setAvoided(now)
	s.setCanaries()
	if s.order != nil {
		s.setRank()
		s.order.judge(now, s)
	}
	return s.order != nil || len(s.avoid) > 0 || len(s.held) > 0
}

// setAvoided computes the versions that get no requests. If all listed servers have such
// versions for aloneTime, none is avoided. The caller holds s.mu.
func (s *service) setAvoided(now time.Time) {
	unproved := make(map[string]bool)
	for v := range s.avoid {
		unproved[v] = true
	}
	if o := s.order; o != nil && o.status.State != galenalatch.RolloutDone {
		unproved[o.Target] = true
	}
	avoided := maps.Clone(unproved)
	for v := range s.held {
		avoided[v] = true
	}
	for v, u := range s.uses {
		if len(u.Servers) > 0 && (!avoided[v] || s.othersSeen.IsZero()) {
			s.othersSeen = now
		}
	}
	if !s.othersSeen.IsZero() && now.Sub(s.othersSeen) >= aloneTime {
		avoided, unproved = nil, nil
	}
	s.avoided, s.unproved = avoided, unproved
}

// setCanaries computes the servers on which an unproved version is tried: few, so that
// each has the load of a usual one. All routers choose the same ones. The caller holds
// s.mu.
func (s *service) setCanaries() {
	s.canaries = nil
	if s.order == nil || s.order.step >= rollout.Partial {
		return
	}
	all := 0
	for _, u := range s.uses {
		all += len(u.Servers)
	}
	candidates := make([]string, 0, all)
	for _, id := range s.uses[s.order.Target].Servers {
		candidates = append(candidates, string(id))
	}
	count := max(int(s.c.Bounds.Share*float64(all-len(candidates))+0.5), minCanaryServers)
	ranked := rendezvous.Hash{Seed: "rolloutServers"}.Rank(s.name, candidates)
	canaries := make(map[galenalatch.ServerID]bool, count)
	for _, id := range ranked[:min(count, len(ranked))] {
		canaries[galenalatch.ServerID(id)] = true
	}
	s.canaries = canaries
}

// needsStatus reports whether the status table has to be followed.
func (s *service) needsStatus() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order != nil && !s.order.status.State.Final()
}

// othersGone returns for how long no server of another version than the target has been
// listed. The caller holds s.mu.
func (s *service) othersGone(now time.Time) time.Duration {
	for v, u := range s.uses {
		if v != s.order.Target && len(u.Servers) > 0 {
			return 0
		}
	}
	if s.othersSeen.IsZero() {
		return 0
	}
	return now.Sub(s.othersSeen)
}

// oldRunning returns the number of this router's requests at other versions than the
// target. The caller holds s.mu.
func (s *service) oldRunning() int {
	n := 0
	for v, u := range s.uses {
		if v != s.order.Target {
			n += u.Running
		}
	}
	return n
}

// setRank computes the place of this router. The caller holds s.mu.
func (s *service) setRank() {
	key := s.name + "\x00" + strconv.FormatUint(s.order.Version, 10)
	ranked := rendezvous.Hash{Seed: "rollout"}.Rank(key, s.c.Routers())
	s.rank = slices.Index(ranked, string(s.c.Self))
}

// orderKey identifies an order in messages between routers.
func orderKey(o galenalatch.RolloutOrder) uint32 {
	return uint32(xxhash.Sum64String(o.Service + "\x00" + strconv.FormatUint(o.Version, 10)))
}

// routeKey identifies a route in messages between routers.
func routeKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
