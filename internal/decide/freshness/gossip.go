package freshness

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// ageUnit is the resolution of packed ages. 254 units cover the window.
	ageUnit    = 10 * time.Millisecond
	unknownAge = 255
	// maxHeardRouters limits the routers that are remembered as heard of.
	maxHeardRouters = 4096
)

// Ask returns a question for a peer. Its answer must be passed to Merge.
func (v *View) Ask(now time.Time, to galenalatch.RouterID) galenalatch.GossipRequest {
	v.dropExpired(now)
	v.LastStamp++
	v.openQuestions[v.LastStamp] = question{to, now}
	g := galenalatch.Gossip{
		Version:            v.announcedVersion(),
		ConfirmedAgeMillis: -1,
		Holders:            v.holders.recent(now, maxHoldersPerQuestion),
		HoldersSum:         v.holders.sum,
	}
	// Ages are not needed while the head was confirmed or a majority was
	// heard of within maxConfirmationAge. In a fleet of 400, asking for them
	// always takes 15 KB/s of a router instead of 10.
	if since := now.Add(-maxConfirmationAge); !v.confirmed.usable.After(since) && !v.majorityHeard(v.positions, since, true) {
		g.ListSum = v.listSum
	}
	return galenalatch.GossipRequest{Stamp: v.LastStamp, Gossip: g}
}

// Answer merges the state in the question and returns the answer to it.
func (v *View) Answer(now time.Time, request galenalatch.GossipRequest) galenalatch.Gossip {
	v.mergeState(now, request.Gossip)
	g := galenalatch.Gossip{
		Echo:               request.Stamp,
		Version:            v.announcedVersion(),
		ConfirmedAgeMillis: -1,
		Holders:            v.holders.answerHolders(now, request.Gossip.HoldersSum),
		HoldersSum:         v.holders.sum,
	}
	if !v.qualified {
		return g
	}
	if age := now.Sub(v.confirmed.usable); age <= v.Window {
		g.ConfirmedAgeMillis = ageMillis(age)
	}
	switch request.Gossip.ListSum {
	case 0:
	case v.listSum:
		g.ListSum = v.listSum
		g.Ages = v.ages(now)
	default:
		g.LastContacts = v.recentlyHeard(now)
	}
	return g
}

// announcedVersion returns the version that other routers may count as held.
// It is 0 for a router that is not qualified.
func (v *View) announcedVersion() galenalatch.Version {
	if !v.qualified {
		return 0
	}
	return v.held
}

// Merge records the answer of a peer. An answer that matches no open
// question adds versions and holders, but proves nothing about their time.
func (v *View) Merge(now time.Time, from galenalatch.RouterID, g galenalatch.Gossip) {
	v.mergeState(now, g)
	q, ok := v.openQuestions[g.Echo]
	if !ok || q.peer != from {
		return
	}
	delete(v.openQuestions, g.Echo)
	if g.Version == 0 {
		return
	}
	v.recordHeard(from, q.sentAt, g.Version)
	if a, ok := v.directAnswers[from]; !ok || q.sentAt.After(a.askedAt) {
		v.directAnswers[from] = answer{q.sentAt, g.Version}
	}
	if g.ConfirmedAgeMillis >= 0 {
		v.confirmed.add(q.sentAt.Add(-boundedAge(g.ConfirmedAgeMillis)), g.Version, v.held)
	}
	for _, h := range g.LastContacts {
		if h.AgeMillis >= 0 {
			v.recordHeard(h.Router, q.sentAt.Add(-boundedAge(h.AgeMillis)), g.Version)
		}
	}
	if len(g.Ages) == len(v.positions) && g.ListSum == v.listSum {
		for i, a := range g.Ages {
			if a != unknownAge {
				v.recordHeard(v.positions[i], q.sentAt.Add(-time.Duration(a)*ageUnit), g.Version)
			}
		}
	}
	v.qualify()
}

// mergeState records the newest version and the holders, which hold whenever
// they were sent.
func (v *View) mergeState(now time.Time, g galenalatch.Gossip) {
	v.newest = max(v.newest, g.Version)
	for _, h := range g.Holders {
		v.holders.mergeFromPeer(now, h)
	}
}

func (v *View) recordHeard(r galenalatch.RouterID, at time.Time, version galenalatch.Version) {
	if r == v.Self {
		return
	}
	e := v.heard[r]
	if e == nil {
		if len(v.heard) >= maxHeardRouters {
			return
		}
		e = &evidence{}
		v.heard[r] = e
	}
	e.add(at, version, v.held)
}

// recentlyHeard returns the routers heard of within the window, with their
// ages.
func (v *View) recentlyHeard(now time.Time) []galenalatch.LastContact {
	var list []galenalatch.LastContact
	for _, r := range v.positions {
		if e := v.heard[r]; e != nil && now.Sub(e.usable) < v.Window {
			list = append(list, galenalatch.LastContact{Router: r, AgeMillis: ageMillis(now.Sub(e.usable))})
		}
	}
	return list
}

// ages returns the ages of the routers heard of within the window, one byte
// for each position of the list.
func (v *View) ages(now time.Time) []byte {
	b := make([]byte, len(v.positions))
	for i, r := range v.positions {
		b[i] = unknownAge
		// The age of the zero time is the largest duration and would overflow
		// if it were rounded up.
		if e := v.heard[r]; e != nil && now.Sub(e.usable) < min(v.Window, unknownAge*ageUnit) {
			b[i] = byte((max(0, now.Sub(e.usable)) + ageUnit - 1) / ageUnit)
		}
	}
	return b
}

// dropExpired drops questions, answers and evidence that are too old to
// count.
func (v *View) dropExpired(now time.Time) {
	for s, q := range v.openQuestions {
		if now.Sub(q.sentAt) > v.Window {
			delete(v.openQuestions, s)
		}
	}
	for r, a := range v.directAnswers {
		if now.Sub(a.askedAt) > v.Settle {
			delete(v.directAnswers, r)
		}
	}
	for r, e := range v.heard {
		if now.Sub(later(e.usable, e.pending)) > v.Window {
			delete(v.heard, r)
		}
	}
}

// ageMillis returns an age in milliseconds. It rounds up, so that an age is
// never understated.
func ageMillis(d time.Duration) int64 {
	return int64(max(0, (d+time.Millisecond-1)/time.Millisecond))
}

// boundedAge converts milliseconds to a duration of at most an hour, so that
// it does not overflow.
func boundedAge(ms int64) time.Duration {
	return time.Duration(min(ms, int64(time.Hour/time.Millisecond))) * time.Millisecond
}
