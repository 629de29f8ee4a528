package quarantine

import (
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Finding says why a request is held back.
type Finding struct {
	// Part is the id of the part.
	Part string
	// Crashes is the number of crashes that no other part explains, Age the
	// time since the newest one.
	Crashes int
	Age     time.Duration
	// Trial is set for a request that is not held back, to find out whether the
	// part is sound.
	Trial bool
}

// Check reports whether a request with these parts must be held back.
//
// Several parts of a prompt may explain the same crashes: those that all requests
// with the crashing part have in common. A part counts only with the crashes that no other
// suspect explains as well which the request lacks. So requests with only one of
// the parts are still sent, and clear it by their first event.
func (l *List) Check(now time.Time, model string, parts []galenalatch.PromptPart) (Finding, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suspects) == 0 {
		return Finding{}, false
	}
	keys := make([]uint64, len(parts))
	for i, p := range parts {
		keys[i] = Key(model, p.ID)
	}
	for i, key := range keys {
		s, ok := l.suspects[key]
		if !ok || l.points(s) < holdPoints {
			continue
		}
		if n, points := l.unexplained(s, keys); points >= holdPoints {
			if s.trialDue(now) && l.Owner(key) {
				s.trials++
				s.newest, s.changed = now, true
				return Finding{Trial: true}, false
			}
			return Finding{Part: parts[i].ID, Crashes: n, Age: now.Sub(s.newest)}, true
		}
	}
	return Finding{}, false
}

// unexplained returns the crashes of a part and their points without those that
// another suspect, which is not among the keys, explains as well.
func (l *List) unexplained(s *suspect, keys []uint64) (crashes, points int) {
	enough := min(l.points(s), holdPoints)
	explained := make(map[uint32]bool)
	for key, other := range l.suspects {
		if slices.Contains(keys, key) || l.points(other) < enough {
			continue
		}
		if other.open() >= maxCrashes {
			// It may have caused crashes for which it has no room.
			return 0, 0
		}
		for crash := range other.crashes {
			if l.pointsOf(other, crash) > 0 {
				explained[crash] = true
			}
		}
	}
	for crash := range s.crashes {
		if n := l.pointsOf(s, crash); n > 0 && !explained[crash] {
			crashes++
			points += n
		}
	}
	return crashes, points
}

// points returns the weight of all crashes of a part.
func (l *List) points(s *suspect) int {
	sum := 0
	for crash := range s.crashes {
		sum += l.pointsOf(s, crash)
	}
	return sum
}

// pointsOf returns the weight of one crash of a part. A request that waited is
// innocent where the answer of another suspect had begun.
func (l *List) pointsOf(s *suspect, crash uint32) int {
	switch s.crashes[crash] {
	case galenalatch.CrashBegun:
		return begunPoints
	case galenalatch.CrashWaiting:
		if l.begun[crash] == 0 {
			return waitingPoints
		}
	}
	return 0
}
