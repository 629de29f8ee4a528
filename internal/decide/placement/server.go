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
	failures  float64
	pause     time.Duration
	pausedTo  time.Time
	load      galenalatch.ServerLoad
	loadAt    time.Time
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

func (s *server) failed(weight float64) {
	s.failures += (weight - s.failures) * failureWeight
}

// unreachable keeps new requests away for a time that doubles.
func (s *server) unreachable(now time.Time) {
	s.pause = min(max(2*s.pause, firstPause), longestPause)
	s.pausedTo = now.Add(s.pause)
}
