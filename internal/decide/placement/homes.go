package placement

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// homeCount is the number of servers, in the order of the rendezvous hash, that all
// routers expect to keep the shared parts of a prompt. The first one gets the
// requests. The next ones get those that would wait too long there, so that prompts
// which many requests share are kept by several servers and others by one.
const homeCount = 3

// noHome is the rank of a server that is not a home of the prompt.
const noHome = -1

// homeCredits are the parts of the shared tokens of a prompt that count as kept in the
// choice, by the rank of the home. The first home gets all: the parts must be read
// somewhere, and there the next requests of all routers find them. The other ones get
// what makes all routers overflow to the same of several idle servers.
var homeCredits = [homeCount]float64{1, 0.1, 0.05}

// homes are the homes of a prompt by rank. Missing ones are nil.
type homes [homeCount]*server

// rank returns the rank of a server, or noHome.
func (h *homes) rank(s *server) int {
	for i, home := range h {
		if home == s {
			return i
		}
	}
	return noHome
}

// homes returns the homes of a prompt: the first by rendezvous hash of its shared
// parts among the available servers, where slow ones have a smaller part of the prompts.
// Cold servers and those with a limit take too few requests to keep a prompt for all.
func (t *Table) homes(now time.Time, r Request, keys []uint64) homes {
	var found homes
	if len(keys) == 0 || r.Versions.Empty {
		return found
	}
	// The last part is specific to the request.
	key := keys[max(len(keys)-2, 0)]
	var weights [homeCount]uint64
	for _, s := range t.services[r.Service] {
		weight := s.weight(key)
		if found[homeCount-1] != nil && weight <= weights[homeCount-1] {
			continue
		}
		if !r.Versions.allow(s) || s.cold(now) || s.limited(now) || t.reason(now, s) != Available {
			continue
		}
		i := homeCount - 1
		for ; i > 0 && (found[i-1] == nil || weight > weights[i-1]); i-- {
			found[i], weights[i] = found[i-1], weights[i-1]
		}
		found[i], weights[i] = s, weight
	}
	return found
}

// expectation tells, from the time of a first token, whether a home kept the shared
// parts of a prompt.
type expectation struct {
	// rank is that of the home, or noHome if the first token tells nothing.
	rank int
	// kept and read are the predicted times to the first token if the home keeps the
	// shared parts and if it reads them.
	kept, read time.Duration
	// nominalKept and nominalRead are the prefill times at the configured rate.
	nominalKept, nominalRead time.Duration
}

// hit reports whether a first token came as quickly as with the kept parts.
func (e expectation) hit(took time.Duration) bool {
	return took < (e.kept+e.read)/2
}

// observe records whether the home of a reservation kept the shared parts.
func (w *work) observe(p *Reservation, took time.Duration) {
	e := p.expected
	if e.rank == noHome {
		late := (took - p.Wait).Seconds()
		w.punctual = w.punctual.With(late < w.saved.value/2)
		return
	}
	hit := e.hit(took)
	w.saved.add((e.read - e.kept).Seconds())
	w.homes[e.rank] = w.homes[e.rank].With(hit)
	w.prefillPredicted.add(p.Prefill.Seconds())
	w.prefillSeen.add(max(took-(p.Wait-p.Prefill), 0).Seconds())
	switch {
	case e.rank == 0:
		p.server.hits = p.server.hits.With(hit)
	case hit:
		p.nominal += e.nominalKept
	default:
		p.nominal += e.nominalRead
	}
}

// trust returns the share of requests that find the shared parts of their prompt kept
// at a server as their first home. Those of which the first token came late count only
// as far as other first tokens come in time. A server counts less where fewer requests
// than elsewhere find theirs.
func (w *work) trust(s *server) float64 {
	first := w.homes[0].Mean(homeCredits[0])
	return first / w.punctual.Mean(1) * min(s.hits.Mean(first)/first, 1)
}

// sumTokens returns the number of tokens of parts.
func sumTokens(parts []galenalatch.PromptPart) int {
	tokens := 0
	for _, part := range parts {
		tokens = min(tokens+min(part.Tokens, maxPromptTokens), maxPromptTokens)
	}
	return tokens
}
