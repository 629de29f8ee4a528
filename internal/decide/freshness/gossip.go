package freshness

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// ageUnit is the resolution of packed ages. 254 units cover the window.
	ageUnit = 10 * time.Millisecond
	unknown = 255
	// maxKnown bounds the routers that are remembered.
	maxKnown = 4096
)

// Ask returns a question for a peer.
func (v *View) Ask(now time.Time, to galenalatch.RouterID) galenalatch.GossipAsk {
	v.forget(now)
	v.Stamp++
	v.asked[v.Stamp] = question{to, now}
	g := galenalatch.Gossip{
		Version:            v.announced(),
		ConfirmedAgeMillis: -1,
		Holders:            v.cells.recent(now, rumours),
		HoldersSum:         v.cells.sum,
	}
	// A majority of 400 that was heard of a short time ago needs no ages:
	// asking for them always takes 15 KB/s of a router instead of 10.
	if since := now.Add(-heardAfter); !v.confirmed.usable.After(since) && !v.majorityHeard(v.positions, since, true) {
		g.ListSum = v.listSum
	}
	return galenalatch.GossipAsk{Stamp: v.Stamp, Gossip: g}
}

// Answer merges the asker's state and returns the answer.
func (v *View) Answer(now time.Time, ask galenalatch.GossipAsk) galenalatch.Gossip {
	v.mergeState(now, ask.Gossip)
	g := galenalatch.Gossip{
		Echo:               ask.Stamp,
		Version:            v.announced(),
		ConfirmedAgeMillis: -1,
		Holders:            v.cells.missing(now, ask.Gossip.HoldersSum),
		HoldersSum:         v.cells.sum,
	}
	if !v.qualified {
		return g
	}
	if age := now.Sub(v.confirmed.usable); age <= v.Window {
		g.ConfirmedAgeMillis = millis(age)
	}
	switch ask.Gossip.ListSum {
	case 0:
	case v.listSum:
		g.ListSum = v.listSum
		g.Ages = v.ages(now)
	default:
		g.Heard = v.recentlyHeard(now)
	}
	return g
}

// announced is the version that other routers may count on. A router that is
// not qualified announces none.
func (v *View) announced() galenalatch.Version {
	if !v.qualified {
		return 0
	}
	return v.held
}

// Merge records the answer of a peer. An answer to no open question of the
// view proves nothing about time.
func (v *View) Merge(now time.Time, from galenalatch.RouterID, g galenalatch.Gossip) {
	v.mergeState(now, g)
	q, ok := v.asked[g.Echo]
	if !ok || q.to != from {
		return
	}
	delete(v.asked, g.Echo)
	if g.Version == 0 {
		return
	}
	v.hear(from, q.at, g.Version)
	if a, ok := v.answers[from]; !ok || q.at.After(a.asked) {
		v.answers[from] = answer{q.at, g.Version}
	}
	if g.ConfirmedAgeMillis >= 0 {
		v.confirmed.add(q.at.Add(-duration(g.ConfirmedAgeMillis)), g.Version, v.held)
	}
	for _, h := range g.Heard {
		if h.AgeMillis >= 0 {
			v.hear(h.Router, q.at.Add(-duration(h.AgeMillis)), g.Version)
		}
	}
	if len(g.Ages) == len(v.positions) && g.ListSum == v.listSum {
		for i, a := range g.Ages {
			if a != unknown {
				v.hear(v.positions[i], q.at.Add(-time.Duration(a)*ageUnit), g.Version)
			}
		}
	}
	v.qualify()
}

// mergeState records what holds no matter when it was sent.
func (v *View) mergeState(now time.Time, g galenalatch.Gossip) {
	v.newest = max(v.newest, g.Version)
	for _, h := range g.Holders {
		v.cells.learn(now, h)
	}
}

func (v *View) hear(r galenalatch.RouterID, at time.Time, version galenalatch.Version) {
	if r == v.Self {
		return
	}
	e := v.heard[r]
	if e == nil {
		if len(v.heard) >= maxKnown {
			return
		}
		e = &evidence{}
		v.heard[r] = e
	}
	e.add(at, version, v.held)
}

// recentlyHeard lists the routers heard of within the window.
func (v *View) recentlyHeard(now time.Time) []galenalatch.Heard {
	var list []galenalatch.Heard
	for _, r := range v.positions {
		if e := v.heard[r]; e != nil && now.Sub(e.usable) < v.Window {
			list = append(list, galenalatch.Heard{Router: r, AgeMillis: millis(now.Sub(e.usable))})
		}
	}
	return list
}

// ages packs the routers heard of within the window.
func (v *View) ages(now time.Time) []byte {
	b := make([]byte, len(v.positions))
	for i, r := range v.positions {
		b[i] = unknown
		// The age of the zero time is the largest duration and must not be
		// rounded up.
		if e := v.heard[r]; e != nil && now.Sub(e.usable) < min(v.Window, unknown*ageUnit) {
			b[i] = byte((max(0, now.Sub(e.usable)) + ageUnit - 1) / ageUnit)
		}
	}
	return b
}

// forget drops what can no longer count.
func (v *View) forget(now time.Time) {
	for s, q := range v.asked {
		if now.Sub(q.at) > v.Window {
			delete(v.asked, s)
		}
	}
	for r, a := range v.answers {
		if now.Sub(a.asked) > v.Settle {
			delete(v.answers, r)
		}
	}
	for r, e := range v.heard {
		if now.Sub(later(e.usable, e.pending)) > v.Window {
			delete(v.heard, r)
		}
	}
}

// millis rounds up, so that an age is never understated.
func millis(d time.Duration) int64 {
	return int64(max(0, (d+time.Millisecond-1)/time.Millisecond))
}

// duration bounds ages, so that they do not overflow.
func duration(ms int64) time.Duration {
	return time.Duration(min(ms, int64(time.Hour/time.Millisecond))) * time.Millisecond
}
