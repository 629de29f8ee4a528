// Package topology decides which routers of a fleet talk to each other.
//
// In a small fleet every router talks to every other one. In a larger fleet a
// router talks to those of its data centre, and a few of them, the relays,
// also to the relays of the other data centres. Connections and messages of a
// router then grow with the size of its data centre and not of the fleet.
// Routers derive the same topology from the same list without a message.
package topology

import (
	"slices"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/rendezvous"
)

const (
	// SmallFleet is the number of routers up to which all talk to all.
	SmallFleet = 16
	// RelaysEach is the number of relays of a data centre: one that is
	// killed or frozen leaves another.
	RelaysEach = 2
)

// Topology is the place of one router in the fleet. It does not change.
type Topology struct {
	// Small says that all routers talk to all.
	Small bool
	// Near are the routers to tell everything: all others in a small fleet,
	// else the others of the data centre.
	Near []galenalatch.RouterID
	// Relays are the relays of each data centre in order of preference. They
	// are empty in a small fleet.
	Relays map[galenalatch.DataCentre][]galenalatch.RouterID

	self       galenalatch.RouterID
	dataCentre galenalatch.DataCentre
	places     map[galenalatch.RouterID]galenalatch.DataCentre
}

// New returns the topology of a list of routers for the router self in data
// centre d. The list may lack self.
func New(self galenalatch.RouterID, d galenalatch.DataCentre, list []galenalatch.Instance) Topology {
	t := Topology{
		Small: len(list) <= SmallFleet, self: self, dataCentre: d,
		places: make(map[galenalatch.RouterID]galenalatch.DataCentre, len(list)),
	}
	names := make(map[galenalatch.DataCentre][]string)
	for _, i := range list {
		id := galenalatch.RouterID(i.ID)
		t.places[id] = i.DataCentre
		names[i.DataCentre] = append(names[i.DataCentre], i.ID)
		if id != self && (t.Small || i.DataCentre == d) {
			t.Near = append(t.Near, id)
		}
	}
	slices.Sort(t.Near)
	if t.Small {
		return t
	}
	t.Relays = make(map[galenalatch.DataCentre][]galenalatch.RouterID, len(names))
	for place, n := range names {
		ranked := rendezvous.Hash{Seed: "relay"}.Rank(string(place), n)
		for _, id := range ranked[:min(RelaysEach, len(ranked))] {
			t.Relays[place] = append(t.Relays[place], galenalatch.RouterID(id))
		}
	}
	return t
}

// Relaying reports whether the router is a relay.
func (t Topology) Relaying() bool {
	return slices.Contains(t.Relays[t.dataCentre], t.self)
}

// Far returns the relays of the other data centres when the router is a
// relay.
func (t Topology) Far() []galenalatch.RouterID {
	if !t.Relaying() {
		return nil
	}
	var far []galenalatch.RouterID
	for place, relays := range t.Relays {
		if place != t.dataCentre {
			far = append(far, relays...)
		}
	}
	slices.Sort(far)
	return far
}

// Foreign returns the data centre of a listed router that is not one of Near
// and not the router itself.
func (t Topology) Foreign(r galenalatch.RouterID) (galenalatch.DataCentre, bool) {
	d, ok := t.places[r]
	return d, ok && !t.Small && d != t.dataCentre
}

// In returns the listed routers of a data centre.
func (t Topology) In(d galenalatch.DataCentre) []galenalatch.RouterID {
	var routers []galenalatch.RouterID
	for r, place := range t.places {
		if place == d {
			routers = append(routers, r)
		}
	}
	slices.Sort(routers)
	return routers
}
