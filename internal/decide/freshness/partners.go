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
	// watchOut is the number of further peers that are asked in each round
	// while the acceptance of a version is awaited: a majority of 400 takes
	// 26 rounds, 6.5 s, which is less than Settle.
	watchOut = 8
	// watchTime ends the wait for an acceptance that does not come.
	watchTime = 20 * time.Second
	// maxNear bounds the peers with a connection in a large fleet, and with
	// them the bytes of heartbeats.
	maxNear = 32
	// nearTime is how long a peer stays a neighbour of a large fleet.
	nearTime = 4 * time.Minute
)

// neighbours are the peers among which the partners are drawn.
type neighbours struct {
	peers []galenalatch.RouterID
	until []time.Time
}

// Watch makes the rounds ask the routers that are not known to hold the
// version, until it is accepted.
func (v *View) Watch(now time.Time, version galenalatch.Version) {
	v.watched = max(v.watched, version)
	v.watchEnd = now.Add(watchTime)
}

// Partners returns the peers to ask in this round.
func (v *View) Partners(now time.Time, r *rand.Rand) []galenalatch.RouterID {
	v.refresh(now, r)
	list := slices.Clone(v.near.peers)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(fanOut, len(list))]
	for _, p := range v.unknown(now) {
		if len(list) >= fanOut+watchOut {
			break
		}
		if !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return list
}

// unknown returns the routers that may not hold the watched version, the
// longest unasked first.
func (v *View) unknown(now time.Time) []galenalatch.RouterID {
	if now.After(v.watchEnd) || v.watched == 0 {
		return nil
	}
	if held, total := v.Accepted(now, v.watched); 2*held > total {
		v.watched = 0
		return nil
	}
	open := make(map[galenalatch.RouterID]bool, len(v.asked))
	for _, q := range v.asked {
		open[q.to] = true
	}
	q := v.quorum()
	var first, again []galenalatch.RouterID
	for _, p := range slices.Concat(q.Current, q.Previous) {
		switch {
		case p == v.Self || v.holds(now, p, v.watched):
		case open[p]:
			again = append(again, p)
		default:
			first = append(first, p)
		}
	}
	return append(first, again...)
}

// refresh replaces neighbours that left or that were kept for long enough.
func (v *View) refresh(now time.Time, r *rand.Rand) {
	all := make([]galenalatch.RouterID, 0, len(v.listed.Current))
	for _, p := range v.listed.Current {
		if p != v.Self {
			all = append(all, p)
		}
	}
	if len(all) <= maxNear {
		v.near = neighbours{peers: all}
		return
	}
	kept := neighbours{}
	for i, p := range v.near.peers {
		if i < len(v.near.until) && now.Before(v.near.until[i]) {
			if _, ok := slices.BinarySearch(all, p); ok {
				kept.peers = append(kept.peers, p)
				kept.until = append(kept.until, v.near.until[i])
			}
		}
	}
	for len(kept.peers) < maxNear {
		p := all[r.IntN(len(all))]
		if !slices.Contains(kept.peers, p) {
			kept.peers = append(kept.peers, p)
			kept.until = append(kept.until, now.Add(nearTime/2+time.Duration(r.Int64N(int64(nearTime)))))
		}
	}
	v.near = kept
}
