// Package placement chooses the backend server of each request.
//
// Routers choose alone. They agree closely because they use the same
// preference, a rendezvous hash of the shared parts of a prompt, and because
// they tell each other what they have under way. The table is a model: it
// predicts when a server would give the first token, from what waits there,
// what it keeps of the prompt, and how quickly it reads. All times are passed
// in.
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
	// Self is the router, Local its data centre.
	Self  galenalatch.RouterID
	Local galenalatch.DataCentre
	// ReadRate is the number of prompt tokens that an engine reads in a
	// millisecond.
	ReadRate float64
	// FirstToken is the time from the end of reading to the first token.
	FirstToken time.Duration
	// ColdOver and ColdSlack bound the requests of a cold server in a second
	// together with its service's rate: rate x ColdOver + ColdSlack.
	ColdOver  float64
	ColdSlack float64
}

// Table knows the backend servers. It is safe for concurrent use.
type Table struct {
	Options
	mu       sync.Mutex
	servers  map[galenalatch.ServerID]*server
	services map[string][]*server
	settings map[string]galenalatch.Service
	out      map[galenalatch.DataCentre]bool
	members  []galenalatch.RouterID
	remote   map[galenalatch.RouterID]remoteLoad
	// elsewhere is the sum of the other routers' loads by server.
	elsewhere map[uint32]Load
	paces     map[string]*pace
}

// New returns a table without servers.
func New(o Options) *Table {
	return &Table{
		Options:   o,
		servers:   make(map[galenalatch.ServerID]*server),
		services:  make(map[string][]*server),
		settings:  make(map[string]galenalatch.Service),
		out:       make(map[galenalatch.DataCentre]bool),
		remote:    make(map[galenalatch.RouterID]remoteLoad),
		elsewhere: make(map[uint32]Load),
		paces:     make(map[string]*pace),
	}
}

// SetServices replaces the settings of the services.
func (t *Table) SetServices(s map[string]galenalatch.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings = s
	maps.DeleteFunc(t.paces, func(name string, _ *pace) bool { _, ok := s[name]; return !ok })
}

// SetMembers replaces the list of routers that share cold servers.
func (t *Table) SetMembers(m []galenalatch.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = m
}

// SetOut takes a data centre out of service or returns it. Its servers are
// cold when it returns.
func (t *Table) SetOut(now time.Time, d galenalatch.DataCentre, out bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.out[d] && !out {
		for _, s := range t.servers {
			if s.DataCentre == d {
				s.chill(now, t.settings[s.Service].ColdTime)
			}
		}
	}
	if out {
		t.out[d] = true
		return
	}
	delete(t.out, d)
}

// Put adds a server or replaces what is known about it.
func (t *Table) Put(now time.Time, r galenalatch.Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[r.ID]
	if ok && (s.Service != r.Service || s.Address != r.Address || s.Started != r.Started) {
		// Another process has the id: nothing known about the old one holds.
		t.drop(s)
		ok = false
	}
	if !ok {
		s = newServer(r)
		t.servers[r.ID] = s
		t.services[r.Service] = append(t.services[r.Service], s)
		slices.SortFunc(t.services[r.Service], func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.Registration = r
	s.removal = time.Time{}
	s.chill(now, r.ColdFor)
}

// Remove forgets a server at the given time. Until then it stays in use
// unless Put brings it back.
func (t *Table) Remove(id galenalatch.ServerID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[id]; ok && s.removal.IsZero() {
		s.removal = at
	}
}

// Expire drops the servers whose removal is due, and the loads of routers that
// were not heard for a time. It returns the ids of the servers.
func (t *Table) Expire(now time.Time) []galenalatch.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r, l := range t.remote {
		if now.Sub(l.at) >= maxRemoteAge {
			t.setRemote(r, remoteLoad{})
		}
	}
	for _, p := range t.paces {
		p.follow(now)
	}
	var gone []galenalatch.ServerID
	for id, s := range t.servers {
		if s.removed(now) {
			gone = append(gone, id)
			t.drop(s)
		}
	}
	return gone
}

func (t *Table) drop(s *server) {
	delete(t.servers, s.ID)
	t.services[s.Service] = slices.DeleteFunc(t.services[s.Service], func(o *server) bool { return o == s })
}

// IDs returns the ids of the servers that are known and not being removed.
func (t *Table) IDs() []galenalatch.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]galenalatch.ServerID, 0, len(t.servers))
	for id, s := range t.servers {
		if s.removal.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Usable reports whether new requests may be sent to the server now.
func (t *Table) Usable(now time.Time, id galenalatch.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[id]
	return ok && t.usable(now, s)
}

func (t *Table) usable(now time.Time, s *server) bool {
	return !s.Leaving && !s.removed(now) && !t.out[s.DataCentre]
}

// hash spreads servers over prompts.
func hash(key uint64, s *server) uint64 {
	x := key ^ s.seed
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// chain returns a key for each part of a prompt together with all parts
// before it, since engines keep a part only behind the same beginning.
func chain(model string, parts []galenalatch.PromptPart) []uint64 {
	d := xxhash.New()
	// A digest never returns an error.
	_, _ = d.WriteString(model)
	keys := make([]uint64, len(parts))
	for i, p := range parts {
		_, _ = d.WriteString("\x00" + p.ID)
		keys[i] = d.Sum64()
	}
	return keys
}
