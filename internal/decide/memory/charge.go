package memory

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Verdict is the answer to a charge.
type Verdict uint8

// The verdicts.
const (
	// Granted means that the bytes are charged.
	Granted Verdict = iota
	// Wait means that others were told to give way and the charge may be tried again
	// when bytes were given back.
	Wait
	// Refused means that the connection is to give way itself.
	Refused
)

// Charge charges n bytes to a connection before they are allocated.
func (b *Budget) Charge(now time.Time, c *Connection, n int64) (Verdict, []Departure) {
	if b == nil {
		return Granted, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.charge(now, c, n)
}

func (b *Budget) charge(now time.Time, c *Connection, n int64) (Verdict, []Departure) {
	if c.leaving != None || c.owner == nil {
		return Refused, nil
	}
	shortage, own, ok := b.shortage(c, n)
	switch {
	case !ok:
		return Refused, nil
	case shortage > 0:
		return b.collect(now, c, n, shortage, own)
	}
	b.grant(now, c, n)
	return Granted, nil
}

// TryCharge is Charge for bytes without which the connection can go on. It tells no one
// to give way.
func (b *Budget) TryCharge(now time.Time, c *Connection, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	shortage, _, ok := b.shortage(c, n)
	if c.leaving != None || c.owner == nil || shortage > 0 || !ok {
		return false
	}
	b.grant(now, c, n)
	return true
}

func (b *Budget) grant(now time.Time, c *Connection, n int64) {
	c.held += n
	c.progress = now
	b.used += n
	c.addWorkspace(n)
}

// shortage returns by how much the bytes that c asks for are too many: among all
// connections, or among those of its own workspace. It reports false if c asks for more
// than it may ever hold.
func (b *Budget) shortage(c *Connection, n int64) (bytes int64, own, ok bool) {
	limit, workspaceLimit := b.limits.Bytes, b.limits.Bytes/workspaceShare
	if c.held+n > SmallBytes {
		limit -= limit / smallShare
		workspaceLimit -= workspaceLimit / smallShare
	}
	over := c.workspace != nil && c.workspace.name != "" && c.workspace.held+n > workspaceLimit
	if over && b.used+n > limit-limit/calmShare {
		return c.workspace.held + n - workspaceLimit, true, c.held+n <= workspaceLimit
	}
	return b.used + n - limit, false, c.held+n <= limit
}

// collect tells connections to give way until they hold the bytes needed, only those of
// the workspace of c if own is set. It tells none if all of them together hold less.
func (b *Budget) collect(now time.Time, c *Connection, n, needed int64, own bool) (Verdict, []Departure) {
	var candidates []*Connection
	available := int64(0)
	for v := range b.connections {
		switch {
		case v == c || v.held == 0 || own && v.workspace != c.workspace:
		case v.leaving != None:
			needed -= v.held
		case yieldsBytes(now, v, c, n):
			candidates = append(candidates, v)
			available += v.held
		}
	}
	if available < needed {
		return Refused, nil
	}
	slices.SortFunc(candidates, func(v, w *Connection) int { return compare(now, v, w) })
	var told []Departure
	for _, v := range candidates {
		if needed <= 0 {
			break
		}
		needed -= v.held
		told = append(told, b.tell(v, Needed))
	}
	return Wait, told
}

// Release gives back n bytes.
func (b *Budget) Release(c *Connection, n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(c, n)
}

func (b *Budget) release(c *Connection, n int64) {
	n = min(n, c.held)
	b.used -= n
	c.addWorkspace(-n)
	c.held -= n
}

func (c *Connection) addWorkspace(n int64) {
	if c.workspace != nil {
		c.workspace.held += n
	}
}

// joinWorkspace counts what c holds for a workspace.
func (b *Budget) joinWorkspace(c *Connection, name galenalatch.WorkspaceName) {
	b.leaveWorkspace(c)
	w, ok := b.workspaces[name]
	if !ok {
		w = &workspace{name: name}
		b.workspaces[name] = w
	}
	w.held += c.held
	w.requests++
	c.workspace = w
}

// leaveWorkspace undoes joinWorkspace. A workspace without requests is forgotten.
func (b *Budget) leaveWorkspace(c *Connection) {
	w := c.workspace
	if w == nil {
		return
	}
	c.workspace = nil
	w.held -= c.held
	w.requests--
	if w.requests == 0 && w.name != "" {
		delete(b.workspaces, w.name)
	}
}

// workspaceHeld returns what the workspace of c holds.
func (c *Connection) workspaceHeld() int64 {
	if c.workspace == nil {
		return 0
	}
	return c.workspace.held
}

// begin starts a stage.
func (c *Connection) begin(s Stage, now time.Time) {
	c.stage, c.since, c.progress = s, now, now
}

// incomplete reports whether the request was not read completely.
func (c *Connection) incomplete() bool { return c.stage == Head || c.stage == Body }

// stalled reports whether the caller makes no progress.
func (c *Connection) stalled(now time.Time) bool {
	if !c.blocked.IsZero() {
		return now.Sub(c.blocked) >= unreadTime
	}
	return c.incomplete() && now.Sub(c.progress) >= stallTime
}

// yieldsPlace reports whether the connection gives way to a new one.
func (c *Connection) yieldsPlace(now time.Time) bool {
	switch {
	case !c.blocked.IsZero():
	case c.stage == Waiting && c.kept:
		return now.Sub(c.since) >= keptTime
	case c.stage == Waiting, c.stage == Head:
		return now.Sub(c.since) >= newTime
	}
	return c.stalled(now)
}

// yieldsPlaceBefore reports whether c gives way to a new connection before o does:
// connections without a request first, of these the ones that never had one, then the
// one that is longest in its stage.
func (c *Connection) yieldsPlaceBefore(o *Connection) bool {
	if c.stage != o.stage {
		return c.stage < o.stage
	}
	if c.stage == Waiting && c.kept != o.kept {
		return o.kept
	}
	return c.since.Before(o.since)
}

// yieldsBytes reports whether v gives way to c, which needs n bytes. A small request
// has precedence over a large one, and a workspace that holds less over one that would
// still hold as much.
func yieldsBytes(now time.Time, v, c *Connection, n int64) bool {
	switch {
	case v.stalled(now):
		return true
	case !v.incomplete():
		return false
	case c.held+n <= SmallBytes && v.held > 2*SmallBytes:
		return true
	}
	return v.workspace != c.workspace && v.workspaceHeld()-v.held >= c.workspaceHeld()+n
}

// compare orders connections by who gives way first.
func compare(now time.Time, v, w *Connection) int {
	if a, o := v.stalled(now), w.stalled(now); a != o {
		if a {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(w.workspaceHeld(), v.workspaceHeld()), cmp.Compare(w.held, v.held))
}

// late returns why the progress of a connection is below the least, or None.
func (l Limits) late(now time.Time, c *Connection) Cause {
	if l.AnswerStall > 0 && !c.blocked.IsZero() && now.Sub(c.blocked) >= l.AnswerStall {
		return UnreadAnswer
	}
	if c.stage != Body || l.BodyRate <= 0 {
		return None
	}
	allowed := l.BodyGrace + time.Duration(float64(c.held)/float64(l.BodyRate)*float64(time.Second))
	if now.Sub(c.since) >= allowed {
		return SlowBody
	}
	return None
}
