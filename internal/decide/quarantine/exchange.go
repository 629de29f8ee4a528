package quarantine

import (
	"time"

	"github.com/galenalatch/galenalatch"
)

// resendInterval is the time between two messages with all crashes that are not
// cleared, for routers that missed a message.
const resendInterval = 5 * time.Second

// Changes returns what has changed since the last call, and from time to time all
// crashes that are not cleared. A message without parts need not be sent.
func (l *List) Changes(now time.Time) galenalatch.PromptSuspects {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := now.Sub(l.sentAll) >= resendInterval
	if all {
		l.sentAll = now
	}
	var m galenalatch.PromptSuspects
	for key, s := range l.suspects {
		if s.changed || all && !s.cleared() {
			s.changed = false
			m.Parts = append(m.Parts, s.message(now, key))
		}
	}
	return m
}

// ResendAll includes all crashes in the next changes, for a router that was not
// connected.
func (l *List) ResendAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentAll = time.Time{}
}

// Merge adds what another router has sent. With forward, new evidence is part of the
// next changes.
func (l *List) Merge(now time.Time, m galenalatch.PromptSuspects, forward bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range m.Parts {
		s := l.suspect(now.Add(-p.Age()), p.Part)
		if s == nil {
			continue
		}
		changed := l.merge(now, s, p)
		// A router with an older list learns of this one.
		s.changed = s.changed || changed && forward || s.ahead(p)
		l.report(p.Part, s)
	}
}

// message returns the entry of a part for other routers.
func (s *suspect) message(now time.Time, key uint64) galenalatch.SuspectPart {
	p := galenalatch.SuspectPart{Part: key, AgeSeconds: uint32(max(now.Sub(s.newest), 0) / time.Second), Trials: uint8(s.trials)}
	for crash, state := range s.crashes {
		p.Crashes = append(p.Crashes, galenalatch.PartCrash{Server: crash, State: state})
	}
	return p
}

// merge adds the entry of another router to a suspect and reports whether it held something new.
func (l *List) merge(now time.Time, s *suspect, p galenalatch.SuspectPart) bool {
	changed := false
	for _, c := range p.Crashes {
		if c.State <= galenalatch.CrashCleared && l.advance(s, c.Server, c.State) {
			changed = true
		}
	}
	if n := int(p.Trials); n > s.trials {
		s.trials, changed = n, true
	}
	if at := now.Add(-p.Age()); changed && at.After(s.newest) {
		s.newest = at
	}
	return changed
}

// ahead reports whether the suspect holds what the entry of another router lacks.
func (s *suspect) ahead(p galenalatch.SuspectPart) bool {
	states := make(map[uint32]galenalatch.CrashState, len(p.Crashes))
	for _, c := range p.Crashes {
		states[c.Server] = c.State
	}
	for crash, state := range s.crashes {
		if state > states[crash] {
			return true
		}
	}
	return s.trials > int(p.Trials)
}
