package freshness

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// ageUnit is the resolution of packed ages. 254 units cover the window.
	ageUnit    = 10 * time.Millisecond
	unknownAge = 255
	// maxContacts limits the routers whose last contact is recorded.
	maxContacts = 4096
)

// Request returns a request for the state of a peer. The reply must be passed
// to Merge.
func (v *View) Request(now time.Time, to galenalatch.RouterID) galenalatch.GossipRequest {
	v.dropExpired(now)
	v.LastStamp++
	v.openRequests[v.LastStamp] = openRequest{to, now}
	g := galenalatch.Gossip{
		Version:            v.announcedVersion(),
		ConfirmedAgeMillis: -1,
		Holders:            v.holders.recent(now, maxHoldersPerRequest),
		HoldersSum:         v.holders.sum,
	}
	// Ages are not needed if the head was confirmed, or a majority contacted,
	// within maxConfirmationAge. In a fleet of 400, requesting them always
	// takes 15 KB/s of a router instead of 10.
	if since := now.Add(-maxConfirmationAge); !v.confirmed.usable.After(since) && !v.majorityContacted(v.positions, since, true) {
		g.ListSum = v.listSum
	}
	return galenalatch.GossipRequest{Stamp: v.LastStamp, Gossip: g}
}

// Reply merges the state in the request and returns the reply to it.
func (v *View) Reply(now time.Time, request galenalatch.GossipRequest) galenalatch.Gossip {
	v.mergeState(now, request.Gossip)
	g := galenalatch.Gossip{
		Echo:               request.Stamp,
		Version:            v.announcedVersion(),
		ConfirmedAgeMillis: -1,
		Holders:            v.holders.replyHolders(now, request.Gossip.HoldersSum),
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
		g.LastContacts = v.recentContacts(now)
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

// Merge records the reply of a peer. A reply that matches no open request adds
// versions and holders, but proves nothing about their time.
func (v *View) Merge(now time.Time, from galenalatch.RouterID, g galenalatch.Gossip) {
	v.mergeState(now, g)
	q, ok := v.openRequests[g.Echo]
	if !ok || q.peer != from {
		return
	}
	delete(v.openRequests, g.Echo)
	if g.Version == 0 {
		return
	}
	v.recordContact(from, q.sentAt, g.Version)
	if a, ok := v.directReplies[from]; !ok || q.sentAt.After(a.requestedAt) {
		v.directReplies[from] = directReply{q.sentAt, g.Version}
	}
	if g.ConfirmedAgeMillis >= 0 {
		v.confirmed.add(q.sentAt.Add(-boundedAge(g.ConfirmedAgeMillis)), g.Version, v.held)
	}
	for _, h := range g.LastContacts {
		if h.AgeMillis >= 0 {
			v.recordContact(h.Router, q.sentAt.Add(-boundedAge(h.AgeMillis)), g.Version)
		}
	}
	if len(g.Ages) == len(v.positions) && g.ListSum == v.listSum {
		for i, a := range g.Ages {
			if a != unknownAge {
				v.recordContact(v.positions[i], q.sentAt.Add(-time.Duration(a)*ageUnit), g.Version)
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

// recordContact records evidence that the router ran at the given time, or
// later, and held the version.
func (v *View) recordContact(r galenalatch.RouterID, at time.Time, version galenalatch.Version) {
	if r == v.Self {
		return
	}
	e := v.contacts[r]
	if e == nil {
		if len(v.contacts) >= maxContacts {
			return
		}
		e = &evidence{}
		v.contacts[r] = e
	}
	e.add(at, version, v.held)
}

// recentContacts returns the routers whose last contact was within the window,
// with its age.
func (v *View) recentContacts(now time.Time) []galenalatch.LastContact {
	var list []galenalatch.LastContact
	for _, r := range v.positions {
		if e := v.contacts[r]; e != nil && now.Sub(e.usable) < v.Window {
			list = append(list, galenalatch.LastContact{Router: r, AgeMillis: ageMillis(now.Sub(e.usable))})
		}
	}
	return list
}

// ages returns the ages of the last contacts within the window, one byte for
// each position of the list.
func (v *View) ages(now time.Time) []byte {
	b := make([]byte, len(v.positions))
	for i, r := range v.positions {
		b[i] = unknownAge
		// The age of the zero time is the largest duration and would overflow
		// if it were rounded up.
		if e := v.contacts[r]; e != nil && now.Sub(e.usable) < min(v.Window, unknownAge*ageUnit) {
			b[i] = byte((max(0, now.Sub(e.usable)) + ageUnit - 1) / ageUnit)
		}
	}
	return b
}

// dropExpired drops requests, replies and evidence that are too old to count.
func (v *View) dropExpired(now time.Time) {
	for s, q := range v.openRequests {
		if now.Sub(q.sentAt) > v.Window {
			delete(v.openRequests, s)
		}
	}
	for r, a := range v.directReplies {
		if now.Sub(a.requestedAt) > v.Settle {
			delete(v.directReplies, r)
		}
	}
	for r, e := range v.contacts {
		if now.Sub(later(e.usable, e.pending)) > v.Window {
			delete(v.contacts, r)
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
