package topology

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

func fleet(routers, dataCentres int) []galenalatch.Instance {
	var list []galenalatch.Instance
	for i := range routers {
		list = append(list, galenalatch.Instance{
			ID: fmt.Sprint("r", i), Role: galenalatch.RouterRole, DataCentre: galenalatch.DataCentre(fmt.Sprint("d", i%dataCentres)),
		})
	}
	return list
}

// Guards against routers that receive no messages: the load of each router must
// reach every other one, directly or through relays on which both sides agree.
// Also guards against connections that only one side uses, and against a number
// of connections that grows with the square of the fleet.
func TestReach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "routers")
		dataCentres := rapid.IntRange(1, 6).Draw(t, "data centres")
		list := fleet(n, dataCentres)
		topologies := make(map[galenalatch.RouterID]Topology, n)
		for _, i := range list {
			id := galenalatch.RouterID(i.ID)
			topologies[id] = New(id, i.DataCentre, list)
		}
		for from, a := range topologies {
			assert.Equal(t, a.FullMesh, n <= MaxFullMesh)
			for _, remote := range a.RemoteRelays() {
				assert.Assert(t, slices.Contains(topologies[remote].RemoteRelays(), from), "%s has a connection to %s, but not the other way round", from, remote)
			}
			for to, b := range topologies {
				if to == from {
					continue
				}
				peer := slices.Contains(a.Peers, to)
				assert.Equal(t, peer, slices.Contains(b.Peers, from))
				_, remoteCentre := a.RemoteDataCentre(to)
				assert.Equal(t, peer, !remoteCentre)
				if peer {
					continue
				}
				for _, r := range a.Relays[a.dataCentre] {
					for _, s := range a.Relays[b.dataCentre] {
						assert.Assert(t, slices.Contains(topologies[r].RemoteRelays(), s))
						assert.Assert(t, s == to || slices.Contains(topologies[s].Peers, to))
					}
				}
			}
			if !a.FullMesh {
				links := len(a.Peers) + len(a.RemoteRelays())
				assert.Assert(t, links < n/dataCentres+1+RelaysPerDataCentre*dataCentres, "%d links", links)
			}
		}
	})
}

// Guards against a router that acts as a relay before the other routers have it
// in their list.
func TestUnlistedRouter(t *testing.T) {
	topology := New("r99", "d0", fleet(MaxFullMesh+4, 2))
	assert.Assert(t, !topology.Relaying())
	assert.Equal(t, len(topology.RemoteRelays()), 0)
	assert.Equal(t, len(topology.Peers), 10)
	assert.DeepEqual(t, topology.In("d0"), topology.Peers)
}
