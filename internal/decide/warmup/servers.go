// Package warmup keeps the table of a cell's backend servers: their states,
// their limits of concurrent requests and the requests that run on them.
//
// The limit of a server starts at the cold limit and rises by one with each
// completed request, never with time, up to the warm limit.
package warmup

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Tuning holds the settings of a table. Zero values stand for the defaults.
type Tuning struct {
	// SilenceLimit is the time without load reports after which a server is
	// suspect. The default is 3 s.
	SilenceLimit time.Duration
	// LatencyFactor is the ratio of recent to average latency above which a
	// server is reset to cold. The default is 4.
	LatencyFactor float64
}

// Servers is the table of the backend servers of a cell. It must not be used
// concurrently.
type Servers struct {
	tuning        Tuning
	coldLimit     int
	warmLimit     int
	lapsed        bool
	reservedUntil time.Time
	servers       map[galenalatch.ServerID]*server
	order         []*server
	slots         map[uint64]*slot
	handedOver    map[galenalatch.ServerID]galenalatch.WarmServer
}

// New returns an empty table in which both limits are 1.
func New(t Tuning) *Servers {
	t.SilenceLimit = cmp.Or(t.SilenceLimit, 3*time.Second)
	t.LatencyFactor = cmp.Or(t.LatencyFactor, 4)
	return &Servers{
		tuning:     t,
		coldLimit:  1,
		warmLimit:  1,
		servers:    make(map[galenalatch.ServerID]*server),
		slots:      make(map[uint64]*slot),
		handedOver: make(map[galenalatch.ServerID]galenalatch.WarmServer),
	}
}

// SetLimits replaces the limits of concurrent requests of a cold and of a
// warm server. The cold limit is at least 1, the warm limit at least the
// cold limit.
func (t *Servers) SetLimits(cold, warm int) {
	t.coldLimit = max(1, cold)
	t.warmLimit = max(t.coldLimit, warm)
}

// ReserveUntil leaves half of the cold limit of each server, rounded down,
// unused until the given time, because a previous holder of the cell may
// still use it.
func (t *Servers) ReserveUntil(until time.Time) {
	t.reservedUntil = until
}

// SetLapsed sets whether the holder's lease has expired without a known
// successor. A lapsed holder uses half of the cold limit, rounded down, and
// leaves the rest to a possible successor.
func (t *Servers) SetLapsed(lapsed bool) {
	t.lapsed = lapsed
}

// SetInstances replaces the list of servers. A server that was not listed
// before is cold. A removed server gets no new work.
func (t *Servers) SetInstances(list []galenalatch.Instance) {
	listed := make(map[galenalatch.ServerID]bool, len(list))
	for _, in := range list {
		id := galenalatch.ServerID(in.ID)
		listed[id] = true
		s := t.servers[id]
		if s == nil {
			s = &server{id: id, table: t}
			t.servers[id] = s
		}
		if !s.listed || s.leaving && !in.Leaving {
			s.resetToCold()
		}
		s.listed, s.leaving, s.address, s.dataCentre = true, in.Leaving, in.Address, in.DataCentre
	}
	t.order = t.order[:0]
	for id, s := range t.servers {
		if !listed[id] {
			s.listed = false
			if len(s.slots) == 0 {
				delete(t.servers, id)
				continue
			}
		}
		t.order = append(t.order, s)
	}
	slices.SortFunc(t.order, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
}

// SetInService records which servers the operators have in service. A server
// that comes back into service is cold.
func (t *Servers) SetInService(inService func(galenalatch.ServerID, galenalatch.DataCentre) bool) {
	for _, s := range t.order {
		in := inService(s.id, s.dataCentre)
		if in && s.outOfService {
			s.resetToCold()
		}
		s.outOfService = !in
	}
}

// SetWarm takes over the warm state of a server from a previous holder that
// has stopped. The state is dropped if the server has another boot identity,
// and kept until the server's identity is known.
func (t *Servers) SetWarm(id galenalatch.ServerID, w galenalatch.WarmServer) {
	t.handedOver[id] = w
	if s := t.servers[id]; s != nil && s.boot != "" {
		s.applyHandover()
	}
}

// Warm returns the warm state of the servers, by server id, for the next
// holder.
func (t *Servers) Warm() map[string]galenalatch.WarmServer {
	all := make(map[string]galenalatch.WarmServer)
	for _, s := range t.order {
		if s.boot != "" && s.completed > 0 {
			all[string(s.id)] = galenalatch.WarmServer{Boot: s.boot, Completed: s.completed}
		}
	}
	return all
}

// RecordReport records a load report that the server sampled at the given time.
// Nothing changes if err is not nil, the server is unknown, or the report is
// not newer than the last one.
func (t *Servers) RecordReport(now time.Time, id galenalatch.ServerID, sampled time.Time, l galenalatch.LoadReport, err error) {
	s := t.servers[id]
	if s == nil || err != nil || !sampled.After(s.sampled) {
		return
	}
	s.applyReport(now, sampled, l)
}

// Target is a server that can take a request.
type Target struct {
	Server     galenalatch.ServerID
	Address    string
	DataCentre galenalatch.DataCentre
	Boot       galenalatch.BootID
}

// Pick returns the usable server with the largest free share of its limit.
// It reports false if none can take a request now.
func (t *Servers) Pick(now time.Time) (Target, bool) {
	var best *server
	var bestShare float64
	for _, s := range t.order {
		limit := s.limit(now)
		free := limit - s.load()
		if free <= 0 || !s.usable(now) {
			continue
		}
		if share := float64(free) / float64(limit); best == nil || share > bestShare {
			best, bestShare = s, share
		}
	}
	if best == nil {
		return Target{}, false
	}
	return Target{Server: best.id, Address: best.address, DataCentre: best.dataCentre, Boot: best.boot}, true
}

// PickServer returns the server if it can take a request now.
func (t *Servers) PickServer(now time.Time, id galenalatch.ServerID) (Target, bool) {
	s := t.servers[id]
	if s == nil || !s.usable(now) || s.limit(now) <= s.load() {
		return Target{}, false
	}
	return Target{Server: s.id, Address: s.address, DataCentre: s.dataCentre, Boot: s.boot}, true
}

// Target returns the server if it may still be sent work that was already
// granted for the boot identity.
func (t *Servers) Target(now time.Time, id galenalatch.ServerID, boot galenalatch.BootID) (Target, bool) {
	s := t.servers[id]
	if s == nil || s.boot != boot || !s.usable(now) {
		return Target{}, false
	}
	return Target{Server: s.id, Address: s.address, DataCentre: s.dataCentre, Boot: s.boot}, true
}

// Free returns the number of requests that the servers can take now.
func (t *Servers) Free(now time.Time) int {
	n := 0
	for _, s := range t.order {
		if s.usable(now) {
			n += max(0, s.limit(now)-s.load())
		}
	}
	return n
}

// Start counts a granted request. The key identifies it in later calls. An
// unknown server or a key that is in use is ignored.
func (t *Servers) Start(now time.Time, key uint64, id galenalatch.ServerID, boot galenalatch.BootID) {
	s := t.servers[id]
	if s == nil || t.slots[key] != nil {
		return
	}
	p := &slot{server: s, boot: boot, generation: s.generation, started: now}
	t.slots[key] = p
	s.slots[key] = p
	if boot == s.boot {
		s.running++
	}
}

// Has reports whether the server is in the table.
func (t *Servers) Has(id galenalatch.ServerID) bool {
	return t.servers[id] != nil
}

// IsWarm reports whether the server has reached the warm limit.
func (t *Servers) IsWarm(id galenalatch.ServerID) bool {
	s := t.servers[id]
	return s != nil && s.state() == Warm
}

// Confirm records that the request with the key was sent to its server.
func (t *Servers) Confirm(now time.Time, key uint64) {
	if p := t.slots[key]; p != nil && p.confirmed.IsZero() {
		p.confirmed = now
	}
}

// Result describes how a granted request ended.
type Result struct {
	// Completed is set when the server answered the request.
	Completed bool
	// Failed is set when the server broke the connection or had another boot
	// identity.
	Failed bool
	// Unverified is set when the end was not confirmed. The server gets no new
	// work before its next load report.
	Unverified bool
	// Units is the cost of the request, or 0 if it is not known.
	Units int64
}

// Finish ends a granted request and frees its slot. It reports whether the
// key was known.
func (t *Servers) Finish(now time.Time, key uint64, e Result) bool {
	p := t.slots[key]
	if p == nil {
		return false
	}
	delete(t.slots, key)
	s := p.server
	delete(s.slots, key)
	if p.boot != s.boot {
		return true
	}
	s.running--
	s.recordEnd(now)
	if p.counted {
		// The request may have ended before the last load report, which then
		// included an unknown request instead. The next report shows which.
		s.untracked++
	}
	switch {
	case e.Failed:
		s.resetToCold()
	case e.Unverified:
		s.awaitReportAfter = now
	case e.Completed && p.generation == s.generation:
		s.completed++
		s.recordLatency(now.Sub(p.started), e.Units)
	}
	return true
}
