package load

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/serverload"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/topology"
)

// maxWorkspaces bounds the workspaces that a message lists one by one. The
// message of a fleet with 600 servers has about 7 KB, to which the workspaces add
// less than 2 KB.
const maxWorkspaces = 128

// maxWordAge is the age up to which what a server has said of its speed is passed on.
const maxWordAge = 1500 * time.Millisecond

// milli is the number of units of a rate in messages for one request per second.
const milli = 1000

// timedLoad is a load message with the time at which it was received.
type timedLoad struct {
	at   time.Time
	load galenalatch.RouterLoad
}

// received holds the newest message of each kind from each router.
type received struct {
	// routers holds the loads of single routers by sender. dataCentres holds the
	// sums of other data centres by the relay that sent them. remote holds the
	// sums of all other data centres by the relay of this data centre that sent
	// them.
	routers     map[galenalatch.RouterID]timedLoad
	dataCentres map[galenalatch.RouterID]timedLoad
	remote      map[galenalatch.RouterID]timedLoad
}

func newReceived() received {
	return received{
		routers: make(map[galenalatch.RouterID]timedLoad), dataCentres: make(map[galenalatch.RouterID]timedLoad),
		remote: make(map[galenalatch.RouterID]timedLoad),
	}
}

// sumOfDataCentre returns the sum of this data centre, including the load of
// this router, local.
func (r received) sumOfDataCentre(now time.Time, local galenalatch.RouterLoad) galenalatch.RouterLoad {
	maps.DeleteFunc(r.routers, func(_ galenalatch.RouterID, s timedLoad) bool { return now.Sub(s.at) > maxAge })
	t := newLoadSum()
	t.add(now, local)
	for _, s := range r.routers {
		t.add(s.at, s.load)
	}
	return t.message(now)
}

// sumOfOthers returns the sum of all other data centres.
func (r received) sumOfOthers(now time.Time, p topology.Topology) galenalatch.RouterLoad {
	t := newLoadSum()
	for _, relays := range p.Relays {
		// The relays of this data centre send no message of this kind.
		if use, ok := r.firstUnexpired(now, r.dataCentres, relays); ok {
			t.add(use.at, use.load)
		}
	}
	return t.message(now)
}

// firstUnexpired returns the message of the first relay in the list whose message
// has not expired. All relays of a data centre send the same sum, so only one of
// them is counted.
func (r received) firstUnexpired(now time.Time, from map[galenalatch.RouterID]timedLoad, relays []galenalatch.RouterID) (timedLoad, bool) {
	maps.DeleteFunc(from, func(_ galenalatch.RouterID, s timedLoad) bool { return now.Sub(s.at) > maxAge })
	for _, relay := range relays {
		if s, ok := from[relay]; ok {
			return s, true
		}
	}
	return timedLoad{}, false
}

// loadSum is a sum of loads.
type loadSum struct {
	servers    map[uint32]placement.Load
	workspaces map[uint32]share.Usage
	aggregate  share.Aggregate
	age        time.Duration
	limits     map[uint32]placement.LimitReport
	// cold holds the ends of the cold times of servers.
	cold map[uint32]time.Time
	// rollouts holds the reports on orders, streams those on plans of versions.
	rollouts rolloutSum
	streams  streamSum
	// words are the newest of servers on their speed.
	words map[uint32]serverload.Word
}

func newLoadSum() *loadSum {
	return &loadSum{
		servers: make(map[uint32]placement.Load), workspaces: make(map[uint32]share.Usage), limits: make(map[uint32]placement.LimitReport),
		cold: make(map[uint32]time.Time), rollouts: make(rolloutSum), streams: make(streamSum), words: make(map[uint32]serverload.Word),
	}
}

// add adds a message that was received at the given time. Of several reports on the
// limit of a server the newest one counts.
func (t *loadSum) add(at time.Time, m galenalatch.RouterLoad) {
	for _, l := range m.Limits {
		r := placement.LimitReport{
			Named: l.Named, Rate: float64(l.MilliRate) / milli, At: at.Add(-time.Duration(l.AgeTenths) * ageUnit),
		}
		if r.At.After(t.limits[l.Server].At) {
			t.limits[l.Server] = r
		}
	}
	for _, c := range m.Cold {
		if until := at.Add(time.Duration(c.TenthsLeft) * ageUnit); until.After(t.cold[c.Server]) {
			t.cold[c.Server] = until
		}
	}
	t.rollouts.add(m.Rollouts)
	t.streams.add(m.Streams)
	for _, s := range m.Speeds {
		w := serverload.Word{At: at.Add(-time.Duration(s.AgeTenths) * ageUnit), Slowdown: float64(s.SlowdownTenths) / 10}
		if w.Slowdown > 0 && w.At.After(t.words[s.Server].At) {
			t.words[s.Server] = w
		}
	}
	for _, s := range m.Servers {
		l := t.servers[s.Server]
		l.Running += int(s.Running)
		l.Prefill += time.Duration(s.PrefillMillis) * time.Millisecond
		t.servers[s.Server] = l
	}
	for _, w := range m.Workspaces {
		u := t.workspaces[w.Workspace]
		u.Requested += float64(w.Requested) * tokenUnit
		u.Started += float64(w.Started) * tokenUnit
		t.workspaces[w.Workspace] = u
	}
	if o := m.Others; o != nil {
		t.aggregate.Count += int(o.Count)
		t.aggregate.Requested += float64(o.Requested) * tokenUnit
		t.aggregate.Started += float64(o.Started) * tokenUnit
	}
	t.age = max(t.age, time.Duration(m.AgeTenths)*ageUnit)
}

// message returns the sum sorted by key, so that equal sums give equal messages.
// If there are more than maxWorkspaces workspaces, it lists those that requested
// the most tokens and adds up the others, which hardly reach their fair share.
func (t *loadSum) message(now time.Time) galenalatch.RouterLoad {
	m := galenalatch.RouterLoad{AgeTenths: uint8(min(t.age/ageUnit, math.MaxUint8)), Rollouts: t.rollouts.message(), Streams: t.streams.message()}
	for k, r := range t.limits {
		m.Limits = append(m.Limits, galenalatch.ServerLimit{
			Server: k, Named: r.Named, MilliRate: uint32(min(math.Round(r.Rate*milli), math.MaxUint32)),
			AgeTenths: uint16(min(max(now.Sub(r.At), 0)/ageUnit, math.MaxUint16)),
		})
	}
	for k, until := range t.cold {
		if left := until.Sub(now); left > 0 {
			m.Cold = append(m.Cold, galenalatch.ColdServer{Server: k, TenthsLeft: uint16(min((left+ageUnit-1)/ageUnit, math.MaxUint16))})
		}
	}
	for k, w := range t.words {
		if age := max(now.Sub(w.At), 0); age < maxWordAge {
			m.Speeds = append(m.Speeds, galenalatch.ServerSpeed{
				Server: k, SlowdownTenths: uint8(min(math.Round(w.Slowdown*10), math.MaxUint8)), AgeTenths: uint8(age / ageUnit),
			})
		}
	}
	for k, l := range t.servers {
		m.Servers = append(m.Servers, galenalatch.ServerLoad{
			Server: k, Running: clampUint16(l.Running), PrefillMillis: clampUint16(int(l.Prefill / time.Millisecond)),
		})
	}
	for k, u := range t.workspaces {
		m.Workspaces = append(m.Workspaces, galenalatch.WorkspaceUsage{
			Workspace: k, Requested: tokenUnits(u.Requested), Started: tokenUnits(u.Started),
		})
	}
	aggregate := galenalatch.OtherUsage{
		Count: uint32(t.aggregate.Count), Requested: tokenUnits(t.aggregate.Requested), Started: tokenUnits(t.aggregate.Started),
	}
	if len(m.Workspaces) > maxWorkspaces {
		slices.SortFunc(m.Workspaces, func(a, b galenalatch.WorkspaceUsage) int {
			return cmp.Or(cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Workspace, b.Workspace))
		})
		for _, w := range m.Workspaces[maxWorkspaces:] {
			aggregate.Count++
			aggregate.Requested += w.Requested
			aggregate.Started += w.Started
		}
		m.Workspaces = m.Workspaces[:maxWorkspaces]
	}
	if aggregate.Count > 0 {
		m.Others = &aggregate
	}
	slices.SortFunc(m.Limits, func(a, b galenalatch.ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(m.Speeds, func(a, b galenalatch.ServerSpeed) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(m.Cold, func(a, b galenalatch.ColdServer) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(m.Servers, func(a, b galenalatch.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(m.Workspaces, func(a, b galenalatch.WorkspaceUsage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return m
}

// tokenUnits returns tokens in units of a message. Callers announce them without an
// upper bound.
func tokenUnits(tokens float64) uint32 {
	return uint32(min(max(tokens/tokenUnit, 0), math.MaxUint32))
}

func clampUint16(n int) uint16 {
	return uint16(min(max(n, 0), math.MaxUint16))
}
