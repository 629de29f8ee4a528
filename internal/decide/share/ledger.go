// Package share divides the fleet's throughput between workspaces: each gets
// what it asks up to the same level, the max-min share.
//
// Routers count what workspaces ask of them and what they begin, and tell
// each other the sums of a short window. No router decides for another.
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
	// slots is the number of parts of the window.
	slots = 16
	// maxRemoteAge is the age after which another router's sums are ignored.
	maxRemoteAge = 2 * time.Second
	// levelTime is how long a computed level is used.
	levelTime = 50 * time.Millisecond
	// headStart is the time for whose throughput the fleet may begin work
	// ahead: engines take on what they can begin within an aim.
	headStart = 500 * time.Millisecond
)

// Use is what a workspace asked and what was begun for it, in tokens.
type Use struct {
	Asked float64
	Begun float64
}

// Others are workspaces whose uses are known as a sum only. Each of them is
// judged by what else is known of it, which is less than it had.
type Others struct {
	Count int
	Use
}

// Ledger counts the uses of workspaces. It is safe for concurrent use.
type Ledger struct {
	window time.Duration

	mu       sync.Mutex
	accounts map[uint32]*window.Ring[Use]
	remote   map[galenalatch.RouterID]remoteUse
	// began is when the fleet began to serve, as far as it is known here.
	began time.Time
	// sums are the uses on all routers at levelAt, with own ones since.
	// level is the max-min share of the throughput, begunLevel that of all
	// that was begun.
	sums       map[uint32]Use
	level      float64
	begunLevel float64
	levelAt    time.Time
	levelFor   float64
}

type remoteUse struct {
	at     time.Time
	uses   map[uint32]Use
	others Others
}

// New returns a ledger with a window of a length.
func New(length time.Duration) *Ledger {
	return &Ledger{window: length, accounts: make(map[uint32]*window.Ring[Use]), remote: make(map[galenalatch.RouterID]remoteUse)}
}

// Key returns the short name of a workspace.
func Key(w galenalatch.WorkspaceName) uint32 {
	return uint32(xxhash.Sum64String(string(w)))
}

// Add counts tokens that a workspace asked for or that were begun for it.
func (l *Ledger) Add(now time.Time, w galenalatch.WorkspaceName, u Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now)
	a, ok := l.accounts[Key(w)]
	if !ok {
		a = window.New[Use](l.window/slots, slots)
		l.accounts[Key(w)] = a
	}
	part := a.Part(now)
	part.Asked += u.Asked
	part.Begun += u.Begun
	if l.sums != nil {
		sum := l.sums[Key(w)]
		l.sums[Key(w)] = Use{Asked: sum.Asked + u.Asked, Begun: sum.Begun + u.Begun}
	}
}

// begin takes a time at which the fleet served.
func (l *Ledger) begin(at time.Time) {
	if l.began.IsZero() || at.Before(l.began) {
		l.began = at
	}
}

// Age returns for how long the fleet has served, at most the window.
func (l *Ledger) Age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.age(now)
}

func (l *Ledger) age(now time.Time) time.Duration {
	if l.began.IsZero() {
		return 0
	}
	return min(now.Sub(l.began), l.window)
}

// Own returns the uses on this router within the window.
func (l *Ledger) Own(now time.Time) map[uint32]Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own(now)
}

func (l *Ledger) own(now time.Time) map[uint32]Use {
	uses := make(map[uint32]Use, len(l.accounts))
	for k, a := range l.accounts {
		var u Use
		for part := range a.All(now) {
			u.Asked += part.Asked
			u.Begun += part.Begun
		}
		if u.Asked > 0 || u.Begun > 0 {
			uses[k] = u
		} else {
			delete(l.accounts, k)
		}
	}
	return uses
}

// SetRemote records the uses on another router: those of the workspaces that
// asked most, and of the others together. The other router has known for the
// time of age that the fleet serves.
func (l *Ledger) SetRemote(now time.Time, r galenalatch.RouterID, uses map[uint32]Use, others Others, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(uses) > 0 {
		l.begin(now.Add(-age))
	}
	l.remote[r] = remoteUse{at: now, uses: uses, others: others}
}

// fleet returns the uses on all routers.
func (l *Ledger) fleet(now time.Time) (map[uint32]Use, Others) {
	uses := l.own(now)
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

// Fractions return what was begun for a workspace within the window as a
// fraction of its max-min share: ofRate of the throughput of rate tokens a
// second, or of what the fleet began where that is less, and ofBegun of all
// that the fleet began. Workspaces below 1 have room in their share. A rate of
// 0 is no bound.
//
// A fleet that has just begun to serve has not had the throughput of the whole
// window yet: engines read with empty caches, and nothing shows how far they
// have fallen behind.
func (l *Ledger) Fractions(now time.Time, w galenalatch.WorkspaceName, rate float64) (ofRate, ofBegun float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.levelFor != rate || now.Sub(l.levelAt) >= levelTime {
		sums, others := l.fleet(now)
		l.sums = sums
		begun := others.Begun
		for _, u := range l.sums {
			begun += u.Begun
		}
		l.begunLevel = Level(l.sums, others, begun)
		l.level = l.begunLevel
		if served := min(l.age(now)+headStart, l.window); rate > 0 && rate*served.Seconds() < begun {
			l.level = Level(l.sums, others, rate*served.Seconds())
		}
		l.levelAt, l.levelFor = now, rate
	}
	if l.level <= 0 {
		return 0, 0
	}
	had := l.sums[Key(w)].Begun
	return had / l.level, had / l.begunLevel
}

// Level returns the amount up to which every workspace gets what it asks
// when capacity is shared max-min fairly. It is the capacity itself when all
// requests fit. Each of the others counts as asking their mean.
func Level(uses map[uint32]Use, others Others, capacity float64) float64 {
	asked := make([]float64, 0, len(uses)+others.Count)
	for _, u := range uses {
		asked = append(asked, u.Asked)
	}
	for range others.Count {
		asked = append(asked, others.Asked/float64(others.Count))
	}
	slices.Sort(asked)
	left := capacity
	for i, a := range asked {
		even := left / float64(len(asked)-i)
		if a > even {
			return even
		}
		left -= a
	}
	return capacity
}
