package ingress

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/memory"
)

const (
	// chargeWait bounds how long a charge waits for others that give way.
	chargeWait = 250 * time.Millisecond
	// abandonTime bounds how long net/http discards what follows of a body after a
	// refusal.
	abandonTime = time.Second
	// lineBytes is what a line of a head costs beside its text, which is held twice while
	// it is read.
	lineBytes  = 160
	textCopies = 2
	// freeHeadBytes is what the head of a request costs without a charge. It is a part
	// of memory.ConnectionBytes.
	freeHeadBytes = 12 << 10
	// maxWrite is the largest write to a caller, so that progress shows in a long answer.
	maxWrite = 64 << 10
)

// releases tells those who wait for memory that some was given back.
type releases struct {
	waiting atomic.Int64
	mu      sync.Mutex
	next    chan struct{}
}

// wait returns a channel that is closed at the next release.
func (r *releases) wait() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = make(chan struct{})
	}
	return r.next
}

// announce tells of a release.
func (r *releases) announce() {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != nil {
		close(r.next)
		r.next = nil
	}
}

// Account is what the connection of a request holds of the memory for callers. The zero
// Account has no limits.
type Account struct {
	conn *callerConn
}

// AccountOf returns the account of the request with the context ctx. Requests that
// another server accepted have the zero Account.
func AccountOf(ctx context.Context) Account {
	c, _ := ctx.Value(connectionKey{}).(*callerConn)
	return Account{c}
}

// BeginBody records that the body of a request of the workspace is read next, which
// arrived at the given time, and charges its first n bytes as Charge does.
func (a Account) BeginBody(arrival time.Time, w galenalatch.WorkspaceName, n int64) error {
	if a.conn == nil {
		return nil
	}
	v, told := a.conn.budget().BeginBody(arrival, &a.conn.account, w, n)
	if v == memory.Granted {
		return nil
	}
	tellAll(told)
	return a.Charge(n)
}

// EndBody records that the body was read completely.
func (a Account) EndBody() error {
	if a.conn == nil {
		return nil
	}
	a.conn.bodyRead = true
	if a.conn.budget().EndBody(&a.conn.account) {
		return nil
	}
	return a.Err()
}

// AbandonBody bounds the time for the rest of a body that the handler does not read.
func (a Account) AbandonBody() {
	if a.conn != nil {
		// An error means that the connection is closed.
		_ = a.conn.SetReadDeadline(time.Now().Add(abandonTime))
	}
}

// Charge charges n bytes that are to be allocated. It waits a short time for others
// that give way. After an error, of KindMemoryShort or KindBodyTimeout, the request must
// be refused.
func (a Account) Charge(n int64) error {
	if a.conn == nil || a.conn.charge(n) {
		return nil
	}
	if err := a.Err(); err != nil {
		return err
	}
	return galenalatch.KindMemoryShort.Errorf("no memory for %d bytes more", n)
}

// TryCharge is Charge for bytes without which the request can go on.
func (a Account) TryCharge(n int64) bool {
	return a.conn == nil || a.conn.budget().TryCharge(time.Now(), &a.conn.account, n)
}

// Release gives back n bytes before the end of the request, which gives back all.
func (a Account) Release(n int64) {
	if a.conn == nil {
		return
	}
	a.conn.budget().Release(&a.conn.account, n)
	a.conn.server.releases.announce()
}

// Err returns why the connection gives way, or nil if it does not.
func (a Account) Err() error {
	if a.conn == nil {
		return nil
	}
	switch a.conn.budget().Leaving(&a.conn.account) {
	case memory.None:
		return nil
	case memory.SlowBody:
		return galenalatch.KindBodyTimeout.Errorf("the body arrives too slowly")
	}
	return galenalatch.KindMemoryShort.Errorf("others need the memory that the request holds")
}

// budget returns the memory for callers. It is nil if there are no limits.
func (c *callerConn) budget() *memory.Budget { return c.server.Memory }

// charge charges n bytes and reports whether they may be allocated.
func (c *callerConn) charge(n int64) bool {
	v, told := c.budget().Charge(time.Now(), &c.account, n)
	if v != memory.Wait {
		return v == memory.Granted
	}
	tellAll(told)
	r := &c.server.releases
	r.waiting.Add(1)
	defer r.waiting.Add(-1)
	limit := time.NewTimer(chargeWait)
	defer limit.Stop()
	for {
		released := r.wait()
		v, told := c.budget().Charge(time.Now(), &c.account, n)
		if v != memory.Wait {
			return v == memory.Granted
		}
		tellAll(told)
		select {
		case <-released:
		case <-limit.C:
			return false
		}
	}
}

func tellAll(told []memory.Departure) {
	for _, d := range told {
		d.Tell()
	}
}

// GiveWay implements memory.Owner. A body ends with an error of its reader, so that the
// request is refused; a connection without a request ends unless one has arrived; others
// are closed.
func (c *callerConn) GiveWay(s memory.Stage, _ memory.Cause) {
	switch s {
	case memory.Waiting:
		c.endUnused()
	case memory.Body:
		// An error means that the connection is closed.
		_ = c.SetReadDeadline(passedDeadline)
	default:
		// Nothing more can be done for a connection that does not close.
		_ = c.Conn.Close()
	}
}

// chargeHead charges the bytes of a head before net/http keeps them. It reports false
// if the connection must end.
func (c *callerConn) chargeHead(b []byte) bool {
	cost := int64(textCopies*len(b) + lineBytes*bytes.Count(b, []byte("\n")))
	total := c.headCost.Add(cost)
	if total <= freeHeadBytes {
		return true
	}
	return c.charge(min(cost, total-freeHeadBytes))
}

// Write implements io.Writer.
func (c *callerConn) Write(b []byte) (int, error) {
	written := 0
	for {
		c.writes.Add(1)
		n, err := c.Conn.Write(b[:min(len(b), maxWrite)])
		c.writes.Add(1)
		written += n
		b = b[n:]
		if err != nil || len(b) == 0 {
			return written, err
		}
	}
}

// observeWrites records since when a write makes no progress. The kernel may take bytes
// from a caller that reads slowly long before it wakes the writer, so that progress is
// that of its queue.
func (c *callerConn) observeWrites(now time.Time) {
	writes, queued, since := c.writes.Load(), 0, time.Time{}
	if writes%2 == 1 && writes == c.observedWrites {
		queued, since = c.queued(), c.blockedSince
		if since.IsZero() || queued != c.observedQueue {
			since = now
		}
	}
	c.observedWrites, c.observedQueue = writes, queued
	if since.Equal(c.blockedSince) {
		return
	}
	c.blockedSince = since
	c.budget().SetBlocked(&c.account, since)
}

// Sweep ends connections whose caller makes too little progress. It must be called at
// regular intervals, from one goroutine.
func (s *Server) Sweep(now time.Time) {
	s.mu.Lock()
	for c := range s.conns {
		c.observeWrites(now)
	}
	s.mu.Unlock()
	tellAll(s.Memory.Expire(now))
}
