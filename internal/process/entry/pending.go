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
	// holder is the holder to which the request was last sent; the zero value
	// means none.
	holder galenalatch.Holder
	sent   time.Time

	granted chan galenalatch.Grant
	refused chan galenalatch.Refuse
}

// waiting returns the record of the request with its age at now.
func (p *pending) waiting(now time.Time) galenalatch.Waiting {
	w := p.record
	w.AgeMillis = now.Sub(p.since).Milliseconds()
	return w
}

// running is a request that holds a grant.
type running struct {
	request galenalatch.Request
	grant   galenalatch.Grant
	record  galenalatch.Waiting
	units   atomic.Int64
	// reportedUnits is the cost in the last Progress message, reportedAt the
	// time of that message. Both are guarded by Entry.mu.
	reportedUnits int64
	reportedAt    time.Time
}

// maxProgressInterval is the longest time between two Progress messages for a
// running request. The dispatcher asks for a request that was not reported for
// longer.
const maxProgressInterval = 5 * time.Second

// needsProgress reports whether the request must be in a Progress message now:
// the last one is missing or older than maxProgressInterval, or the cost exceeds
// the reported or estimated one by more than an eighth.
func (r *running) needsProgress(now time.Time) bool {
	known := max(r.reportedUnits, r.record.Estimate)
	return now.Sub(r.reportedAt) >= maxProgressInterval || r.units.Load() > known+known/8
}

// raiseUnits sets the cost to units unless it is higher already.
func (r *running) raiseUnits(units int64) {
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

// grantKey identifies a grant that was used.
type grantKey struct {
	request galenalatch.RequestID
	cell    galenalatch.CellID
	serial  uint64
}

// endedGrantRetention is how long the Finish of an ended grant is kept, so that
// it can be sent again to a dispatcher that missed it.
const endedGrantRetention = 30 * time.Second

// keptFinish is a Finish message with the time until which it is kept.
type keptFinish struct {
	message galenalatch.Finish
	until   time.Time
}

// enqueue adds a request to the pending ones and sends it to its home cell.
func (e *Entry) enqueue(r galenalatch.Request) *pending {
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
	e.assignHome(now, q)
	return q
}

// withdraw removes a pending request and returns a grant that has arrived in
// the meantime. It reports whether the request was assigned to no dispatcher.
func (e *Entry) withdraw(p *pending) (unassigned bool) {
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

// enqueueRetryInterval is how long the entry waits for a grant before it
// repeats an Enqueue, in case the message or the grant was lost.
const enqueueRetryInterval = 2 * time.Second

// assignHome sends a waiting request to the dispatcher of its home cell: the
// first cell in the workspace's order that has a reachable holder. It withdraws
// the request from its previous home cell.
func (e *Entry) assignHome(now time.Time, p *pending) {
	h, ok := e.homeHolder(p.request.Workspace, p.request.Pool)
	if !ok {
		p.holder = galenalatch.Holder{}
		return
	}
	if h == p.holder && now.Sub(p.sent) < enqueueRetryInterval {
		return
	}
	if p.holder.Router != "" && h.Cell != p.holder.Cell {
		e.options.Send(p.holder.Router, galenalatch.Withdraw{Cell: p.holder.Cell, Request: p.request.ID})
	}
	p.holder = h
	p.sent = now
	e.askLease(now, h)
	e.options.Send(h.Router, galenalatch.Enqueue{Cell: h.Cell, Waiting: p.waiting(now)})
}

func (e *Entry) homeHolder(w galenalatch.WorkspaceName, p galenalatch.PoolName) (galenalatch.Holder, bool) {
	for _, c := range e.options.Directory().HomeCells(w, p) {
		if h, ok := e.options.Holder(c); ok && e.options.Reachable(h.Router) {
			return h, true
		}
	}
	return galenalatch.Holder{}, false
}

// runningRequest returns the record of a granted request.
func (e *Entry) runningRequest(g galenalatch.Grant) *running {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[g.Request]
}

// endGrant removes a running request and sends a Finish with its cost and
// result to its dispatcher.
func (e *Entry) endGrant(g galenalatch.Grant, units int64, err error) {
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
		f.Failed = serverFailureKinds[galenalatch.KindOf(err)]
		f.Unreachable = galenalatch.KindOf(err) == galenalatch.KindServerUnreachable
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, g.Request)
	k := grantKey{g.Request, g.Cell, g.Serial}
	e.endedGrants[k] = keptFinish{f, time.Now().Add(endedGrantRetention)}
	e.sendFinish(f)
}

// serverFailureKinds holds the kinds of errors that indicate a failed or
// restarted backend server.
var serverFailureKinds = map[galenalatch.Kind]bool{
	galenalatch.KindBootMismatch: true,
	galenalatch.KindServerFailed: true,
	galenalatch.KindStreamBroken: true,
}

// sendFinish sends f to the current holder of its cell. When that is not
// possible, it keeps f for 10 s, in which loop tries again.
func (e *Entry) sendFinish(f galenalatch.Finish) {
	if h, ok := e.options.Holder(f.Cell); ok && e.options.Send(h.Router, f) {
		return
	}
	e.unsentFinishes = append(e.unsentFinishes, keptFinish{f, time.Now().Add(10 * time.Second)})
}
