package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/galenalatch/galenalatch"
)

const (
	// maxKept bounds the remembered prompt parts of one server.
	maxKept = 4096
	// failureWeight is the share of the newest answer in the average rate of
	// failures.
	failureWeight = 0.1
	// lateWeight is the share of the newest first token in the average of
	// delays, lateMemory the time after which the average counts no more.
	lateWeight = 0.3
	lateMemory = 1500 * time.Millisecond
	// durationWeight is the share of the newest exchange in the average
	// duration.
	durationWeight = 0.1
	// firstPause and longestPause bound the time for which a server that
	// cannot be reached gets no new requests.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	coldWindow   = time.Second
)

// server is what the table knows about one backend server.
type server struct {
	galenalatch.Registration
	seed uint64
	// running counts the own requests, reading holds those of them that have
	// no first token yet.
	running int
	reading map[*Place]struct{}
	// readSince is when the oldest request in reading could begin.
	readSince time.Time
	kept      *simplelru.LRU[uint64, int]
	coldUntil time.Time
	// coldSends are the times of the own requests in the last second.
	coldSends []time.Time
	removal   time.Time
	// late is how much later than predicted first tokens came, lateAt when
	// the newest came. duration is the average time of an exchange.
	late     time.Duration
	lateAt   time.Time
	duration time.Duration
	failures float64
	pause    time.Duration
	pausedTo time.Time
}

func newServer(r galenalatch.Registration) *server {
	kept, err := simplelru.NewLRU[uint64, int](maxKept, nil)
	if err != nil {
		// The only error is a size that is not positive.
		panic(err)
	}
	return &server{Registration: r, seed: xxhash.Sum64String(string(r.ID)), reading: make(map[*Place]struct{}), kept: kept}
}

// key is the short name of the server in messages between routers.
func (s *server) key() uint32 {
	return uint32(s.seed)
}

// chill makes the server cold for at least d from now.
func (s *server) chill(now time.Time, d time.Duration) {
	if until := now.Add(d); d > 0 && until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

func (s *server) removed(now time.Time) bool {
	return !s.removal.IsZero() && !now.Before(s.removal)
}

func (s *server) cold(now time.Time) bool {
	return now.Before(s.coldUntil)
}

// coldCount returns the number of own requests within the last second.
func (s *server) coldCount(now time.Time) int {
	for len(s.coldSends) > 0 && now.Sub(s.coldSends[0]) >= coldWindow {
		s.coldSends = s.coldSends[1:]
	}
	return len(s.coldSends)
}

// cached returns the tokens of the prompt that the server keeps.
func (s *server) cached(keys []uint64, parts []galenalatch.PromptPart) int {
	tokens := 0
	for i, k := range keys {
		if !s.kept.Contains(k) {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// backlog returns how long the own requests without a first token still
// occupy the reader of the server.
func (s *server) backlog(now time.Time) time.Duration {
	var sum time.Duration
	for p := range s.reading {
		sum += p.cost
	}
	if sum == 0 {
		return 0
	}
	return max(sum-now.Sub(s.readSince), sum/8)
}

// delay returns how much later than the model predicts the server gives first
// tokens: on average a short time ago, or by now for a request that still
// waits.
func (s *server) delay(now time.Time) time.Duration {
	d := s.delayAverage(now)
	for p := range s.reading {
		d = max(d, now.Sub(p.sent)-p.Wait)
	}
	return d
}

// firstToken records how late the first token of a place came.
func (s *server) firstToken(now time.Time, p *Place) {
	late := max(now.Sub(p.sent)-p.Wait, 0)
	s.late = s.delayAverage(now)
	s.late += time.Duration(float64(late-s.late) * lateWeight)
	s.lateAt = now
}

func (s *server) delayAverage(now time.Time) time.Duration {
	age := min(now.Sub(s.lateAt), lateMemory)
	return time.Duration(float64(s.late) * (1 - float64(age)/float64(lateMemory)))
}

// full returns how long a request waits for a slot when busy requests run.
func (s *server) full(busy int) time.Duration {
	if busy < s.Slots {
		return 0
	}
	return time.Duration(busy-s.Slots+1) * s.duration / time.Duration(s.Slots)
}

func (s *server) failed(weight float64) {
	s.failures += (weight - s.failures) * failureWeight
}

// unreachable keeps new requests away for a time that doubles.
func (s *server) unreachable(now time.Time) {
	s.pause = min(max(2*s.pause, firstPause), longestPause)
	s.pauseTo(now.Add(s.pause))
}

// pauseTo keeps new requests away until a time. It shortens no pause.
func (s *server) pauseTo(t time.Time) {
	if t.After(s.pausedTo) {
		s.pausedTo = t
	}
}
