package warmup

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// State is the state of a backend server.
type State string

// The states of backend servers.
const (
	// Cold servers have completed no request since they started.
	Cold State = "cold"
	// Warming servers have completed some requests.
	Warming State = "warming"
	// Warm servers run up to the warm limit.
	Warm State = "warm"
	// Suspect servers have sent no load report for a while.
	Suspect State = "suspect"
	// Leaving servers will be stopped by the platform soon.
	Leaving State = "leaving"
	// Out servers were taken out of service or are no longer listed.
	Out State = "out"
)

// latencySamples is the number of completed requests before the latency of a
// server is judged.
const latencySamples = 32

type slot struct {
	server     *server
	boot       galenalatch.BootID
	generation int
	started    time.Time
	confirmed  time.Time
	// counted says that the last load report was taken to include the
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
	// announced says that the server itself reported that it leaves.
	announced bool
	out       bool
	boot      galenalatch.BootID
	// generation counts the cold starts, so that a request granted before a
	// cold start does not raise the limit after it.
	generation int
	completed  int
	slots      map[uint64]*slot
	// live is the number of slots under the current boot identity.
	live int
	// ended holds the times of recent ends, to know how many requests the
	// table counted at the time of a load report.
	ended []time.Time
	// sampled and received are the times of the newest load report.
	sampled  time.Time
	received time.Time
	// awaitReport holds back new work until a report sampled after it.
	awaitReport time.Time
	// foreign is the number of running requests that the server reported
	// beyond those in the table.
	foreign int

	recent  float64
	average float64
	samples int
}

// chill makes the server cold. It gets no work before its next load report,
// which names its boot identity.
func (s *server) chill() {
	if s.slots == nil {
		s.slots = make(map[uint64]*slot)
	}
	s.setBoot("")
	s.generation++
	s.completed = 0
	s.recent, s.average, s.samples = 0, 0, 0
}

func (s *server) report(now, sampled time.Time, l galenalatch.LoadReport) {
	if !s.received.IsZero() && now.Sub(s.received) > s.table.tuning.SilenceLimit {
		s.chill()
	}
	s.sampled, s.received = sampled, now
	if s.announced && !l.Leaving {
		s.chill()
	}
	s.announced = l.Leaving
	if l.Boot != s.boot {
		if s.boot != "" {
			s.chill()
		}
		s.setBoot(l.Boot)
		s.takeHanded()
	}
	s.foreign = max(0, l.Running+l.Waiting-s.countedAt(sampled))
}

// countedAt returns the number of requests in the table that were on the
// server at the time of a load report.
//
// While the server is not warm, only requests that are confirmed to have
// been there count. All others may still be on their way, and an unknown
// request, such as one granted by a previous holder of the cell, must not be
// mistaken for them. A warm server needs no such care, and its requests are
// often too short to be confirmed.
func (s *server) countedAt(sampled time.Time) int {
	n := 0
	strict := s.state() != Warm
	for _, p := range s.slots {
		p.counted = false
		switch {
		case p.boot != s.boot:
		case strict && (p.confirmed.IsZero() || p.confirmed.After(sampled)):
		case p.started.After(sampled):
		default:
			p.counted = strict
			n++
		}
	}
	if !strict {
		for _, t := range s.ended {
			if t.After(sampled) {
				n++
			}
		}
	}
	return n
}

func (s *server) noteEnd(now time.Time) {
	for len(s.ended) > 0 && now.Sub(s.ended[0]) > s.table.tuning.SilenceLimit {
		s.ended = s.ended[1:]
	}
	s.ended = append(s.ended, now)
}

// takeHanded applies the state that a previous holder handed over.
func (s *server) takeHanded() {
	w, ok := s.table.handed[s.id]
	if !ok {
		return
	}
	delete(s.table.handed, s.id)
	if w.Boot == s.boot {
		s.completed = max(s.completed, w.Completed)
	}
}

// observe compares the recent latency with the average. Latency is measured
// in relation to cost, since long requests take long.
func (s *server) observe(d time.Duration, units int64) {
	if units <= 0 {
		return
	}
	x := d.Seconds() / float64(units)
	s.samples++
	if s.samples == 1 {
		s.recent, s.average = x, x
		return
	}
	s.recent += (x - s.recent) / 8
	s.average += (x - s.average) / float64(min(s.samples, 256))
	if s.samples >= latencySamples && s.recent > s.table.tuning.LatencyFactor*s.average {
		boot := s.boot
		s.chill()
		s.setBoot(boot)
	}
}

func (s *server) setBoot(b galenalatch.BootID) {
	s.boot = b
	s.live = 0
	for _, p := range s.slots {
		if p.boot == b {
			s.live++
		}
	}
}

// load returns the number of requests that run on the server.
func (s *server) load() int {
	return s.live + s.foreign
}

// coldShare is the part of the cold limit that this holder may use. The part
// of a lapsed holder and that of its successor add up to the cold limit.
func (s *server) coldShare(now time.Time) int {
	cold := s.table.coldLimit
	reserved := now.Before(s.table.reserve)
	switch {
	case s.table.lapsed && reserved:
		// The previous holder may still use one part and the next holder
		// uses the other.
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

// usable reports whether the server may be sent work at all.
func (s *server) usable(now time.Time) bool {
	return s.listed && !s.leaving && !s.announced && !s.out && s.boot != "" &&
		now.Sub(s.received) <= s.table.tuning.SilenceLimit && !s.sampled.Before(s.awaitReport)
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

// Status is the state of one server for operators.
type Status struct {
	Server     galenalatch.ServerID
	DataCentre galenalatch.DataCentre
	State      State
	Boot       galenalatch.BootID
	Limit      int
	Running    int
	Foreign    int
}

// Status returns the servers sorted by name.
func (t *Servers) Status(now time.Time) []Status {
	all := make([]Status, 0, len(t.order))
	for _, s := range t.order {
		state := s.state()
		switch {
		case !s.listed || s.out:
			state = Out
		case s.leaving, s.announced:
			state = Leaving
		case !s.received.IsZero() && now.Sub(s.received) > t.tuning.SilenceLimit:
			state = Suspect
		}
		all = append(all, Status{
			Server: s.id, DataCentre: s.dataCentre, State: state, Boot: s.boot,
			Limit: s.limit(now), Running: s.live, Foreign: s.foreign,
		})
	}
	return all
}
