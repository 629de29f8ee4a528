// Package quarantine finds the prompt parts that crash backend servers and holds
// requests with them back.
//
// Such a part crashes a server when the server begins the response, whatever else
// the prompt contains. When a server has crashed, each of its requests without a
// first event makes the parts of its prompt suspects of that crash. The first event
// of any request clears its parts, since a request with the crashing part never gets
// one. What remains are the crashes that a part can explain. The routers exchange
// them, because in a large fleet no router sees two crashes by itself.
//
// For each part and crash the state only advances: waiting, begun, cleared. So the
// lists of all routers become equal, in whatever order messages arrive. The package
// reads no clock: all times are passed in.
package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
)

const (
	// waitingPoints and begunPoints are the weights of a crash for a part whose
	// request waited for its answer or whose answer had begun. Requests that wait
	// are mostly innocent. holdPoints is the sum from which a part is held: two
	// crashes with a begun answer, or three without.
	waitingPoints = 2
	begunPoints   = 3
	holdPoints    = 2 * begunPoints
	// maxSuspects and maxCrashes bound the list and the crashes of one part.
	maxSuspects = 512
	maxCrashes  = 32
	// suspicionTime is how long the crashes of a part that is not held are kept,
	// clearedTime that for a part of which all are cleared, so that routers with
	// older lists learn of it.
	suspicionTime = 10 * time.Minute
	clearedTime   = time.Minute
	// firstTrial is the time after the newest crash at which one request with a
	// held part is let through. It doubles with each of maxTrials trials, each of
	// which may crash a server.
	firstTrial = 5 * time.Minute
	maxTrials  = 2
)

// Options configure a List.
type Options struct {
	// Owner reports whether this router, and no other one, may let a request with
	// a held part through as a trial.
	Owner func(part uint64) bool
	// Held is called when a part is held, with the number of its crashes. Its
	// name is empty if this router has seen no request with it. Released is called
	// when it is no longer held. They must not block or call the list.
	Held     func(part uint64, name string, crashes int)
	Released func(part uint64, name string)
}

// Crash is the crash of a server as seen by one of its requests without a first event.
type Crash struct {
	// Server and Started identify the process that has crashed.
	Server  galenalatch.ServerID
	Started int64
	Model   string
	// Parts are the parts of the prompt that other requests may have in common.
	Parts []galenalatch.PromptPart
	// Begun is set when the head of the answer was received.
	Begun bool
}

// List holds the suspected prompt parts. It is safe for concurrent use.
type List struct {
	Options
	mu       sync.Mutex
	suspects map[uint64]*suspect
	// begun is the number of suspects whose answer had begun at a crash.
	begun   map[uint32]int
	sentAll time.Time
}

// New returns a list without suspects.
func New(o Options) *List {
	return &List{Options: o, suspects: make(map[uint64]*suspect), begun: make(map[uint32]int)}
}

// Key returns the hash that identifies a part of prompts for a model.
func Key(model, part string) uint64 {
	d := xxhash.New()
	// A digest never returns an error.
	_, _ = d.WriteString(model + "\x00" + part)
	return d.Sum64()
}

// RecordCrash makes the parts suspects of a crash.
func (l *List) RecordCrash(now time.Time, c Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := galenalatch.CrashWaiting
	if c.Begun {
		state = galenalatch.CrashBegun
	}
	for _, p := range c.Parts {
		key := Key(c.Model, p.ID)
		s := l.suspect(now, key)
		if s == nil {
			continue
		}
		s.name = p.ID
		if l.advance(s, c.Server.ProcessKey(c.Started), state) {
			s.newest, s.changed = now, true
			l.report(key, s)
		}
	}
}

// RecordFirstEvent clears the parts of a request that got the first event of its
// answer.
func (l *List) RecordFirstEvent(model string, parts []galenalatch.PromptPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suspects) == 0 {
		return
	}
	for _, p := range parts {
		key := Key(model, p.ID)
		if s, ok := l.suspects[key]; ok && l.clear(s) {
			s.changed = true
			l.report(key, s)
		}
	}
}

// Expire removes suspects that are neither held nor new.
func (l *List) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.suspects {
		age := now.Sub(s.newest)
		if s.cleared() && age > clearedTime || !s.held && age > suspicionTime {
			l.remove(key)
		}
	}
}

// remove removes a suspect.
func (l *List) remove(key uint64) {
	for crash, state := range l.suspects[key].crashes {
		l.countBegun(crash, state, galenalatch.CrashCleared)
	}
	delete(l.suspects, key)
}

// suspect returns the entry of a part. In a full list it replaces the oldest one that
// is not held, and returns nil when all are held.
func (l *List) suspect(now time.Time, key uint64) *suspect {
	if s, ok := l.suspects[key]; ok {
		return s
	}
	if len(l.suspects) >= maxSuspects && !l.evict() {
		return nil
	}
	s := &suspect{crashes: make(map[uint32]galenalatch.CrashState), newest: now}
	l.suspects[key] = s
	return s
}

// evict removes the oldest suspect that is not held.
func (l *List) evict() bool {
	var oldest *suspect
	var oldestKey uint64
	for key, s := range l.suspects {
		if !s.held && (oldest == nil || s.newest.Before(oldest.newest)) {
			oldest, oldestKey = s, key
		}
	}
	if oldest == nil {
		return false
	}
	l.remove(oldestKey)
	return true
}

// advance sets the state of a crash for a suspect unless it is as far already. It
// reports whether it has changed. A suspect with maxCrashes crashes takes no more.
func (l *List) advance(s *suspect, crash uint32, state galenalatch.CrashState) bool {
	old, ok := s.crashes[crash]
	if state <= old || !ok && len(s.crashes) >= maxCrashes {
		return false
	}
	s.crashes[crash] = state
	l.countBegun(crash, old, state)
	return true
}

// clear clears all crashes of a suspect. It reports whether there were any.
func (l *List) clear(s *suspect) bool {
	changed := false
	for crash := range s.crashes {
		changed = l.advance(s, crash, galenalatch.CrashCleared) || changed
	}
	return changed
}

// countBegun updates begun for a change of the state of a crash.
func (l *List) countBegun(crash uint32, from, to galenalatch.CrashState) {
	if to == galenalatch.CrashBegun {
		l.begun[crash]++
	}
	if from != galenalatch.CrashBegun {
		return
	}
	l.begun[crash]--
	if l.begun[crash] == 0 {
		delete(l.begun, crash)
	}
}

// report calls Held or Released when the state of a part has changed.
func (l *List) report(key uint64, s *suspect) {
	held := l.points(s) >= holdPoints
	if held == s.held {
		return
	}
	s.held = held
	if held {
		l.Held(key, s.name, s.open())
		return
	}
	l.Released(key, s.name)
}
