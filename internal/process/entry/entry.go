// Package entry runs callers' requests: it asks the dispatcher of the home
// cell for a grant, checks the grant, runs the request on the backend server
// that the grant names and reports the cost.
//
// The entry keeps the state of its requests. A dispatcher that has lost its
// state, such as a new holder of a cell, rebuilds it from the entries' reports.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/directory"
)

const (
	// maxAttempts bounds how often a repeatable request is sent.
	maxAttempts = 3
	// maxUnusedGrants bounds the grants that one request returns unused before
	// it fails.
	maxUnusedGrants = 20
)

// Claim is the exclusive right to run a request that must not run twice.
type Claim interface {
	// Finish stores the answer, which is replayed to callers that repeat the
	// request.
	Finish(ctx context.Context, a Answer) error
	// Release gives up the claim of a request that was not sent, so that a
	// repeated request may run.
	Release(ctx context.Context) error
}

// Answer is a complete HTTP response that is stored with a finished claim.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Claims creates claims.
type Claims interface {
	// Claim returns a new claim, the stored answer of an earlier run, or an
	// error; exactly one of the three is not nil. If another run of the request
	// is in progress, it waits a limited time for its end when wait is set, and
	// otherwise returns an error of KindInProgress at once.
	Claim(ctx context.Context, r galenalatch.Request, wait bool) (Claim, *Answer, error)
}

// Options are the dependencies and limits of an Entry.
type Options struct {
	Self galenalatch.RouterID
	// Directory returns the current directory.
	Directory func() *directory.Directory
	// Holder returns the newest known holder of a cell.
	Holder func(galenalatch.CellID) (galenalatch.Holder, bool)
	// Reachable reports whether messages can be sent to the router now.
	Reachable func(galenalatch.RouterID) bool
	// CheckFresh returns nil while the catalogue is known to be current.
	CheckFresh func() error
	// Send queues a message for a router, which may be Self. It reports
	// whether the message was queued.
	Send func(galenalatch.RouterID, galenalatch.Message) bool
	// Runner returns the runner for a kind of pool.
	Runner func(galenalatch.PoolKind) galenalatch.Runner
	Claims Claims
	// Observer receives measurements; nil means none.
	Observer Observer
	// OnUnusedGrant is called with the reason when a grant is returned unused,
	// and OnRetry with the error of the last attempt when a request is sent
	// again. Both may be nil.
	OnUnusedGrant func(galenalatch.Request, galenalatch.Grant, error)
	OnRetry       func(galenalatch.Request, galenalatch.Grant, error)
	// MaxWait bounds the total wait for grants by class; nil means one minute
	// for interactive and 15 minutes for batch requests.
	MaxWait map[galenalatch.Class]time.Duration
}

// Observer receives measurements of requests.
type Observer interface {
	// Granted is called for each grant with the time waited for it.
	Granted(r galenalatch.Request, wait time.Duration)
	// FirstPiece is called for a piece of the answer that arrives before any
	// usage is reported, with the time since the start of the request.
	FirstPiece(r galenalatch.Request, since time.Duration)
	// Ended is called once for each request with its duration, the cost of all
	// its attempts and the error that the caller gets, nil on success.
	Ended(r galenalatch.Request, took time.Duration, units int64, err error)
}

// Entry implements galenalatch.Submitter. It is safe for concurrent use. Create
// it with New.
type Entry struct {
	options Options
	// base is the reference time of the stamps in LeaseRequest messages.
	base time.Time

	mu      sync.Mutex
	pending map[galenalatch.RequestID]*pending
	running map[galenalatch.RequestID]*running
	// newestSerials holds, for each tracked request, the highest serial number
	// of the grants received from each cell.
	newestSerials map[galenalatch.RequestID]map[galenalatch.CellID]uint64
	// endedGrants holds the Finish messages of grants that ended recently.
	endedGrants map[grantKey]keptFinish
	leases      map[galenalatch.CellID]lease
	// leaseChanged is closed and replaced when a LeaseState arrives.
	leaseChanged   chan struct{}
	sentReports    map[galenalatch.CellID]sentReport
	unsentFinishes []keptFinish
}

// New returns an entry. Submit gets grants reliably only while Run runs.
func New(o Options) *Entry {
	if o.MaxWait == nil {
		o.MaxWait = map[galenalatch.Class]time.Duration{
			galenalatch.Interactive: time.Minute,
			galenalatch.Batch:       15 * time.Minute,
		}
	}
	if o.Observer == nil {
		o.Observer = noopObserver{}
	}
	noop := func(galenalatch.Request, galenalatch.Grant, error) {}
	if o.OnUnusedGrant == nil {
		o.OnUnusedGrant = noop
	}
	if o.OnRetry == nil {
		o.OnRetry = noop
	}
	return &Entry{
		options:       o,
		base:          time.Now(),
		pending:       make(map[galenalatch.RequestID]*pending),
		running:       make(map[galenalatch.RequestID]*running),
		newestSerials: make(map[galenalatch.RequestID]map[galenalatch.CellID]uint64),
		endedGrants:   make(map[grantKey]keptFinish),
		leases:        make(map[galenalatch.CellID]lease),
		leaseChanged:  make(chan struct{}),
		sentReports:   make(map[galenalatch.CellID]sentReport),
	}
}

// Active returns the number of requests that were submitted and have not ended.
func (e *Entry) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.newestSerials)
}

// Counts returns the number of waiting and of running requests by workspace.
func (e *Entry) Counts() (waits, runs map[galenalatch.WorkspaceName]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	waits = make(map[galenalatch.WorkspaceName]int)
	runs = make(map[galenalatch.WorkspaceName]int)
	for _, p := range e.pending {
		waits[p.request.Workspace]++
	}
	for _, r := range e.running {
		runs[r.request.Workspace]++
	}
	return waits, runs
}

// Submit implements galenalatch.Submitter.
func (e *Entry) Submit(ctx context.Context, r galenalatch.Request, s galenalatch.Sink) error {
	started := time.Now()
	e.track(r)
	defer e.untrack(r)
	m := &meter{Sink: s, entry: e, request: r, started: started}
	err := e.submit(ctx, r, m)
	if ctx.Err() != nil && err != nil && galenalatch.KindOf(err) != galenalatch.KindWaitTimeout {
		err = (&galenalatch.Error{Kind: galenalatch.KindCallerClosed, Err: err}).WithOutcome(galenalatch.Cancelled)
	}
	e.options.Observer.Ended(r, time.Since(started), m.totalUnits(), err)
	return err
}

func (e *Entry) submit(ctx context.Context, r galenalatch.Request, m *meter) error {
	if err := e.options.CheckFresh(); err != nil {
		return err
	}
	pool, ok := e.options.Directory().Catalogue().Pool(r.Pool)
	if !ok {
		return galenalatch.KindNotFound.Errorf("pool %q is not in the catalogue", r.Pool)
	}
	t := &task{entry: e, request: r, pool: pool, meter: m}
	err := t.run(ctx)
	t.settleClaim(err)
	return err
}

func (e *Entry) track(r galenalatch.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newestSerials[r.ID] = make(map[galenalatch.CellID]uint64)
}

func (e *Entry) untrack(r galenalatch.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.newestSerials, r.ID)
}

type noopObserver struct{}

func (noopObserver) Granted(galenalatch.Request, time.Duration)             {}
func (noopObserver) FirstPiece(galenalatch.Request, time.Duration)          {}
func (noopObserver) Ended(galenalatch.Request, time.Duration, int64, error) {}
