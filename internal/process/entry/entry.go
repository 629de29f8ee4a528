// Package entry runs callers' requests: it asks the dispatcher of the home
// cell for a grant, checks the grant, runs the request on the backend server
// that the grant names and reports the cost.
//
// An entry owns its requests. A dispatcher that loses its state gets it back
// from the reports of the entries.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/directory"
)

const (
	// maxAttempts is the number of times that a repeatable request is sent.
	maxAttempts = 3
	// maxUnusedGrants bounds the grants that a request returns unused.
	maxUnusedGrants = 20
)

// Claim is the right to run a request that may not be repeated.
type Claim interface {
	// Finish stores the answer for callers that repeat the request.
	Finish(ctx context.Context, a Answer) error
	// Release says that the request was not sent.
	Release(ctx context.Context) error
}

// Answer is a stored answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Claims gives out claims. Exactly one of the three results is set.
type Claims interface {
	// Claim waits a while for the end of another run of the request when
	// wait is set, and otherwise returns an error of KindInProgress at once.
	Claim(ctx context.Context, r galenalatch.Request, wait bool) (Claim, *Answer, error)
}

// Options are the parts that an entry works with.
type Options struct {
	Self galenalatch.RouterID
	// Directory returns the current directory.
	Directory func() *directory.Directory
	// Holder returns the newest known holder of a cell.
	Holder func(galenalatch.CellID) (galenalatch.Holder, bool)
	// Reachable reports whether messages reach the router now.
	Reachable func(galenalatch.RouterID) bool
	// CheckFresh returns nil while the catalogue is known to be current.
	CheckFresh func() error
	// Send queues a message for a router, which may be the own one.
	Send func(galenalatch.RouterID, galenalatch.Message) bool
	// Runner returns the runner for a kind of pool.
	Runner func(galenalatch.PoolKind) galenalatch.Runner
	Claims Claims
	// Observer receives measurements; nil means none.
	Observer Observer
	// OnUnusedGrant is told why a grant was not used, and Retried why a request
	// runs again; nil means that nobody is told.
	OnUnusedGrant func(galenalatch.Request, galenalatch.Grant, error)
	OnRetry       func(galenalatch.Request, galenalatch.Grant, error)
	// MaxWait bounds the wait for a grant, for each class.
	MaxWait map[galenalatch.Class]time.Duration
}

// Observer receives one call for each grant and each request.
type Observer interface {
	Granted(r galenalatch.Request, wait time.Duration)
	FirstPiece(r galenalatch.Request, since time.Duration)
	Ended(r galenalatch.Request, took time.Duration, units int64, err error)
}

// Entry implements galenalatch.Submitter.
type Entry struct {
	options Options
	base    time.Time

	mu      sync.Mutex
	pending map[galenalatch.RequestID]*pending
	running map[galenalatch.RequestID]*running
	// newestSerials holds, for each held request, the newest grant of each cell.
	newestSerials  map[galenalatch.RequestID]map[galenalatch.CellID]uint64
	endedGrants    map[grantKey]keptFinish
	leases         map[galenalatch.CellID]lease
	leaseChanged   chan struct{}
	sentReports    map[galenalatch.CellID]sentReport
	unsentFinishes []keptFinish
}

// New returns an entry. Run must be called for it to work.
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

// Active returns the number of requests that the entry holds.
func (e *Entry) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.newestSerials)
}

// Counts returns the waiting and the running requests of each workspace.
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
		err = (&galenalatch.Error{Kind: galenalatch.KindCallerGone, Err: err}).WithOutcome(galenalatch.Cancelled)
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
