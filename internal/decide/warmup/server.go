package warmup

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// State is the state of a backend server as shown to operators.
type State string

// The states of backend servers.
const (
	// Cold servers have completed no request since they last started or were
	// reset to cold.
	Cold State = "cold"
	// Warming servers have completed some requests, but their limit is below
	// the warm limit.
	Warming State = "warming"
	// Warm servers have reached the warm limit.
	Warm State = "warm"
	// Suspect servers have sent no load report for longer than the silence
	// limit.
	Suspect State = "suspect"
	// Leaving servers will soon be stopped by the platform.
	Leaving State = "leaving"
	// OutOfService servers were taken out of service or are no longer listed.
	OutOfService State = "out"
)

// minLatencySamples is the number of completed requests before the latency
// of a server is compared with its average.
const minLatencySamples = 32

type slot struct {
	server     *server
	boot       galenalatch.BootID
	generation int
	started    time.Time
	confirmed  time.Time
	// counted is set when the last load report was taken to include the
	// request.
	counted bool
}

type server struct {
	table      *Servers
	id         galenalatch.ServerID
	address    string
	dataCentre galenalatch.DataCentre
	listed     bool
	leaving    bool
	// reportedLeaving is set when the last load report of the server stated
	// that it leaves.
	reportedLeaving bool
	outOfService    bool
	boot            galenalatch.BootID
	// generation counts the resets to cold, so that a request granted before
	// a reset does not raise the limit after it.
	generation int
	completed  int
	slots      map[uint64]*slot
	// running is the number of slots under the current boot identity.
	running int
	// endTimes holds the times of recent ends. They tell how many requests
	// the table counted at the time of a load report.
	endTimes []time.Time
	// sampled is when the server took its latest load report, received when
	// it arrived.
	sampled  time.Time
	received time.Time
	// awaitReportAfter holds back new work until a report is received that
	// was sampled at this time or later.
	awaitReportAfter time.Time
	// untracked is the number of running and waiting requests that the server
	// reported beyond those in the table.
	untracked int

	recentLatency  float64
	averageLatency float64
	latencyCount   int
}

// resetToCold makes the server cold. It gets no work before its next load
// report, which names its boot identity.
func (s *server) resetToCold() {
	if s.slots == nil {
		s.slots = make(map[uint64]*slot)
	}
	s.setBoot("")
	s.generation++
	s.completed = 0
	s.recentLatency, s.averageLatency, s.latencyCount = 0, 0, 0
}

func (s *server) applyReport(now, sampled time.Time, l galenalatch.LoadReport) {
	if !s.received.IsZero() && now.Sub(s.received) > s.table.tuning.SilenceLimit {
		s.resetToCold()
	}
	s.sampled, s.received = sampled, now
	if s.reportedLeaving && !l.Leaving {
		s.resetToCold()
	}
	s.reportedLeaving = l.Leaving
	if l.Boot != s.boot {
		if s.boot != "" {
			s.resetToCold()
		}
		s.setBoot(l.Boot)
		s.applyHandover()
	}
	s.untracked = max(0, l.Running+l.Waiting-s.trackedAt(sampled))
}

// trackedAt returns the number of requests in the table that were on the
// server at the time of a load report.
//
// While the server is not warm, only requests that are confirmed to have
// been sent count. All others may still be under way, and an unknown
// request, such as one granted by a previous holder of the cell, must not be
// taken for one of them. For a warm server this is not needed, and its
// requests are often too short to be confirmed.
func (s *server) trackedAt(sampled time.Time) int {
	n := 0
	confirmedOnly := s.state() != Warm
	for _, p := range s.slots {
		p.counted = false
		switch {
		case p.boot != s.boot:
		case confirmedOnly && (p.confirmed.IsZero() || p.confirmed.After(sampled)):
		case p.started.After(sampled):
		default:
			p.counted = confirmedOnly
			n++
		}
	}
	if !confirmedOnly {
		for _, t := range s.endTimes {
			if t.After(sampled) {
				n++
			}
		}
	}
	return n
}

func (s *server) recordEnd(now time.Time) {
	for len(s.endTimes) > 0 && now.Sub(s.endTimes[0]) > s.table.tuning.SilenceLimit {
		s.endTimes = s.endTimes[1:]
	}
	s.endTimes = append(s.endTimes, now)
}

// applyHandover applies the warm state that the previous holder handed over,
// if it has the same boot identity.
func (s *server) applyHandover() {
	w, ok := s.table.handedOver[s.id]
	if !ok {
		return
	}
	delete(s.table.handedOver, s.id)
	if w.Boot == s.boot {
		s.completed = max(s.completed, w.Completed)
	}
}

// recordLatency compares the recent latency with the average and resets the
// server to cold if it has become too slow. Latency is divided by cost,
// since costly requests take longer.
func (s *server) recordLatency(d time.Duration, units int64) {
	if units <= 0 {
		return
	}
	x := d.Seconds() / float64(units)
	s.latencyCount++
	if s.latencyCount == 1 {
		s.recentLatency, s.averageLatency = x, x
		return
	}
	s.recentLatency += (x - s.recentLatency) / 8
	s.averageLatency += (x - s.averageLatency) / float64(min(s.latencyCount, 256))
	if s.latencyCount >= minLatencySamples && s.recentLatency > s.table.tuning.LatencyFactor*s.averageLatency {
		boot := s.boot
		s.resetToCold()
		s.setBoot(boot)
	}
}

func (s *server) setBoot(b galenalatch.BootID) {
	s.boot = b
	s.running = 0
	for _, p := range s.slots {
		if p.boot == b {
			s.running++
		}
	}
}

// load returns the number of requests on the server.
func (s *server) load() int {
	return s.running + s.untracked
}

// coldShare returns the part of the cold limit that this holder may use. The
// parts of a lapsed holder and of its successor add up to the cold limit.
func (s *server) coldShare(now time.Time) int {
	cold := s.table.coldLimit
	reserved := now.Before(s.table.reservedUntil)
	switch {
	case s.table.lapsed && reserved:
		// The previous holder may still use one part, and the next holder uses
		// the other.
		return 0
	case s.table.lapsed:
		return cold / 2
	case reserved:
		return cold - cold/2
	default:
		return cold
	}
}

func (s *server) limit(now time.Time) int {
	return min(s.table.warmLimit, s.coldShare(now)+s.completed)
}

// usable reports whether the server may be sent work at all, whatever its
// limit.
func (s *server) usable(now time.Time) bool {
	return s.listed && !s.leaving && !s.reportedLeaving && !s.outOfService && s.boot != "" &&
		now.Sub(s.received) <= s.table.tuning.SilenceLimit && !s.sampled.Before(s.awaitReportAfter)
}

func (s *server) state() State {
	switch {
	case s.completed == 0:
		return Cold
	case s.table.coldLimit+s.completed < s.table.warmLimit:
		return Warming
	default:
		return Warm
	}
}

// Status is the state of one server as shown to operators. Running counts
// the requests in the table, Untracked those that the server reported beyond
// them.
type Status struct {
	Server     galenalatch.ServerID
	DataCentre galenalatch.DataCentre
	State      State
	Boot       galenalatch.BootID
	Limit      int
	Running    int
	Untracked  int
}

// Status returns the state of all servers, sorted by name.
func (t *Servers) Status(now time.Time) []Status {
	all := make([]Status, 0, len(t.order))
	for _, s := range t.order {
		state := s.state()
		switch {
		case !s.listed || s.outOfService:
			state = OutOfService
		case s.leaving, s.reportedLeaving:
			state = Leaving
		case !s.received.IsZero() && now.Sub(s.received) > t.tuning.SilenceLimit:
			state = Suspect
		}
		all = append(all, Status{
			Server: s.id, DataCentre: s.dataCentre, State: state, Boot: s.boot,
			Limit: s.limit(now), Running: s.running, Untracked: s.untracked,
		})
	}
	return all
}
