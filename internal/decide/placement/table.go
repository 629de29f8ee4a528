// Package placement chooses the backend server of each request.
//
// Each router chooses on its own. The choices agree closely, because all
// routers prefer servers by the same rendezvous hash of the shared parts of a
// prompt, and because they exchange the load of their requests. The table
// predicts the time to the first token at each server from its backlog, from
// the part of the prompt in its cache, and from its prefill rate. The package
// reads no clock: all times are passed in.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
)

// Options configure a Table.
type Options struct {
	// Self is the id of this router, Local its data centre.
	Self  galenalatch.RouterID
	Local galenalatch.DataCentre
	// PrefillRate is the configured prefill rate of an engine, in prompt tokens
	// per millisecond.
	PrefillRate float64
	// FirstToken is the configured time from the end of the prefill to the
	// first token.
	FirstToken time.Duration
	// ColdRateFactor and ColdSlack bound the requests to a cold server in any
	// second, over all routers: rate x ColdRateFactor + ColdSlack, with the
	// cold rate of its service.
	ColdRateFactor float64
	ColdSlack      float64
}

// Table holds the backend servers with their predicted load. It is safe for
// concurrent use.
type Table struct {
	Options
	mu           sync.Mutex
	servers      map[galenalatch.ServerID]*server
	serversByKey map[uint32]*server
	// serversByProcess holds the servers by the keys of their processes.
	serversByProcess map[uint32]*server
	services         map[string][]*server
	settings         map[string]galenalatch.Service
	outOfService     map[galenalatch.DataCentre]bool
	routers          []galenalatch.RouterID
	remote           map[galenalatch.RouterID]remoteLoad
	// remoteTotal is the sum of the other routers' loads by server key.
	remoteTotal  map[uint32]Load
	calibrations map[string]*calibration
	work         map[string]*work
	// leaving holds the processes of servers that have announced their leaving, with
	// the time at which that was last needed.
	leaving map[process]time.Time
}

// New returns a table without servers.
func New(o Options) *Table {
	return &Table{
		Options:          o,
		servers:          make(map[galenalatch.ServerID]*server),
		serversByKey:     make(map[uint32]*server),
		serversByProcess: make(map[uint32]*server),
		services:         make(map[string][]*server),
		settings:         make(map[string]galenalatch.Service),
		outOfService:     make(map[galenalatch.DataCentre]bool),
		remote:           make(map[galenalatch.RouterID]remoteLoad),
		remoteTotal:      make(map[uint32]Load),
		calibrations:     make(map[string]*calibration),
		work:             make(map[string]*work),
		leaving:          make(map[process]time.Time),
	}
}

// SetServices replaces the settings of the services.
func (t *Table) SetServices(s map[string]galenalatch.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings = s
	maps.DeleteFunc(t.calibrations, func(name string, _ *calibration) bool { _, ok := s[name]; return !ok })
	maps.DeleteFunc(t.work, func(name string, _ *work) bool { _, ok := s[name]; return !ok })
}

// SetRouters replaces the list of routers among which cold servers are divided.
func (t *Table) SetRouters(m []galenalatch.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routers = m
}

// SetOutOfService takes a data centre out of service or returns it. Its servers
// are cold for the cold time of their service after the return.
func (t *Table) SetOutOfService(now time.Time, d galenalatch.DataCentre, out bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if s.DataCentre != d {
			continue
		}
		if s.outOfService && !out {
			s.setCold(now, t.settings[s.Service].ColdTime)
		}
		s.outOfService = out
	}
	if out {
		t.outOfService[d] = true
		return
	}
	delete(t.outOfService, d)
}

// Put adds a server or replaces its registration. It cancels a removal.
func (t *Table) Put(now time.Time, r galenalatch.Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[r.ID]
	if ok && (s.Service != r.Service || s.Address != r.Address || s.Started != r.Started) {
		// Another process has taken the id: the old state does not apply.
		t.drop(s)
		ok = false
	}
	if !ok {
		s = newServer(r)
		s.listedAt = now
		s.remote = t.remoteTotal[s.key()]
		_, s.leavingAnnounced = t.leaving[s.process()]
		t.servers[r.ID] = s
		t.serversByKey[s.key()] = s
		t.serversByProcess[s.processKey] = s
		t.services[r.Service] = append(t.services[r.Service], s)
		slices.SortFunc(t.services[r.Service], func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.Registration = r
	s.outOfService = t.outOfService[r.DataCentre]
	s.removeAt = time.Time{}
	s.setCold(now, r.ColdFor)
}

// Remove schedules the removal of a server. It stays in use until then, and
// longer if Put is called for it. A second call does not change the time.
func (t *Table) Remove(id galenalatch.ServerID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[id]; ok && s.removeAt.IsZero() {
		s.removeAt = at
	}
}

// Expire drops the servers whose removal is due and returns their ids. It also
// drops loads of routers that are older than maxRemoteAge, and updates the
// calibrations.
func (t *Table) Expire(now time.Time) []galenalatch.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r, l := range t.remote {
		if now.Sub(l.at) >= maxRemoteAge {
			t.setRemote(r, remoteLoad{})
		}
	}
	for _, c := range t.calibrations {
		c.update(now)
	}
	t.updateWork(now)
	var removed []galenalatch.ServerID
	for id, s := range t.servers {
		if s.removed(now) {
			removed = append(removed, id)
			t.drop(s)
		}
	}
	t.expireLeaving(now)
	return removed
}

func (t *Table) drop(s *server) {
	delete(t.servers, s.ID)
	delete(t.serversByKey, s.key())
	delete(t.serversByProcess, s.processKey)
	t.services[s.Service] = slices.DeleteFunc(t.services[s.Service], func(o *server) bool { return o == s })
}

// hash returns the rendezvous weight of a server for a key.
func hash(key uint64, s *server) uint64 {
	x := key ^ s.seed
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// maxPromptKeys bounds the parts of a prompt that are looked up and recorded as kept.
const maxPromptKeys = 128

// prefixKeys returns a key for each part of a prompt that covers the model and
// all parts before it, since engines reuse a cached part only behind the same
// prefix.
func prefixKeys(model string, parts []galenalatch.PromptPart) []uint64 {
	d := xxhash.New()
	// A digest never returns an error.
	_, _ = d.WriteString(model)
	parts = parts[:min(len(parts), maxPromptKeys)]
	keys := make([]uint64, len(parts))
	for i, p := range parts {
		_, _ = d.WriteString("\x00" + p.ID)
		keys[i] = d.Sum64()
	}
	return keys
}
