// Package topology decides which routers of a fleet are connected to each
// other.
//
// In a small fleet every router is connected to every other one. In a larger
// fleet a router is connected to the routers of its data centre, and a few of
// them, the relays, also to the relays of the other data centres. The
// connections and messages of a router then grow with the size of its data
// centre and not with the fleet. All routers compute the same topology from the
// same list without exchanging messages.
package topology

import (
	"slices"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/rendezvous"
)

const (
	// MaxFullMesh is the number of routers up to which all are connected to
	// all.
	MaxFullMesh = 16
	// RelaysPerDataCentre is the number of relays of a data centre, so that one
	// remains when the other is killed or hangs.
	RelaysPerDataCentre = 2
)

// Topology holds the connections of one router. It does not change.
type Topology struct {
	// FullMesh is set when all routers are connected to all.
	FullMesh bool
	// Peers are the routers that get all messages, sorted: all others in a
	// small fleet, else the others of the data centre.
	Peers []galenalatch.RouterID
	// Relays are the relays of each data centre in order of preference. It is
	// nil in a small fleet.
	Relays map[galenalatch.DataCentre][]galenalatch.RouterID

	self        galenalatch.RouterID
	dataCentre  galenalatch.DataCentre
	dataCentres map[galenalatch.RouterID]galenalatch.DataCentre
}

// New returns the topology of a list of routers for the router self in data
// centre d. The list need not contain self.
func New(self galenalatch.RouterID, d galenalatch.DataCentre, list []galenalatch.Instance) Topology {
	t := Topology{
		FullMesh: len(list) <= MaxFullMesh, self: self, dataCentre: d,
		dataCentres: make(map[galenalatch.RouterID]galenalatch.DataCentre, len(list)),
	}
	names := make(map[galenalatch.DataCentre][]string)
	for _, i := range list {
		id := galenalatch.RouterID(i.ID)
		t.dataCentres[id] = i.DataCentre
		names[i.DataCentre] = append(names[i.DataCentre], i.ID)
		if id != self && (t.FullMesh || i.DataCentre == d) {
			t.Peers = append(t.Peers, id)
		}
	}
	slices.Sort(t.Peers)
	if t.FullMesh {
		return t
	}
	t.Relays = make(map[galenalatch.DataCentre][]galenalatch.RouterID, len(names))
	for dc, n := range names {
		ranked := rendezvous.Hash{Seed: "relay"}.Rank(string(dc), n)
		for _, id := range ranked[:min(RelaysPerDataCentre, len(ranked))] {
			t.Relays[dc] = append(t.Relays[dc], galenalatch.RouterID(id))
		}
	}
	return t
}

// Relaying reports whether the router is a relay. It is false in a small fleet
// and for a router that is not listed.
func (t Topology) Relaying() bool {
	return slices.Contains(t.Relays[t.dataCentre], t.self)
}

// Polling reports whether the router polls the store for the whole fleet. At most one
// router does: the first relay of the first data centre by rendezvous hash.
func (t Topology) Polling() bool {
	if len(t.Relays) == 0 {
		return false
	}
	names := make([]string, 0, len(t.Relays))
	for dc := range t.Relays {
		names = append(names, string(dc))
	}
	first := rendezvous.Hash{Seed: "polling"}.Rank("store", names)[0]
	return t.Relays[galenalatch.DataCentre(first)][0] == t.self
}

// RemoteRelays returns the sorted relays of the other data centres when the
// router is a relay, else nil.
func (t Topology) RemoteRelays() []galenalatch.RouterID {
	if !t.Relaying() {
		return nil
	}
	var remote []galenalatch.RouterID
	for dc, relays := range t.Relays {
		if dc != t.dataCentre {
			remote = append(remote, relays...)
		}
	}
	slices.Sort(remote)
	return remote
}

// RemoteDataCentre returns the data centre of a listed router and reports
// whether it is reached through relays: whether the fleet is not small and the
// router is in another data centre.
func (t Topology) RemoteDataCentre(r galenalatch.RouterID) (galenalatch.DataCentre, bool) {
	d, ok := t.dataCentres[r]
	return d, ok && !t.FullMesh && d != t.dataCentre
}

// In returns the listed routers of a data centre, sorted.
func (t Topology) In(d galenalatch.DataCentre) []galenalatch.RouterID {
	var routers []galenalatch.RouterID
	for r, dc := range t.dataCentres {
		if dc == d {
			routers = append(routers, r)
		}
	}
	slices.Sort(routers)
	return routers
}
