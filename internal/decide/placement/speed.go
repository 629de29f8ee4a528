package placement

import (
	"math"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/serverload"
)

// tellTime is how long a router tells others a word of a server. Some message of this
// router reaches each of them within that time.
const tellTime = 700 * time.Millisecond

// RecordLoad records what the head of an answer says of the load of its server. It reports
// whether the server has begun to tell wrong figures.
func (t *Table) RecordLoad(now time.Time, id galenalatch.ServerID, started int64, h galenalatch.ResponseHead) (invalid bool) {
	if h.Load == nil && h.InvalidLoad == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.listed(process{id, started})
	if s == nil {
		return false
	}
	invalid = h.InvalidLoad != "" && !s.loadInvalid
	s.loadInvalid = h.InvalidLoad != ""
	if h.Load != nil && h.Load.Slowdown > 0 {
		s.hear(serverload.Word{At: now, Slowdown: h.Load.Slowdown})
	}
	return invalid
}

// hear records a word of the server that this router has received.
func (s *server) hear(w serverload.Word) {
	if s.load.Tell(w) {
		s.word = w
	}
	s.load.Record(w)
}

// Speeds are the speeds of the servers that tell them.
type Speeds struct {
	// Known is the number of these servers.
	Known int
	// Lowest and Highest are how much longer than usual work takes on the fastest
	// and on the slowest of them, OldestWord the longest time without news of one.
	Lowest     float64
	Highest    float64
	OldestWord time.Duration
}

// Speeds returns the speeds of the servers.
func (t *Table) Speeds(now time.Time) Speeds {
	t.mu.Lock()
	defer t.mu.Unlock()
	var v Speeds
	for _, s := range t.servers {
		if !s.load.Known() {
			continue
		}
		slowdown := s.load.Slowdown(now)
		if v.Known == 0 {
			v.Lowest = slowdown
		}
		v.Known++
		v.Lowest, v.Highest = min(v.Lowest, slowdown), max(v.Highest, slowdown)
		v.OldestWord = max(v.OldestWord, s.load.Age(now))
	}
	return v
}

// LocalWords returns what servers have told this router lately of their speed and others
// may not know, by the keys that processes of servers have in messages between routers.
func (t *Table) LocalWords(now time.Time) map[uint32]serverload.Word {
	t.mu.Lock()
	defer t.mu.Unlock()
	var words map[uint32]serverload.Word
	for _, s := range t.servers {
		if s.word.At.IsZero() || now.Sub(s.word.At) >= tellTime {
			continue
		}
		if words == nil {
			words = make(map[uint32]serverload.Word)
		}
		words[s.processKey] = s.word
	}
	return words
}

// SetRemoteWords adds what servers have told other routers.
func (t *Table) SetRemoteWords(words map[uint32]serverload.Word) {
	if len(words) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, w := range words {
		if s, ok := t.serversByProcess[key]; ok {
			s.load.RecordTold(w)
		}
	}
}

// weight returns the rendezvous weight of the server for the key of a prompt. The part of
// the keys for which it is the highest is in proportion to the lasting speed.
func (s *server) weight(key uint64) uint64 {
	h, class := hash(key, s), s.load.Class()
	if class == 1 {
		return h
	}
	const bits = 53 // of a float64
	u := float64(h>>(64-bits)) / (1 << bits)
	return uint64(math.Pow(u, class)*(1<<bits-1)) << (64 - bits)
}

// slowed returns a time for usual work as it is at a server now.
func slowed(d time.Duration, slowdown float64) time.Duration {
	if slowdown == 1 {
		return d
	}
	return time.Duration(float64(d) * slowdown)
}
