// Package share divides the fleet's throughput between workspaces by max-min
// fairness: each workspace gets what it requests, up to a limit that is the
// same for all.
//
// Each router counts the tokens that workspaces request and those that are
// started for them, over a short sliding window, and sends the sums to the
// other routers. Every router computes the shares from these sums on its own.
package share

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
)

const (
	// buckets is the number of buckets into which the window is divided.
	buckets = 16
	// maxRemoteAge is the age after which the sums of another router are
	// ignored.
	maxRemoteAge = 2 * time.Second
	// maxFairShareAge is how long a computed fair share is used.
	maxFairShareAge = 50 * time.Millisecond
	// initialCredit is added to the time for which the fleet has served, so
	// that work may start ahead of the throughput: engines accept what they can
	// start within the target latency.
	initialCredit = 500 * time.Millisecond
	// minLeastShare is the part of a fair share from which on a workspace counts
	// for Fractions.Least: a few refused requests say little about less.
	minLeastShare = 0.1
)

// Usage counts the tokens that a workspace requested and those that were
// started for it.
type Usage struct {
	Requested float64
	Started   float64
}

// Aggregate is the sum over the workspaces that a router did not report one by
// one. The fractions of such a workspace do not include this sum, so they are
// lower than its true fractions.
type Aggregate struct {
	Count int
	Usage
}

// Ledger counts the tokens of workspaces within a sliding window, for this
// router and as reported by other ones. It is safe for concurrent use.
type Ledger struct {
	window time.Duration

	mu       sync.Mutex
	accounts map[uint32]*account
	// total is the usage of all workspaces on this router.
	total  *account
	remote map[galenalatch.RouterID]remoteUsage
	// servingSince is the earliest time at which the fleet is known to have
	// served. It is zero before the first request.
	servingSince time.Time
	// sums are the usage on all routers at fairShareAt, plus that on this
	// router since then. rateFairShare is the max-min share of the throughput
	// at fairShareRate, startedFairShare that of all started tokens. least is
	// Fractions.Least.
	sums             map[uint32]Usage
	rateFairShare    float64
	startedFairShare float64
	least            float64
	fairShareAt      time.Time
	fairShareRate    float64
}

type remoteUsage struct {
	at        time.Time
	usage     map[uint32]Usage
	aggregate Aggregate
}

// New returns an empty ledger with a window of the given length.
func New(length time.Duration) *Ledger {
	return &Ledger{window: length, accounts: make(map[uint32]*account), remote: make(map[galenalatch.RouterID]remoteUsage)}
}

// Key returns the hash that identifies a workspace in messages between routers.
func Key(w galenalatch.WorkspaceName) uint32 {
	return uint32(xxhash.Sum64String(string(w)))
}

// Add counts tokens that a workspace requested or that were started for it on
// this router.
func (l *Ledger) Add(now time.Time, w galenalatch.WorkspaceName, u Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordServing(now)
	a, ok := l.accounts[Key(w)]
	if !ok {
		a = newAccount(now, w, l.window)
		l.accounts[Key(w)] = a
	}
	a.add(now, u)
	if l.total == nil {
		l.total = newAccount(now, "", l.window)
	}
	l.total.add(now, u)
	if l.sums != nil {
		sum := l.sums[Key(w)]
		l.sums[Key(w)] = Usage{Requested: sum.Requested + u.Requested, Started: sum.Started + u.Started}
	}
}

// TakeBack undoes the start at an earlier time of tokens for a workspace: no server
// began the request. A workspace on a router that fails to send its requests would
// otherwise use up its share with them.
func (l *Ledger) TakeBack(now, at time.Time, w galenalatch.WorkspaceName, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[Key(w)]
	if !ok || l.total == nil {
		return
	}
	a.takeBack(now, at, tokens)
	l.total.takeBack(now, at, tokens)
	if sum, ok := l.sums[Key(w)]; ok {
		l.sums[Key(w)] = Usage{Requested: sum.Requested, Started: max(sum.Started-tokens, 0)}
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

// LocalUsage returns the usage on this router within the window. Workspaces
// without any are left out.
func (l *Ledger) LocalUsage(now time.Time) map[uint32]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.localUsage(now)
}

func (l *Ledger) localUsage(now time.Time) map[uint32]Usage {
	usage := make(map[uint32]Usage, len(l.accounts))
	for k, a := range l.accounts {
		u := a.usage(now)
		if u.Requested > 0 || u.Started > 0 {
			usage[k] = u
		} else {
			delete(l.accounts, k)
		}
	}
	return usage
}

// TakeUsage returns the usage on this router since the last call. What is taken back of
// earlier starts counts against it.
func (l *Ledger) TakeUsage() map[galenalatch.WorkspaceName]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := make(map[galenalatch.WorkspaceName]Usage)
	for _, a := range l.accounts {
		if a.fresh != (Usage{}) {
			usage[a.name] = a.fresh
			a.fresh = Usage{}
		}
	}
	return usage
}

// SetRemote replaces the usage on another router: that of the workspaces that
// requested the most tokens, and the sum of the others. age is the other
// router's value of Age.
func (l *Ledger) SetRemote(now time.Time, r galenalatch.RouterID, usage map[uint32]Usage, aggregate Aggregate, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(usage) > 0 {
		l.recordServing(now.Add(-age))
	}
	l.remote[r] = remoteUsage{at: now, usage: usage, aggregate: aggregate}
}

// fleetUsage returns the usage on all routers, without that of routers that
// have not reported for longer than maxRemoteAge.
func (l *Ledger) fleetUsage(now time.Time) (map[uint32]Usage, Aggregate) {
	usage := l.localUsage(now)
	var aggregate Aggregate
	for id, r := range l.remote {
		if now.Sub(r.at) > maxRemoteAge {
			delete(l.remote, id)
			continue
		}
		for k, u := range r.usage {
			sum := usage[k]
			sum.Requested += u.Requested
			sum.Started += u.Started
			usage[k] = sum
		}
		aggregate.Count += r.aggregate.Count
		aggregate.Requested += r.aggregate.Requested
		aggregate.Started += r.aggregate.Started
	}
	return usage, aggregate
}

// Fractions are the tokens that were started for a workspace within the window
// as fractions of its max-min share. A workspace with both fractions below 1 has
// not used up its share.
type Fractions struct {
	// OfRate relates to the configured throughput, OfStarted to all tokens that
	// the fleet has started. Both are the same if the throughput is not
	// bounded.
	OfRate    float64
	OfStarted float64
	// Pace is the part of the workspace's requests that this router has started
	// in about the last second, relative to the part that the fleet has started
	// within the window. Reports of other routers are up to a second old: the
	// fractions times Pace are those of a fleet whose routers all start the
	// same part. Where a workspace suddenly requests more, Pace is the growth of
	// what this router starts. It is 1 before the fleet has started anything.
	Pace float64
	// Least is what the worst served workspace has of what it is due: its requests,
	// up to its share of all started tokens. Workspaces that are due less than
	// minLeastShare of such a share do not count.
	Least float64
}

// Fractions returns the fractions of a workspace for a throughput of rate tokens
// per second. A rate of 0 means that the throughput is not bounded.
//
// The throughput of a fleet that has just started counts only from its start
// and not for the whole window: engines prefill with empty caches, and nothing
// shows yet how far they have fallen behind.
func (l *Ledger) Fractions(now time.Time, w galenalatch.WorkspaceName, rate float64) Fractions {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fairShareRate != rate || now.Sub(l.fairShareAt) >= maxFairShareAge {
		l.updateFairShares(now, rate)
	}
	sum := l.sums[Key(w)]
	return Fractions{
		OfRate: fraction(sum.Started, l.rateFairShare), OfStarted: fraction(sum.Started, l.startedFairShare),
		Pace: l.pace(now, Key(w), sum), Least: l.least,
	}
}

// pace returns Fractions.Pace for a workspace with the given usage on all
// routers.
func (l *Ledger) pace(now time.Time, key uint32, sum Usage) float64 {
	a, ok := l.accounts[key]
	if !ok || sum.Requested <= 0 || sum.Started <= 0 {
		return 1
	}
	a.recent.decay(now)
	fleet := sum.Started / sum.Requested
	return max(a.recent.startedPart(fleet)/fleet, l.growth(now, a))
}

// growth returns how much more of a workspace this router starts than before,
// relative to all workspaces: after an outage all of them grow.
func (l *Ledger) growth(now time.Time, a *account) float64 {
	l.total.recent.decay(now)
	return a.growth(now, l.window) / max(l.total.growth(now, l.window), 1)
}

// updateFairShares computes the fair shares from the usage on all routers.
func (l *Ledger) updateFairShares(now time.Time, rate float64) {
	sums, aggregate := l.fleetUsage(now)
	l.sums = sums
	started := aggregate.Started
	for _, u := range l.sums {
		started += u.Started
	}
	l.startedFairShare = FairShare(l.sums, aggregate, started)
	l.rateFairShare = l.startedFairShare
	if rate > 0 {
		served := min(l.age(now)+initialCredit, l.window)
		l.rateFairShare = FairShare(l.sums, aggregate, rate*served.Seconds())
	}
	l.least = leastServed(l.sums, l.startedFairShare)
	l.fairShareAt, l.fairShareRate = now, rate
}

// leastServed returns Fractions.Least. It is 1 when no workspace counts.
func leastServed(usage map[uint32]Usage, fairShare float64) float64 {
	least := 1.0
	for _, u := range usage {
		if due := min(u.Requested, fairShare); due > minLeastShare*fairShare {
			least = min(least, u.Started/due)
		}
	}
	return least
}

func fraction(used, fairShare float64) float64 {
	if fairShare <= 0 {
		return 0
	}
	return used / fairShare
}
