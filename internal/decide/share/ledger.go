// Package share divides the fleet's throughput between workspaces by max-min
// fairness: each workspace gets what it asks for, up to a limit that is the
// same for all.
//
// Each router counts the tokens that workspaces ask for and that begin to run,
// over a short sliding window, and sends the sums to the other routers. Every
// router computes the shares from these sums on its own.
package share

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/window"
)

const (
	// buckets is the number of buckets into which the window is divided.
	buckets = 16
	// maxRemoteAge is the age after which the sums of another router are
	// ignored.
	maxRemoteAge = 2 * time.Second
	// maxFairShareAge is how long a computed fair share is used.
	maxFairShareAge = 50 * time.Millisecond
	// initialCredit is added to the time for which the fleet has served, so that
	// work may begin ahead of the throughput: engines accept what they can start
	// within the aim.
	initialCredit = 500 * time.Millisecond
)

// Use counts the tokens that a workspace asked for and those that were begun
// for it.
type Use struct {
	Asked float64
	Begun float64
}

// Others sums up workspaces without an entry of their own in a report. Their
// fractions are computed only from the uses that have an entry, which are less
// than their true uses.
type Others struct {
	Count int
	Use
}

// Ledger counts the tokens of workspaces within a sliding window, for this
// router and as reported by other ones. It is safe for concurrent use.
type Ledger struct {
	window time.Duration

	mu       sync.Mutex
	accounts map[uint32]*window.Ring[Use]
	remote   map[galenalatch.RouterID]remoteUse
	// servingSince is the earliest time at which the fleet is known to have
	// served. It is zero before the first request.
	servingSince time.Time
	// sums are the uses on all routers at fairShareAt, plus those on this
	// router since then. fairShare is the max-min share of the throughput,
	// begunFairShare that of all tokens that were begun. fairShareRate is the
	// rate for which they were computed.
	sums           map[uint32]Use
	fairShare      float64
	begunFairShare float64
	fairShareAt    time.Time
	fairShareRate  float64
}

type remoteUse struct {
	at     time.Time
	uses   map[uint32]Use
	others Others
}

// New returns an empty ledger with a window of the given length.
func New(length time.Duration) *Ledger {
	return &Ledger{window: length, accounts: make(map[uint32]*window.Ring[Use]), remote: make(map[galenalatch.RouterID]remoteUse)}
}

// Key returns the hash that identifies a workspace in messages between routers.
func Key(w galenalatch.WorkspaceName) uint32 {
	return uint32(xxhash.Sum64String(string(w)))
}

// Add counts tokens that a workspace asked for or that were begun for it on
// this router.
func (l *Ledger) Add(now time.Time, w galenalatch.WorkspaceName, u Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordServing(now)
	a, ok := l.accounts[Key(w)]
	if !ok {
		a = window.New[Use](l.window/buckets, buckets)
		l.accounts[Key(w)] = a
	}
	bucket := a.Bucket(now)
	bucket.Asked += u.Asked
	bucket.Begun += u.Begun
	if l.sums != nil {
		sum := l.sums[Key(w)]
		l.sums[Key(w)] = Use{Asked: sum.Asked + u.Asked, Begun: sum.Begun + u.Begun}
	}
}

// recordServing records that the fleet served requests at the given time.
func (l *Ledger) recordServing(at time.Time) {
	if l.servingSince.IsZero() || at.Before(l.servingSince) {
		l.servingSince = at
	}
}

// Age returns for how long the fleet has served, at most the window. It is 0
// before the first request.
func (l *Ledger) Age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.age(now)
}

func (l *Ledger) age(now time.Time) time.Duration {
	if l.servingSince.IsZero() {
		return 0
	}
	return min(now.Sub(l.servingSince), l.window)
}

// Own returns the uses on this router within the window. Workspaces without any
// are left out.
func (l *Ledger) Own(now time.Time) map[uint32]Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.localUses(now)
}

func (l *Ledger) localUses(now time.Time) map[uint32]Use {
	uses := make(map[uint32]Use, len(l.accounts))
	for k, a := range l.accounts {
		var u Use
		for bucket := range a.All(now) {
			u.Asked += bucket.Asked
			u.Begun += bucket.Begun
		}
		if u.Asked > 0 || u.Begun > 0 {
			uses[k] = u
		} else {
			delete(l.accounts, k)
		}
	}
	return uses
}

// SetRemote replaces the uses on another router: those of the workspaces that
// asked for most, and the sum of the others. age is the other router's value of
// Age.
func (l *Ledger) SetRemote(now time.Time, r galenalatch.RouterID, uses map[uint32]Use, others Others, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(uses) > 0 {
		l.recordServing(now.Add(-age))
	}
	l.remote[r] = remoteUse{at: now, uses: uses, others: others}
}

// fleetUses returns the uses on all routers, without those of routers that have
// not reported for longer than maxRemoteAge.
func (l *Ledger) fleetUses(now time.Time) (map[uint32]Use, Others) {
	uses := l.localUses(now)
	var others Others
	for id, r := range l.remote {
		if now.Sub(r.at) > maxRemoteAge {
			delete(l.remote, id)
			continue
		}
		for k, u := range r.uses {
			sum := uses[k]
			sum.Asked += u.Asked
			sum.Begun += u.Begun
			uses[k] = sum
		}
		others.Count += r.others.Count
		others.Asked += r.others.Asked
		others.Begun += r.others.Begun
	}
	return uses, others
}

// Fractions returns the tokens that were begun for a workspace within the
// window as fractions of its max-min share. ofRate relates to the throughput at
// rate, in tokens per second, or to all tokens that the fleet began where that
// is less. ofBegun relates to all tokens that the fleet began. A workspace with
// a fraction below 1 has not used up its share. A rate of 0 means that the
// throughput is not bounded.
//
// The throughput of a fleet that has just started counts only from its start
// and not for the whole window: engines prefill with empty caches, and nothing
// shows yet how far they have fallen behind.
func (l *Ledger) Fractions(now time.Time, w galenalatch.WorkspaceName, rate float64) (ofRate, ofBegun float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fairShareRate != rate || now.Sub(l.fairShareAt) >= maxFairShareAge {
		sums, others := l.fleetUses(now)
		l.sums = sums
		begun := others.Begun
		for _, u := range l.sums {
			begun += u.Begun
		}
		l.begunFairShare = FairShare(l.sums, others, begun)
		l.fairShare = l.begunFairShare
		if served := min(l.age(now)+initialCredit, l.window); rate > 0 && rate*served.Seconds() < begun {
			l.fairShare = FairShare(l.sums, others, rate*served.Seconds())
		}
		l.fairShareAt, l.fairShareRate = now, rate
	}
	if l.fairShare <= 0 {
		return 0, 0
	}
	used := l.sums[Key(w)].Begun
	return used / l.fairShare, used / l.begunFairShare
}

// FairShare returns the limit up to which every workspace gets what it asks for
// when capacity is shared max-min fairly. It is the capacity itself when all
// requests fit. Each of the others counts as asking for their mean.
func FairShare(uses map[uint32]Use, others Others, capacity float64) float64 {
	asked := make([]float64, 0, len(uses)+others.Count)
	for _, u := range uses {
		asked = append(asked, u.Asked)
	}
	for range others.Count {
		asked = append(asked, others.Asked/float64(others.Count))
	}
	slices.Sort(asked)
	remaining := capacity
	for i, a := range asked {
		equalShare := remaining / float64(len(asked)-i)
		if a > equalShare {
			return equalShare
		}
		remaining -= a
	}
	return capacity
}
