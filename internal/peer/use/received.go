package use

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/topology"
)

// maxWorkspaces bounds the workspaces with an entry of their own in a message.
// A message for 600 servers has about 7 KB; these add less than 2 KB.
const maxWorkspaces = 128

// stamped is a message with the time at which it came.
type stamped struct {
	at  time.Time
	use galenalatch.RouterUse
}

// received holds the newest message of each router by its kind.
type received struct {
	// near are the uses of routers of the own data centre, far those of
	// other data centres by the relay that sent them, elsewhere those of all
	// other data centres by the own relay that sent them.
	near      map[galenalatch.RouterID]stamped
	far       map[galenalatch.RouterID]stamped
	elsewhere map[galenalatch.RouterID]stamped
}

func newReceived() received {
	return received{
		near: make(map[galenalatch.RouterID]stamped), far: make(map[galenalatch.RouterID]stamped),
		elsewhere: make(map[galenalatch.RouterID]stamped),
	}
}

// dataCentre returns the sum of the data centre with the own use.
func (r received) dataCentre(now time.Time, own galenalatch.RouterUse) galenalatch.RouterUse {
	maps.DeleteFunc(r.near, func(_ galenalatch.RouterID, s stamped) bool { return now.Sub(s.at) > maxAge })
	t := newTotal()
	t.add(own)
	for _, s := range r.near {
		t.add(s.use)
	}
	return t.message()
}

// others returns the sum of the other data centres.
func (r received) others(now time.Time, p topology.Topology) galenalatch.RouterUse {
	t := newTotal()
	for _, relays := range p.Relays {
		// The own data centre's relays send no message of this kind.
		if use, ok := r.preferred(now, r.far, relays); ok {
			t.add(use)
		}
	}
	return t.message()
}

// preferred returns the message of the first relay that was heard lately:
// both relays of a data centre tell the same, so only one counts.
func (r received) preferred(now time.Time, from map[galenalatch.RouterID]stamped, relays []galenalatch.RouterID) (galenalatch.RouterUse, bool) {
	maps.DeleteFunc(from, func(_ galenalatch.RouterID, s stamped) bool { return now.Sub(s.at) > maxAge })
	for _, relay := range relays {
		if s, ok := from[relay]; ok {
			return s.use, true
		}
	}
	return galenalatch.RouterUse{}, false
}

// total is a sum of uses.
type total struct {
	servers    map[uint32]placement.Load
	workspaces map[uint32]share.Use
	others     share.Others
	age        time.Duration
}

func newTotal() *total {
	return &total{servers: make(map[uint32]placement.Load), workspaces: make(map[uint32]share.Use)}
}

func (t *total) add(m galenalatch.RouterUse) {
	for _, s := range m.Servers {
		l := t.servers[s.Server]
		l.Running += int(s.Running)
		l.Reading += time.Duration(s.ReadingMillis) * time.Millisecond
		t.servers[s.Server] = l
	}
	for _, w := range m.Workspaces {
		u := t.workspaces[w.Workspace]
		u.Asked += float64(w.Asked) * tokenUnit
		u.Begun += float64(w.Begun) * tokenUnit
		t.workspaces[w.Workspace] = u
	}
	if o := m.Others; o != nil {
		t.others.Count += int(o.Count)
		t.others.Asked += float64(o.Asked) * tokenUnit
		t.others.Begun += float64(o.Begun) * tokenUnit
	}
	t.age = max(t.age, time.Duration(m.AgeTenths)*ageUnit)
}

// message returns the sum in the order of its keys, so that equal sums are
// equal messages. Of many workspaces only those that asked most have an entry:
// the others hardly reach their share, and what they use is known as a whole.
func (t *total) message() galenalatch.RouterUse {
	m := galenalatch.RouterUse{AgeTenths: uint8(min(t.age/ageUnit, math.MaxUint8))}
	for k, l := range t.servers {
		m.Servers = append(m.Servers, galenalatch.ServerUse{
			Server: k, Running: clamp(l.Running), ReadingMillis: clamp(int(l.Reading / time.Millisecond)),
		})
	}
	for k, u := range t.workspaces {
		m.Workspaces = append(m.Workspaces, galenalatch.WorkspaceUse{
			Workspace: k, Asked: uint32(u.Asked / tokenUnit), Begun: uint32(u.Begun / tokenUnit),
		})
	}
	others := galenalatch.OtherUse{
		Count: uint32(t.others.Count), Asked: uint32(t.others.Asked / tokenUnit), Begun: uint32(t.others.Begun / tokenUnit),
	}
	if len(m.Workspaces) > maxWorkspaces {
		slices.SortFunc(m.Workspaces, func(a, b galenalatch.WorkspaceUse) int {
			return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Workspace, b.Workspace))
		})
		for _, w := range m.Workspaces[maxWorkspaces:] {
			others.Count++
			others.Asked += w.Asked
			others.Begun += w.Begun
		}
		m.Workspaces = m.Workspaces[:maxWorkspaces]
	}
	if others.Count > 0 {
		m.Others = &others
	}
	slices.SortFunc(m.Servers, func(a, b galenalatch.ServerUse) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(m.Workspaces, func(a, b galenalatch.WorkspaceUse) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return m
}

func clamp(n int) uint16 {
	return uint16(min(max(n, 0), math.MaxUint16))
}
