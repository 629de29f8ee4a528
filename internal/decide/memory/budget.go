// Package memory decides which callers hold the memory of a process and which of them
// give way when it runs short.
//
// It answers crowds of callers that send bodies or heads and stop before the end, open
// connections without requests, or read no answers. What a caller holds is charged before
// it is allocated. Requests that are complete keep what they hold. Those that are
// incomplete and make no progress give way first, then those of the workspace that holds
// most; a part is left to small requests. Time is passed in, and nothing waits here: the
// caller of the package closes the connections that give way.
package memory

import (
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Stage is what a connection is doing.
type Stage uint8

// The stages of a connection.
const (
	// Waiting means that no byte of the next request was read.
	Waiting Stage = iota
	// Head means that a part of the head was read.
	Head
	// Body means that the body is being read.
	Body
	// Running means that the request is complete.
	Running
)

// Cause is why a connection gives way.
type Cause uint8

// The causes.
const (
	// None means that the connection does not give way.
	None Cause = iota
	// Needed means that others need what the connection holds.
	Needed
	// SlowBody means that a body arrives below the least progress.
	SlowBody
	// UnreadAnswer means that the caller reads no answer.
	UnreadAnswer
)

// String returns the name of the cause in metrics and log lines.
func (c Cause) String() string {
	return [...]string{"none", "needed", "slowBody", "unreadAnswer"}[c]
}

// Connection is the account of one connection. Its fields belong to its Budget.
type Connection struct {
	stage Stage
	// workspace is that of the request; nil before it is known.
	workspace *workspace
	// since is the start of the stage, progress the time of the last progress in it.
	since, progress time.Time
	// blocked is since when a write of an answer makes no progress; zero if none does.
	blocked time.Time
	held    int64
	// kept is set when the connection has had a request.
	kept bool
	// leaving is set when the connection was told to give way.
	leaving Cause
	// owner closes the connection or ends its request. It is nil for a connection that
	// is not open.
	owner Owner
}

// Owner ends what a connection does. GiveWay must not block, and must not be called
// with a lock that its implementation needs. The stage is that in which the connection
// was chosen, Running for one whose caller reads no answer.
type Owner interface {
	GiveWay(Stage, Cause)
}

// Departure is a connection that is to give way, with the stage in which it was chosen.
type Departure struct {
	owner Owner
	stage Stage
	cause Cause
}

// Tell tells the connection to give way.
func (d Departure) Tell() { d.owner.GiveWay(d.stage, d.cause) }

// Budget is the memory that callers hold. It is safe for concurrent use. A nil Budget
// has no limits.
type Budget struct {
	limits Limits

	mu          sync.Mutex
	connections map[*Connection]struct{}
	used        int64
	workspaces  map[galenalatch.WorkspaceName]*workspace
	departures  map[Cause]int64
}

// workspace is what the requests of one workspace hold, with the number of these.
type workspace struct {
	name     galenalatch.WorkspaceName
	held     int64
	requests int
}

// New returns a budget without connections.
func New(l Limits) *Budget {
	return &Budget{
		limits: l, connections: make(map[*Connection]struct{}),
		workspaces: make(map[galenalatch.WorkspaceName]*workspace), departures: make(map[Cause]int64),
	}
}

// Open adds a connection. If there are too many, others are told to give way; ok is
// false if none can, and the connection was not added.
func (b *Budget) Open(now time.Time, c *Connection, o Owner) (told []Departure, ok bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.connections) >= b.limits.Connections {
		if told = b.makeRoom(now); told == nil {
			return nil, false
		}
	}
	*c = Connection{since: now, progress: now, owner: o}
	b.connections[c] = struct{}{}
	return told, true
}

// makeRoom tells one connection to give way to a new one. Connections that were told
// before and are still open bound how many more may be told.
func (b *Budget) makeRoom(now time.Time) []Departure {
	if len(b.connections) >= b.limits.Connections+b.limits.Connections/8+1 {
		return nil
	}
	var chosen *Connection
	for c := range b.connections {
		if c.leaving == None && c.yieldsPlace(now) && (chosen == nil || c.yieldsPlaceBefore(chosen)) {
			chosen = c
		}
	}
	if chosen == nil {
		return nil
	}
	return []Departure{b.tell(chosen, Needed)}
}

// Close removes a connection and gives back all that it holds.
func (b *Budget) Close(c *Connection) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(c, c.held)
	b.leaveWorkspace(c)
	c.owner = nil
	delete(b.connections, c)
}

// BeginHead records that the first bytes of a request were read. A connection that was
// told to give way while it waited serves this request.
func (b *Budget) BeginHead(now time.Time, c *Connection) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.begin(Head, now)
	c.leaving = None
}

// BeginRequest records that the head is complete. It reports false if the connection
// was told to give way before.
func (b *Budget) BeginRequest(c *Connection) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.stage = Running
	return c.leaving == None
}

// BeginBody records that a body of the workspace is being read, and charges its first n
// bytes as Charge does.
func (b *Budget) BeginBody(now time.Time, c *Connection, w galenalatch.WorkspaceName, n int64) (Verdict, []Departure) {
	if b == nil {
		return Granted, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.owner == nil {
		return Refused, nil
	}
	b.joinWorkspace(c, w)
	if c.leaving == None {
		c.begin(Body, now)
	}
	return b.charge(now, c, n)
}

// EndBody records that the body was read completely. It reports false if the connection
// was told to give way before.
func (b *Budget) EndBody(c *Connection) bool {
	return b.BeginRequest(c)
}

// EndRequest gives back all that a connection holds and records that it waits for the
// next request.
func (b *Budget) EndRequest(now time.Time, c *Connection) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(c, c.held)
	b.leaveWorkspace(c)
	c.blocked = time.Time{}
	c.kept = true
	c.begin(Waiting, now)
}

// SetBlocked records since when a write to the caller makes no progress; zero means
// that none is blocked.
func (b *Budget) SetBlocked(c *Connection, since time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.blocked = since
}

// Expire tells connections to give way whose progress is below the least.
func (b *Budget) Expire(now time.Time) []Departure {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var told []Departure
	for c := range b.connections {
		cause := b.limits.late(now, c)
		if cause == None || c.leaving == cause || c.leaving != None && cause != UnreadAnswer {
			continue
		}
		told = append(told, b.tell(c, cause))
	}
	return told
}

// tell marks a connection as leaving.
func (b *Budget) tell(c *Connection, cause Cause) Departure {
	c.leaving = cause
	b.departures[cause]++
	stage := c.stage
	if !c.blocked.IsZero() && (stage != Body || cause == UnreadAnswer) {
		// The end of an answer may still be written when its request has ended. While a
		// body is read, the write is that of an interim response.
		stage = Running
	}
	return Departure{c.owner, stage, cause}
}

// Leaving returns why a connection was told to give way.
func (b *Budget) Leaving(c *Connection) Cause {
	if b == nil {
		return None
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.leaving
}

// Usage is the state of a budget.
type Usage struct {
	Connections int
	Bytes       int64
	// Departures is the number of connections that were told to give way.
	Departures map[Cause]int64
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{Connections: len(b.connections), Bytes: b.used, Departures: make(map[Cause]int64)}
	for _, c := range Causes {
		u.Departures[c] = b.departures[c]
	}
	return u
}

// Causes are all causes for which connections give way.
var Causes = []Cause{Needed, SlowBody, UnreadAnswer}
