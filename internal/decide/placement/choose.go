package placement

import (
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// farCost is added for servers of other data centres: the way there and
	// back, and a preference for traffic that stays.
	farCost = 6 * time.Millisecond
	// dialCost is added for servers to which there is no idle connection.
	dialCost = 12 * time.Millisecond
	// pairTime is the reading time for a million pairs of prompt tokens.
	pairTime = 323 * time.Microsecond
	// rereadWeight makes a server that keeps the prompt preferable to one
	// that reads it again and delays all others.
	rereadWeight = 1.5
	// failureCost is added for a server that fails all requests.
	failureCost = 2 * time.Second
	// plainCost is the time that a plain request occupies a slot.
	plainCost = 15 * time.Millisecond
	// coldOwners routers may send to a cold server, each up to
	// coldOwnerShare of its bound. Routers that disagree about the list for
	// a while stay under the bound.
	coldOwners     = 2
	coldOwnerShare = 0.2
	// maxRemoteAge is the age after which another router's load is ignored.
	maxRemoteAge = time.Second
)

// Ask is a request that needs a server.
type Ask struct {
	Service string
	Model   string
	Prompt  []galenalatch.PromptPart
	// PromptTokens is the announced size of the prompt.
	PromptTokens int
	// HasIdle reports whether there is an idle connection to a server, if
	// set. It must not call the table.
	HasIdle func(galenalatch.ServerID) bool
	// Exclude are the servers that the request has already reached.
	Exclude []galenalatch.ServerID
}

// Place is a place for one request at a server. First and Done must be
// called.
type Place struct {
	Server     galenalatch.ServerID
	Address    string
	DataCentre galenalatch.DataCentre
	// Wait is the predicted time to the first token or the answer.
	Wait time.Duration
	// Cached is the number of prompt tokens that the server keeps.
	Cached int
	Cold   bool

	server *server
	cost   time.Duration
	keys   []uint64
	parts  []galenalatch.PromptPart
	sent   time.Time
}

// remoteLoad is what another router has under way.
type remoteLoad struct {
	at    time.Time
	loads map[uint32]Load
}

// Load is what one router has under way at a server.
type Load struct {
	Running int
	// Reading is the time for which its requests occupy the reader.
	Reading time.Duration
}

// Choose returns the best place for a request and reserves it. It reports
// false when no server may take the request.
func (t *Table) Choose(now time.Time, a Ask) (*Place, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	engine := t.settings[a.Service].Engine
	keys := chain(a.Model, a.Prompt)
	best, bestScore := (*Place)(nil), time.Duration(0)
	home := t.home(now, a.Service, keys)
	for _, paused := range []bool{false, true} {
		for _, s := range t.services[a.Service] {
			if !t.usable(now, s) || slices.Contains(a.Exclude, s.ID) || now.Before(s.pausedTo) != paused {
				continue
			}
			cold := s.cold(now)
			if cold && !t.coldPermit(now, s) {
				continue
			}
			p, score := t.price(now, s, a, keys, engine, s == home)
			p.Cold = cold
			if best == nil || score < bestScore {
				best, bestScore = p, score
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		return nil, false
	}
	t.reserve(now, best)
	return best, true
}

// home returns the server that all routers prefer for a prompt.
func (t *Table) home(now time.Time, service string, keys []uint64) *server {
	if len(keys) == 0 {
		return nil
	}
	// The last part belongs to the request itself.
	key := keys[max(len(keys)-2, 0)]
	var best *server
	for _, s := range t.services[service] {
		if t.usable(now, s) && !s.cold(now) && !now.Before(s.pausedTo) && (best == nil || hash(key, s) > hash(key, best)) {
			best = s
		}
	}
	return best
}

// price predicts the time to the first token at a server and its cost for
// the fleet.
func (t *Table) price(now time.Time, s *server, a Ask, keys []uint64, engine, home bool) (*Place, time.Duration) {
	p := &Place{Server: s.ID, Address: s.Address, DataCentre: s.DataCentre, server: s, keys: keys, parts: a.Prompt}
	remote := t.elsewhere(now, s.key())
	var score time.Duration
	if engine {
		total := a.PromptTokens
		for _, part := range a.Prompt {
			total = max(total, part.Tokens)
		}
		p.Cached = s.cached(keys, a.Prompt)
		if home && len(a.Prompt) > 1 {
			// Other routers send the shared parts there too.
			shared := 0
			for _, part := range a.Prompt[:len(a.Prompt)-1] {
				shared += part.Tokens
			}
			p.Cached = max(p.Cached, shared)
		}
		p.Cached = min(p.Cached, total)
		fresh := total - p.Cached
		p.cost = time.Duration(float64(fresh)/t.ReadRate*float64(time.Millisecond)) +
			time.Duration(float64(fresh)*(float64(total)-float64(fresh)/2)/1e6*float64(pairTime))
		p.Wait = s.backlog(now) + remote.Reading + p.cost + t.FirstToken + s.delay(now) + s.full(s.running+remote.Running)
		score = p.Wait + time.Duration((rereadWeight-1)*float64(p.cost))
	} else {
		p.cost = plainCost
		busy := s.running + remote.Running
		p.Wait = plainCost * time.Duration(1+max(busy+1-s.Slots, 0)/s.Slots)
		score = plainCost * time.Duration(busy+1) / time.Duration(s.Slots)
		if busy >= s.Slots {
			score *= 2
		}
	}
	if s.DataCentre != t.Local {
		score += farCost
	}
	if a.HasIdle != nil && !a.HasIdle(s.ID) {
		score += dialCost
	}
	return p, score + time.Duration(s.failures*s.failures*float64(failureCost))
}

// elsewhere returns what the other routers have under way at a server.
func (t *Table) elsewhere(now time.Time, key uint32) Load {
	var sum Load
	for _, r := range t.remote {
		if age := now.Sub(r.at); age < maxRemoteAge {
			l := r.loads[key]
			sum.Running += l.Running
			sum.Reading += max(l.Reading-age, 0)
		}
	}
	return sum
}

// coldPermit reports whether this router may send one more request to a cold
// server in this second. Few routers own each cold server, by the list of
// routers in the store, so that the sum stays bounded without messages.
func (t *Table) coldPermit(now time.Time, s *server) bool {
	if !t.owns(s) {
		return false
	}
	bound := t.settings[s.Service].ColdRate*t.ColdOver + t.ColdSlack
	return float64(s.coldCount(now)+1) <= bound*coldOwnerShare
}

func (t *Table) owns(s *server) bool {
	own, above, listed := hash(seedOf(t.Self), s), 0, false
	for _, m := range t.members {
		if m == t.Self {
			listed = true
		} else if hash(seedOf(m), s) > own {
			above++
		}
	}
	return listed && above < coldOwners
}
