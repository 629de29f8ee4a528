package entry

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/directory"
)

var cell = galenalatch.CellID{Pool: "p", DataCentre: "a"}

// fixture is an entry whose dependencies are fakes. The fake dispatcher answers
// each LeaseRequest and sends a grant for each Enqueue.
type fixture struct {
	t     *testing.T
	entry *Entry
	// run is the fake backend server.
	run func(o galenalatch.Attempt, s galenalatch.Sink) error
	// grant modifies each grant before it is sent; nil sends none.
	grant  func(*galenalatch.Grant)
	remain int64

	mu    sync.Mutex
	epoch galenalatch.Epoch
	// leaseEpoch is the epoch in LeaseState messages.
	leaseEpoch galenalatch.Epoch
	serial     uint64
	out        bool
	stale      bool
	finishes   []galenalatch.Finish
	reports    int
	confirm    bool
	runs       int
	claims     fakeClaims
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{t: t, epoch: 1, leaseEpoch: 1, remain: 4000, grant: func(*galenalatch.Grant) {}}
	b.run = func(o galenalatch.Attempt, s galenalatch.Sink) error {
		if err := s.Header(http.StatusOK, http.Header{}); err != nil {
			return err
		}
		return s.Data([]byte("answer"))
	}
	b.entry = New(Options{
		Self:      "r",
		Directory: b.directory,
		Holder: func(c galenalatch.CellID) (galenalatch.Holder, bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			return galenalatch.Holder{Cell: c, Router: "d", Epoch: b.epoch}, true
		},
		Reachable: func(galenalatch.RouterID) bool { return true },
		CheckFresh: func() error {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.stale {
				return galenalatch.KindCatalogueStale.Errorf("stale")
			}
			return nil
		},
		Send:    b.send,
		Runner:  func(galenalatch.PoolKind) galenalatch.Runner { return b },
		Claims:  &b.claims,
		MaxWait: map[galenalatch.Class]time.Duration{galenalatch.Interactive: 5 * time.Second},
	})
	return b
}

func (b *fixture) directory() *directory.Directory {
	c := galenalatch.Catalogue{Pools: []galenalatch.Pool{{Name: "p", Kind: galenalatch.PlainPool, CellsPerDataCentre: 1, MaxCost: 1000}}}
	b.mu.Lock()
	defer b.mu.Unlock()
	return directory.New(c.WithServer("s", b.out), []galenalatch.Instance{{ID: "s", Role: galenalatch.ServerRole, DataCentre: "a", Pool: "p"}})
}

// send is the fake network with the dispatcher.
func (b *fixture) send(_ galenalatch.RouterID, m galenalatch.Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch m := m.(type) {
	case galenalatch.LeaseRequest:
		s := galenalatch.LeaseState{Cell: m.Cell, Epoch: b.leaseEpoch, Echo: m.Stamp, RemainingMillis: b.remain, Reported: b.confirm}
		time.AfterFunc(time.Millisecond, func() { b.entry.Handle("d", s) })
	case galenalatch.Enqueue:
		if b.grant == nil {
			break
		}
		b.serial++
		g := galenalatch.Grant{Cell: cell, Epoch: 1, Request: m.Waiting.Request, Serial: b.serial, Server: "s",
			DataCentre: "a", Boot: "b1", ServerCell: cell, ServerEpoch: 1}
		b.grant(&g)
		time.AfterFunc(2*time.Millisecond, func() { b.entry.Handle("d", g) })
	case galenalatch.Report:
		b.reports++
	case galenalatch.Finish:
		b.finishes = append(b.finishes, m)
	}
	return true
}

// Run implements galenalatch.Runner.
func (b *fixture) Run(_ context.Context, o galenalatch.Attempt, s galenalatch.Sink) (galenalatch.Usage, error) {
	if err := o.BeforeSend(); err != nil {
		return galenalatch.Usage{}, err
	}
	b.mu.Lock()
	b.runs++
	b.mu.Unlock()
	return galenalatch.Usage{Millis: 7}, b.run(o, s)
}

// submit runs one request while the entry's loop runs.
func (b *fixture) submit(r galenalatch.Request) error {
	ctx, cancel := context.WithCancel(b.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.entry.Run(ctx)
	}()
	r.ID, r.Workspace, r.Pool, r.Class = "q", "w", "p", galenalatch.Interactive
	err := b.entry.Submit(ctx, r, sink{})
	cancel()
	<-done
	synctest.Wait()
	return err
}

type sink struct{}

func (sink) Header(int, http.Header) error { return nil }
func (sink) Data([]byte) error             { return nil }
func (sink) Progress(galenalatch.Usage)    {}

// fakeClaims returns a claim, a stored answer or an error, and counts how often
// the claim is finished and released.
type fakeClaims struct {
	answer             *Answer
	err                error
	finished, released int
}

func (c *fakeClaims) Claim(context.Context, galenalatch.Request, bool) (Claim, *Answer, error) {
	if c.answer != nil || c.err != nil {
		return nil, c.answer, c.err
	}
	return c, nil, nil
}

func (c *fakeClaims) Finish(context.Context, Answer) error {
	c.finished++
	return nil
}

func (c *fakeClaims) Release(context.Context) error {
	c.released++
	return nil
}

var errServerFailed = galenalatch.KindServerFailed.Errorf("connection reset")

// Guards against the use of a grant that is no longer valid, against a request
// that runs too often, and against a slot that is not freed because a grant ends
// without a Finish.
func TestSubmit(t *testing.T) {
	for _, tc := range []struct {
		name       string
		request    galenalatch.Request
		change     func(*fixture)
		kind       galenalatch.Kind
		outcome    galenalatch.Outcome
		runs       int
		finished   int
		released   int
		finishes   int
		failedLast bool
	}{
		{name: "answered", runs: 1, finishes: 1},
		{name: "newer holder is known by gossip only", change: func(b *fixture) { b.epoch = 2 }, kind: galenalatch.KindWaitTimeout, outcome: galenalatch.NotRun, finishes: 5},
		{name: "newer lease is known", change: func(b *fixture) { b.leaseEpoch = 2 }, kind: galenalatch.KindWaitTimeout, outcome: galenalatch.NotRun, finishes: 5},
		{name: "lease has run out", change: func(b *fixture) { b.remain = 0 }, kind: galenalatch.KindWaitTimeout, outcome: galenalatch.NotRun, finishes: 5},
		{name: "no grant", change: func(b *fixture) { b.grant = nil }, kind: galenalatch.KindWaitTimeout, outcome: galenalatch.NotRun},
		{name: "catalogue is stale", change: func(b *fixture) { b.stale = true }, kind: galenalatch.KindCatalogueStale, outcome: galenalatch.NotRun},
		{name: "server is out of service", change: func(b *fixture) { b.out = true }, kind: galenalatch.KindOutOfService, outcome: galenalatch.NotRun, finishes: maxUnusedGrants},
		{
			name: "grant of a lent slot without a lease of the lender",
			change: func(b *fixture) {
				b.grant = func(g *galenalatch.Grant) { g.ServerEpoch = 0 }
			},
			kind: galenalatch.KindWaitTimeout, outcome: galenalatch.NotRun, finishes: 5,
		},
		{
			name:    "repeatable request on a failing server",
			request: galenalatch.Request{Repeatable: true},
			change: func(b *fixture) {
				b.run = func(galenalatch.Attempt, galenalatch.Sink) error { return errServerFailed }
			},
			kind: galenalatch.KindServerFailed, outcome: galenalatch.OutcomeUnknown, runs: maxAttempts, finishes: maxAttempts, failedLast: true,
		},
		{
			name: "repeatable request whose answer has begun",
			change: func(b *fixture) {
				b.run = func(_ galenalatch.Attempt, s galenalatch.Sink) error {
					_ = s.Header(http.StatusOK, nil)
					return galenalatch.KindStreamBroken.Errorf("cut")
				}
			},
			request: galenalatch.Request{Repeatable: true},
			kind:    galenalatch.KindStreamBroken, outcome: galenalatch.StreamBroken, runs: 1, finishes: 1, failedLast: true,
		},
		{name: "keyed call", request: galenalatch.Request{Key: "k"}, runs: 1, finished: 1, finishes: 1},
		{
			name:    "keyed call on a failing server",
			request: galenalatch.Request{Key: "k"},
			change: func(b *fixture) {
				b.run = func(galenalatch.Attempt, galenalatch.Sink) error { return errServerFailed }
			},
			kind: galenalatch.KindServerFailed, outcome: galenalatch.OutcomeUnknown, runs: 1, finishes: 1, failedLast: true,
		},
		{
			name:    "keyed call that never reached a server",
			request: galenalatch.Request{Key: "k"},
			change: func(b *fixture) {
				b.run = func(galenalatch.Attempt, galenalatch.Sink) error {
					return galenalatch.KindServerUnreachable.Errorf("refused")
				}
			},
			kind: galenalatch.KindServerUnreachable, outcome: galenalatch.NotRun, runs: maxUnusedGrants, released: 1, finishes: maxUnusedGrants,
		},
		{
			name:    "stored answer",
			request: galenalatch.Request{Key: "k"},
			change:  func(b *fixture) { b.claims.answer = &Answer{Status: 200} }, finishes: 1,
		},
		{
			name:    "claim store is unavailable",
			request: galenalatch.Request{Key: "k"},
			change:  func(b *fixture) { b.claims.err = galenalatch.KindPlatformDown.Errorf("down") },
			kind:    galenalatch.KindPlatformDown, outcome: galenalatch.NotRun, finishes: 1,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t)
				if tc.change != nil {
					tc.change(b)
				}
				err := b.submit(tc.request)
				if tc.kind == "" {
					assert.NilError(t, err)
				} else {
					assert.Equal(t, galenalatch.KindOf(err), tc.kind)
					assert.Equal(t, galenalatch.OutcomeOf(err), tc.outcome)
				}
				assert.Equal(t, b.runs, tc.runs)
				assert.Equal(t, b.claims.finished, tc.finished)
				assert.Equal(t, b.claims.released, tc.released)
				assert.Equal(t, len(b.finishes), tc.finishes)
				if n := len(b.finishes); n > 0 {
					last := b.finishes[n-1]
					assert.Equal(t, last.Failed, tc.failedLast)
					assert.Equal(t, last.Completed, tc.runs > 0 && tc.kind == "")
				}
				assert.Equal(t, b.entry.Active(), 0)
			})
		})
	}
}

// Guards against a second run of a request: by a delayed copy of a grant whose
// slot was freed, or by a grant message that only asks for the state.
func TestGrantsAreUsedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		var first galenalatch.Grant
		b.grant = func(g *galenalatch.Grant) { first = *g }
		assert.NilError(t, b.submit(galenalatch.Request{}))
		first.StatusQuery = true
		b.entry.Handle("d", first)
		first.StatusQuery = false
		b.entry.Handle("d", first)
		assert.Equal(t, b.runs, 1)
		assert.Equal(t, len(b.finishes), 3)
		for _, f := range b.finishes {
			assert.Equal(t, f.Outcome, galenalatch.Answered)
			assert.Equal(t, f.Units, int64(7))
		}
	})
}

// Guards against a report that is too large for one message, and against
// records that are lost when it is split.
func TestReportParts(t *testing.T) {
	for _, tc := range []struct{ waits, runs, parts int }{
		{0, 0, 1}, {400, 0, 1}, {401, 0, 2}, {300, 500, 2}, {10, 1200, 4},
	} {
		all := galenalatch.Report{
			Waiting: make([]galenalatch.Waiting, tc.waits),
			Running: make([]galenalatch.Running, tc.runs),
		}
		list := splitReport(all)
		assert.Equal(t, len(list), tc.parts)
		waits, runs := 0, 0
		for i, m := range list {
			assert.Equal(t, m.More, i < len(list)-1)
			assert.Assert(t, len(m.Waiting)+len(m.Running) <= maxReportRecords)
			waits += len(m.Waiting)
			runs += len(m.Running)
		}
		assert.Equal(t, waits, tc.waits)
		assert.Equal(t, runs, tc.runs)
	}
}

// Guards against a report that is sent only once: when it arrives before its
// holder has opened the cell it is lost, and the holder waits for it forever.
func TestReportIsRepeatedUntilConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = b.entry.Run(ctx) }()
		<-time.After(1250 * time.Millisecond)
		b.mu.Lock()
		assert.Equal(t, b.reports, 3)
		b.confirm = true
		b.mu.Unlock()
		<-time.After(5 * time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, b.reports, 4)
	})
}

// Guards against the use of a late copy of a grant that was returned: its slot
// may be in use by another request.
func TestReturnedGrantIsNotUsedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		var first galenalatch.Grant
		b.grant = func(g *galenalatch.Grant) {
			if g.Serial == 1 {
				first = *g
				return
			}
			b.grant = nil
			time.AfterFunc(0, func() { b.entry.Handle("d", first) })
		}
		b.run = func(galenalatch.Attempt, galenalatch.Sink) error {
			return galenalatch.KindServerUnreachable.Errorf("refused")
		}
		assert.Equal(t, galenalatch.KindOf(b.submit(galenalatch.Request{})), galenalatch.KindWaitTimeout)
		assert.Equal(t, b.runs, 2)
	})
}

// Guards against a late LeaseState of an earlier holder that confirms or extends
// the lease of the newer epoch, or that makes grants of the newer epoch
// unusable.
func TestStaleLeaseState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.epoch, b.leaseEpoch = 2, 2
		now := time.Now()
		state := func(epoch galenalatch.Epoch, remaining int64) {
			b.entry.Handle("d", galenalatch.LeaseState{Cell: cell, Epoch: epoch, Echo: int64(now.Sub(b.entry.base)), RemainingMillis: remaining})
		}
		grant := func(epoch galenalatch.Epoch) error {
			b.entry.mu.Lock()
			defer b.entry.mu.Unlock()
			return b.entry.checkLease(time.Now(), cell, epoch)
		}
		state(2, 1000)
		assert.NilError(t, grant(2))
		state(1, 60_000)
		assert.NilError(t, grant(2), "the lease of epoch 2 stays confirmed")
		assert.Equal(t, galenalatch.KindOf(grant(1)), galenalatch.KindStaleGrant)
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, galenalatch.KindOf(grant(2)), galenalatch.KindStaleGrant, "an older holder does not extend the lease")
	})
}
