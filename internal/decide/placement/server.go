package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/hitrate"
	"github.com/galenalatch/galenalatch/internal/decide/promptcache"
	"github.com/galenalatch/galenalatch/internal/decide/serverload"
)

const (
	// failureWeight is the weight of the newest response in the moving average
	// of the failure rate.
	failureWeight = 0.1
	// latenessWeight is the weight of the newest first token in the moving
	// average of the lateness. Without new ones the average decays to 0 within
	// latenessDecay.
	latenessWeight = 0.3
	latenessDecay  = 1500 * time.Millisecond
	// durationWeight is the weight of the newest exchange in the moving average
	// of the duration.
	durationWeight = 0.1
	// minBackoff and maxBackoff bound the time for which a server that cannot
	// be reached gets no new requests.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// coldWindow is the period over which the requests to a cold server are
	// counted.
	coldWindow = time.Second
)

// server is the state of one backend server in the table.
type server struct {
	galenalatch.Registration
	seed       uint64
	processKey uint32
	// running counts the requests of this router, prefilling holds those
	// without a first token.
	running int
	// remote is the load of all other routers.
	remote     Load
	prefilling map[*Reservation]struct{}
	// prefillSince is when the engine could begin the prefill of the oldest
	// request in prefilling.
	prefillSince time.Time
	cache        promptcache.Cache
	// hits is the share of requests that found their shared parts here as the first
	// home.
	hits      hitrate.Rate
	coldUntil time.Time
	// coldByHealth is the end of the cold time that a health answer has told this
	// router.
	coldByHealth time.Time
	// recentSends are the times at which this router sent requests in the last
	// second.
	recentSends []time.Time
	removeAt    time.Time
	// meanLateness is the moving average of how much later than predicted first
	// tokens came, lastFirstToken when the newest one came. meanDuration is the
	// moving average of the duration of an exchange.
	meanLateness   time.Duration
	lastFirstToken time.Time
	meanDuration   time.Duration
	failureRate    float64
	backoff        time.Duration
	failingUntil   time.Time
	limit          limit
	// listedAt is when this router first listed the process.
	listedAt time.Time
	// load is what the server says of its speed, word the newest word that other
	// routers are told.
	load serverload.Estimate
	word serverload.Word
	// loadInvalid is set while the server tells a load with wrong figures.
	loadInvalid bool
	// outOfService is set while operators have taken its data centre out of service.
	outOfService bool
	// pausedUntil is the end of the last pause that the server has asked for.
	pausedUntil time.Time
	// leavingAnnounced is set when the server has said in an answer that it leaves.
	leavingAnnounced bool
}

func newServer(r galenalatch.Registration) *server {
	return &server{
		Registration: r, seed: xxhash.Sum64String(string(r.ID)), processKey: r.ID.ProcessKey(r.Started),
		prefilling: make(map[*Reservation]struct{}),
	}
}

// key identifies the server in messages between routers.
func (s *server) key() uint32 {
	return uint32(s.seed)
}

// setCold makes the server cold for at least d from now.
func (s *server) setCold(now time.Time, d time.Duration) {
	if until := now.Add(d); d > 0 && until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

func (s *server) removed(now time.Time) bool {
	return !s.removeAt.IsZero() && !now.Before(s.removeAt)
}

func (s *server) cold(now time.Time) bool {
	return now.Before(s.coldUntil)
}

// recentCount returns the number of requests that this router sent in the last
// second.
func (s *server) recentCount(now time.Time) int {
	for len(s.recentSends) > 0 && now.Sub(s.recentSends[0]) >= coldWindow {
		s.recentSends = s.recentSends[1:]
	}
	return len(s.recentSends)
}

// forgetSend removes a request that was not sent from the recent ones.
func (s *server) forgetSend(at time.Time) {
	if i := slices.IndexFunc(s.recentSends, at.Equal); i >= 0 {
		s.recentSends = slices.Delete(s.recentSends, i, i+1)
	}
}

// backlog returns the remaining prefill time of the requests of this router. It
// is at least an eighth of their prefill time until the first tokens come.
func (s *server) backlog(now time.Time) time.Duration {
	if len(s.prefilling) == 0 {
		return 0
	}
	var sum time.Duration
	for p := range s.prefilling {
		sum += p.Prefill
	}
	return max(sum-now.Sub(s.prefillSince), sum/8)
}

// lateness returns by how much the server's first tokens exceed the prediction:
// the decayed average, or the delay so far of a waiting request where that is
// more.
func (s *server) lateness(now time.Time) time.Duration {
	d := s.decayedLateness(now)
	if len(s.prefilling) == 0 {
		return d
	}
	for p := range s.prefilling {
		d = max(d, now.Sub(p.sent)-p.Wait)
	}
	return d
}

// recordFirstToken records how late the first token of a request came.
func (s *server) recordFirstToken(now time.Time, p *Reservation) {
	lateness := max(now.Sub(p.sent)-p.Wait, 0)
	s.meanLateness = s.decayedLateness(now)
	s.meanLateness += time.Duration(float64(lateness-s.meanLateness) * latenessWeight)
	s.lastFirstToken = now
}

func (s *server) decayedLateness(now time.Time) time.Duration {
	if s.meanLateness == 0 {
		return 0
	}
	age := min(now.Sub(s.lastFirstToken), latenessDecay)
	return time.Duration(float64(s.meanLateness) * (1 - float64(age)/float64(latenessDecay)))
}

// slotWait returns how long a request waits for a slot while busy requests run.
func (s *server) slotWait(busy int) time.Duration {
	if busy < s.Slots {
		return 0
	}
	return time.Duration(busy-s.Slots+1) * s.meanDuration / time.Duration(s.Slots)
}

func (s *server) recordResult(failure float64) {
	s.failureRate += (failure - s.failureRate) * failureWeight
}

// backOff prefers other servers for a time that doubles with each call.
func (s *server) backOff(now time.Time) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.failUntil(now.Add(s.backoff))
}

// failUntil prefers other servers until t. It never shortens that time.
func (s *server) failUntil(t time.Time) {
	if t.After(s.failingUntil) {
		s.failingUntil = t
	}
}
