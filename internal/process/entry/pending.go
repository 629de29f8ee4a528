package entry

import (
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
)

// pending is a request that waits for a grant.
type pending struct {
	request galenalatch.Request
	record  galenalatch.Waiting
	since   time.Time
	// holder is the dispatcher that knows the request; its zero value means
	// that none does.
	holder galenalatch.Holder
	sent   time.Time

	granted chan galenalatch.Grant
	refused chan galenalatch.Refuse
}

// waiting returns the record with its present age.
func (p *pending) waiting(now time.Time) galenalatch.Waiting {
	w := p.record
	w.AgeMillis = now.Sub(p.since).Milliseconds()
	return w
}

// running is a request that uses a grant.
type running struct {
	request galenalatch.Request
	grant   galenalatch.Grant
	record  galenalatch.Waiting
	units   atomic.Int64
	// charged is the cost that the dispatcher knows of, told when it was
	// last told. Both are guarded by the entry's mutex.
	charged int64
	told    time.Time
}

// confirmEvery is the longest time between two messages to the dispatcher
// about a running request. The dispatcher asks after a longer silence.
const confirmEvery = 5 * time.Second

// news reports whether the dispatcher must be told of the request now: it was
// not told yet, or for long, or the cost has passed the charge by an eighth.
func (r *running) news(now time.Time) bool {
	charged := max(r.charged, r.record.Estimate)
	return now.Sub(r.told) >= confirmEvery || r.units.Load() > charged+charged/8
}

func (r *running) raise(units int64) {
	for {
		old := r.units.Load()
		if units <= old || r.units.CompareAndSwap(old, units) {
			return
		}
	}
}

func (r *running) report() galenalatch.Running {
	return galenalatch.Running{
		Request:    r.request.ID,
		Workspace:  r.request.Workspace,
		Class:      r.request.Class,
		Server:     r.grant.Server,
		Boot:       r.grant.Boot,
		Estimate:   r.record.Estimate,
		Units:      r.units.Load(),
		Home:       r.grant.Cell,
		Slot:       r.grant.Slot,
		ServerCell: r.grant.ServerCell,
		Serial:     r.grant.Serial,
	}
}

// endedKey identifies a grant that was used.
type endedKey struct {
	request galenalatch.RequestID
	cell    galenalatch.CellID
	serial  uint64
}

// endedFor is how long the end of a grant is kept, so that a dispatcher that
// missed it can ask.
const endedFor = 30 * time.Second

// finished is the end of a grant with the time until which it is kept.
type finished struct {
	message galenalatch.Finish
	until   time.Time
}

// queue adds a request to the table and asks for a grant.
func (e *Entry) queue(r galenalatch.Request) *pending {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	q := &pending{
		request: r,
		record: galenalatch.Waiting{
			Request:   r.ID,
			Workspace: r.Workspace,
			Class:     r.Class,
			Estimate:  r.Estimate,
			Prefix:    r.Prefix,
			Bytes:     int64(len(r.Body)),
		},
		since:   now,
		granted: make(chan galenalatch.Grant, 1),
		refused: make(chan galenalatch.Refuse, 1),
	}
	e.pending[r.ID] = q
	e.place(now, q)
	return q
}

// withdraw removes a request that needs no grant any more. It reports whether
// no dispatcher knew the request. A grant that has just arrived is returned.
func (e *Entry) withdraw(p *pending) (homeless bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, p.request.ID)
	select {
	case g := <-p.granted:
		delete(e.running, g.Request)
		e.sendFinish(galenalatch.Finish{Cell: g.Cell, Request: g.Request, Serial: g.Serial, Outcome: galenalatch.NotRun})
	default:
	}
	if p.holder.Router == "" {
		return true
	}
	e.options.Send(p.holder.Router, galenalatch.Withdraw{Cell: p.holder.Cell, Request: p.request.ID})
	return false
}

// resendAfter is how long the entry waits before it repeats an Enqueue, in
// case the message or the grant was lost.
const resendAfter = 2 * time.Second

// place sends a waiting request to the dispatcher of its home cell: the first
// cell in the workspace's order that has a reachable holder.
func (e *Entry) place(now time.Time, p *pending) {
	h, ok := e.home(p.request.Workspace, p.request.Pool)
	if !ok {
		p.holder = galenalatch.Holder{}
		return
	}
	if h == p.holder && now.Sub(p.sent) < resendAfter {
		return
	}
	if p.holder.Router != "" && h.Cell != p.holder.Cell {
		e.options.Send(p.holder.Router, galenalatch.Withdraw{Cell: p.holder.Cell, Request: p.request.ID})
	}
	p.holder = h
	p.sent = now
	e.ask(now, h)
	e.options.Send(h.Router, galenalatch.Enqueue{Cell: h.Cell, Waiting: p.waiting(now)})
}

func (e *Entry) home(w galenalatch.WorkspaceName, p galenalatch.PoolName) (galenalatch.Holder, bool) {
	for _, c := range e.options.Directory().Homes(w, p) {
		if h, ok := e.options.Holder(c); ok && e.options.Reachable(h.Router) {
			return h, true
		}
	}
	return galenalatch.Holder{}, false
}

// started returns the running record of a granted request.
func (e *Entry) started(g galenalatch.Grant) *running {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[g.Request]
}

// end removes a running request and tells its dispatcher.
func (e *Entry) end(g galenalatch.Grant, units int64, err error) {
	f := galenalatch.Finish{
		Cell:      g.Cell,
		Request:   g.Request,
		Serial:    g.Serial,
		Units:     units,
		Outcome:   galenalatch.Answered,
		Completed: err == nil,
	}
	if err != nil {
		f.Outcome = galenalatch.OutcomeOf(err)
		f.Failed = serverFailed[galenalatch.KindOf(err)]
		f.Unreached = galenalatch.KindOf(err) == galenalatch.KindServerUnreached
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, g.Request)
	k := endedKey{g.Request, g.Cell, g.Serial}
	e.ended[k] = finished{f, time.Now().Add(endedFor)}
	e.sendFinish(f)
}

// serverFailed holds the kinds that show a failed or restarted server.
var serverFailed = map[galenalatch.Kind]bool{
	galenalatch.KindBootMismatch: true,
	galenalatch.KindServerBroke:  true,
	galenalatch.KindStreamBroke:  true,
}

// sendFinish tells the present holder of the cell. When there is none, the
// message is kept for a while.
func (e *Entry) sendFinish(f galenalatch.Finish) {
	if h, ok := e.options.Holder(f.Cell); ok && e.options.Send(h.Router, f) {
		return
	}
	e.unsent = append(e.unsent, finished{f, time.Now().Add(10 * time.Second)})
}
