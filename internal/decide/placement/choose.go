package placement

import (
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// crossDataCentreCost is added to the score of servers in other data
	// centres: the network round trip, plus a preference for servers in the
	// router's own data centre.
	crossDataCentreCost = 6 * time.Millisecond
	// dialCost is added to the score of servers without an idle connection.
	dialCost = 12 * time.Millisecond
	// attentionTime is the prefill time for a million pairs of prompt tokens.
	attentionTime = 323 * time.Microsecond
	// failureCost is added to the score of a server that fails all requests.
	// For others it is scaled by the square of the failure rate.
	failureCost = 2 * time.Second
	// plainCost is the time for which a request to a plain service occupies a
	// slot.
	plainCost = 15 * time.Millisecond
	// coldOwners is the number of routers that may send to a cold server, each
	// up to coldOwnerShare of the server's bound. The shares add up to less
	// than the bound, so that it also holds while routers have different router
	// lists.
	coldOwners     = 2
	coldOwnerShare = 0.2
	// maxPrefillTime and maxPromptTokens bound what a request can announce, so that
	// sums of times and tokens do not overflow.
	maxPrefillTime  = time.Hour
	maxPromptTokens = 1 << 40
	// maxRemoteAge is the age from which on the load of another router is
	// ignored.
	maxRemoteAge = time.Second
)

// Request is a request that needs a server.
type Request struct {
	Service string
	Model   string
	Prompt  []galenalatch.PromptPart
	// PromptTokens is the announced size of the prompt.
	PromptTokens int
	// HasIdle reports whether there is an idle connection to a server. It is
	// optional and must not call the table.
	HasIdle func(galenalatch.ServerID) bool
	// Versions restricts the versions of the servers.
	Versions Versions
	// Exclude lists the servers that the request has already reached.
	Exclude []galenalatch.ServerID
}

// Reservation is the reservation of a server for one request. The caller
// reports the first token with RecordFirstToken, and must end the reservation
// with Release.
type Reservation struct {
	Server     galenalatch.ServerID
	Address    string
	DataCentre galenalatch.DataCentre
	// Started identifies the process of the server.
	Started int64
	// Wait is the predicted time to the first token, or to the response for
	// plain services.
	Wait time.Duration
	// Overhead is the part of Wait by which first tokens of all engines of the
	// service exceed the configured time, for example because the router lacks
	// processor time.
	Overhead time.Duration
	// Prefill is the part of Wait for the prefill of the request itself: the time
	// for which it occupies the prefill of the engine.
	Prefill time.Duration
	// Queue is the part of Wait for which the request waits behind others at the engine.
	Queue time.Duration
	// Cached is the number of prompt tokens that the server is expected to have
	// in its prompt cache. Home is 1 for the first home of the prompt, 2 and more for
	// the next ones, and 0 for other servers.
	Cached int
	Home   int
	Cold   bool
	// Version is the version of the server, and Listed when this router listed it.
	Version string
	Listed  time.Time
	// Expected is Wait without the recent lateness of the server.
	Expected time.Duration
	// Slowdown is how much longer than usual work is expected to take on the server,
	// WordAge the time since a router has heard of its speed; 0 if none has.
	Slowdown float64
	WordAge  time.Duration
	// Spare is set when the server takes few requests by its own limit, and a part
	// of what it takes would be lost without this one.
	Spare bool

	server *server
	// nominal is the prefill time at the configured rate of this request and of
	// all requests queued before it. It is 0 when the request also waits for a
	// slot.
	nominal  time.Duration
	expected expectation
	keys     []uint64
	size     int
	sent     time.Time
}

// remoteLoad is the load that another router has reported.
type remoteLoad struct {
	at    time.Time
	loads map[uint32]Load
}

// Load is the load that the requests of one router cause on one server.
type Load struct {
	Running int
	// Prefill is the remaining prefill time of its requests.
	Prefill time.Duration
}

// Choose returns the best server for a request and reserves it. It reports
// false when no server may take the request. Failing servers are used only when
// there is no other one.
func (t *Table) Choose(now time.Time, r Request) (*Reservation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var engine *engineModel
	if m, ok := t.engineModel(r); ok {
		engine = &m
	}
	keys := prefixKeys(r.Model, r.Prompt)
	var best *server
	var bestEstimate estimate
	homes := t.homes(now, r, keys)
	for _, reason := range []Reason{Available, Failing} {
		for _, s := range t.services[r.Service] {
			if !r.Versions.allow(s) || slices.Contains(r.Exclude, s.ID) || t.reason(now, s) != reason {
				continue
			}
			e := t.predict(now, s, r, keys, engine, homes.rank(s))
			e.cold = s.cold(now)
			// The connections to a server are looked up under a lock, so only those
			// of servers that may be the best one.
			if r.HasIdle != nil && (best == nil || e.score < bestEstimate.score) && !r.HasIdle(s.ID) {
				e.score += dialCost
			}
			if best == nil || e.score < bestEstimate.score {
				best, bestEstimate = s, e
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		return nil, false
	}
	p := &Reservation{
		Server: best.ID, Address: best.Address, DataCentre: best.DataCentre, Started: best.Started, server: best,
		Wait: bestEstimate.wait, Overhead: bestEstimate.overhead, Cached: bestEstimate.cached, Cold: bestEstimate.cold,
		Spare:   t.spare(now, best),
		Version: best.Version, Listed: best.listedAt, Expected: bestEstimate.wait - bestEstimate.late,
		Prefill: bestEstimate.prefill, Queue: bestEstimate.queue,
		Home: homes.rank(best) + 1, expected: expectation{rank: noHome}, keys: keys, size: r.promptSize(),
		Slowdown: best.load.Slowdown(now), WordAge: best.load.Age(now),
	}
	if engine != nil {
		t.expect(now, p, r, engine, bestEstimate)
	}
	t.reserve(now, p)
	return p, true
}

// expect sets what the first token of the reservation will tell.
func (t *Table) expect(now time.Time, p *Reservation, r Request, m *engineModel, e estimate) {
	rank := p.Home - 1
	wait := p.server.queueWait(now)
	k := m.keptTokens(p.server, r, p.keys, rank)
	p.expected = m.expect(t, e, k, rank, wait, p.Slowdown)
	p.nominal = m.nominalSample(t, p.expected, k, rank, wait, p.Slowdown)
}

// estimate is the prediction for one server.
type estimate struct {
	// wait is the time to the first token, prefill the part of it for the
	// request itself, queue the part for others, late the part by which the server was
	// late lately. overhead is as in Reservation.
	wait     time.Duration
	late     time.Duration
	prefill  time.Duration
	queue    time.Duration
	overhead time.Duration
	cached   int
	cold     bool
	// score is the total cost of this choice for the fleet, as a time.
	score time.Duration
}

// predict estimates the time to the first token at a server and the cost of the
// choice for the fleet, without that of a new connection. engine is the model
// of the service's engines, or nil for a plain service, and rank that of the server
// among the homes of the prompt.
func (t *Table) predict(now time.Time, s *server, a Request, keys []uint64, engine *engineModel, rank int) estimate {
	var e estimate
	if engine != nil {
		e = engine.predict(t, now, s, a, keys, rank)
	} else {
		e = s.predictPlain(now)
	}
	if s.DataCentre != t.Local {
		e.score += crossDataCentreCost
	}
	e.score += time.Duration(s.failureRate * s.failureRate * float64(failureCost))
	return e
}

// predictPlain is predict for a server of a plain service.
func (s *server) predictPlain(now time.Time) estimate {
	busy := s.running + s.remote.Running
	cost := slowed(plainCost, s.load.Slowdown(now))
	e := estimate{prefill: cost}
	e.wait = cost * time.Duration(1+max(busy+1-s.Slots, 0)/s.Slots)
	e.score = cost * time.Duration(busy+1) / time.Duration(s.Slots)
	if busy >= s.Slots {
		e.score *= 2
	}
	return e
}

// promptSize returns the number of tokens of the prompt.
func (a Request) promptSize() int {
	total := a.PromptTokens
	for _, part := range a.Prompt {
		total = max(total, part.Tokens)
	}
	return min(total, maxPromptTokens)
}

// prefillTime returns the time at the configured rate to prefill the last fresh
// tokens of a prompt with total tokens. It grows with the length of the prompt,
// since each token attends to all tokens before it.
func (t *Table) prefillTime(total, fresh int) time.Duration {
	pairs := float64(fresh) * (float64(total) - float64(fresh)/2)
	d := float64(fresh)/t.PrefillRate*float64(time.Millisecond) + pairs/1e6*float64(attentionTime)
	return time.Duration(min(d, float64(maxPrefillTime)))
}

// allowCold reports whether this router may send one more request to a cold
// server in this second. Each cold server is owned by coldOwners routers of the
// router list, so that the sum stays bounded without messages between routers.
func (t *Table) allowCold(now time.Time, s *server) bool {
	if !t.owns(s, coldOwners) {
		return false
	}
	bound := t.settings[s.Service].ColdRate*t.ColdRateFactor + t.ColdSlack
	return float64(s.recentCount(now)+1) <= bound*coldOwnerShare
}

// owns reports whether this router is one of the first by rendezvous hash of the
// router list for a server.
func (t *Table) owns(s *server, owners int) bool {
	weight, higher, listed := hash(routerSeed(t.Self), s), 0, false
	for _, m := range t.routers {
		if m == t.Self {
			listed = true
		} else if hash(routerSeed(m), s) > weight {
			higher++
		}
	}
	return listed && higher < owners
}
