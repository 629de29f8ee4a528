package freshness

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// fanOut is the number of peers that are asked in each round.
	fanOut = 3
	// acceptanceFanOut is the number of further peers that are asked in each round
	// while the acceptance of a version is awaited: a majority of 400 takes
	// 26 rounds, 6.5 s, which is less than Settle.
	acceptanceFanOut = 8
	// acceptanceTimeout ends the wait for an acceptance.
	acceptanceTimeout = 20 * time.Second
	// maxNeighbours limits the peers that a router in a large fleet is
	// connected to, and with them the bytes of heartbeats.
	maxNeighbours = 32
	// meanNeighbourTime is the mean time for which a peer stays a neighbour
	// in a large fleet. The time of each peer is random between half and one
	// and a half of it.
	meanNeighbourTime = 4 * time.Minute
)

// neighbours are the peers among which the gossip peers of a round are drawn.
// until is empty when all listed peers are neighbours.
type neighbours struct {
	peers []galenalatch.RouterID
	until []time.Time
}

// AwaitAcceptance makes the next rounds also ask the routers that are not known
// to hold the version, until it is accepted or 20 s are over.
func (v *View) AwaitAcceptance(now time.Time, version galenalatch.Version) {
	v.awaitedVersion = max(v.awaitedVersion, version)
	v.awaitEnd = now.Add(acceptanceTimeout)
}

// GossipPeers returns the peers to ask in this round.
func (v *View) GossipPeers(now time.Time, r *rand.Rand) []galenalatch.RouterID {
	v.refreshNeighbours(now, r)
	list := slices.Clone(v.neighbours.peers)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(fanOut, len(list))]
	for _, p := range v.unconfirmedPeers(now) {
		if len(list) >= fanOut+acceptanceFanOut {
			break
		}
		if !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return list
}

// unconfirmedPeers returns the peers that are not known to hold the awaited
// version, those without an open question first.
func (v *View) unconfirmedPeers(now time.Time) []galenalatch.RouterID {
	if now.After(v.awaitEnd) || v.awaitedVersion == 0 {
		return nil
	}
	if held, total := v.Accepted(now, v.awaitedVersion); 2*held > total {
		v.awaitedVersion = 0
		return nil
	}
	asked := make(map[galenalatch.RouterID]bool, len(v.openQuestions))
	for _, q := range v.openQuestions {
		asked[q.peer] = true
	}
	q := v.quorum()
	var unasked, alreadyAsked []galenalatch.RouterID
	for _, p := range slices.Concat(q.Current, q.Previous) {
		switch {
		case p == v.Self || v.knownToHold(now, p, v.awaitedVersion):
		case asked[p]:
			alreadyAsked = append(alreadyAsked, p)
		default:
			unasked = append(unasked, p)
		}
	}
	return append(unasked, alreadyAsked...)
}

// refreshNeighbours replaces neighbours that are no longer listed or whose
// time is over.
func (v *View) refreshNeighbours(now time.Time, r *rand.Rand) {
	all := make([]galenalatch.RouterID, 0, len(v.instanceLists.Current))
	for _, p := range v.instanceLists.Current {
		if p != v.Self {
			all = append(all, p)
		}
	}
	if len(all) <= maxNeighbours {
		v.neighbours = neighbours{peers: all}
		return
	}
	kept := neighbours{}
	for i, p := range v.neighbours.peers {
		if i < len(v.neighbours.until) && now.Before(v.neighbours.until[i]) {
			if _, ok := slices.BinarySearch(all, p); ok {
				kept.peers = append(kept.peers, p)
				kept.until = append(kept.until, v.neighbours.until[i])
			}
		}
	}
	for len(kept.peers) < maxNeighbours {
		p := all[r.IntN(len(all))]
		if !slices.Contains(kept.peers, p) {
			kept.peers = append(kept.peers, p)
			kept.until = append(kept.until, now.Add(meanNeighbourTime/2+time.Duration(r.Int64N(int64(meanNeighbourTime)))))
		}
	}
	v.neighbours = kept
}
