package entry

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
)

// task runs one request: it waits for a grant, sends the request and decides
// whether to retry.
type task struct {
	entry   *Entry
	request galenalatch.Request
	pool    galenalatch.Pool
	meter   *meter
	claim   Claim
	// deadline bounds the waiting for all grants of the request together.
	deadline time.Time
	// waitedForRun is set once the task has waited for another run of the
	// request.
	waitedForRun bool
	// attempts counts the attempts that may have reached a server.
	attempts int
}

// run returns nil when the whole answer was written to the sink.
func (t *task) run(ctx context.Context) error {
	t.deadline = time.Now().Add(t.entry.options.MaxWait[t.request.Class])
	for returned := 0; ; {
		g, err := t.awaitGrant(ctx)
		if err != nil {
			return err
		}
		err = t.attempt(ctx, g)
		if err == nil {
			return nil
		}
		if galenalatch.OutcomeOf(err) != galenalatch.NotRun && galenalatch.KindOf(err) != galenalatch.KindInProgress {
			t.attempts++
		}
		if ctx.Err() != nil {
			return err
		}
		if galenalatch.KindOf(err) == galenalatch.KindInProgress && !t.waitedForRun {
			// The grant is returned before the wait for the other run.
			t.waitedForRun = true
			if done, err := t.ensureClaim(ctx, true); done || err != nil {
				return err
			}
			continue
		}
		if galenalatch.OutcomeOf(err) == galenalatch.NotRun {
			returned++
			t.entry.options.OnUnusedGrant(t.request, g, err)
			if returned >= maxUnusedGrants || !retryableKinds[galenalatch.KindOf(err)] {
				return err
			}
			continue
		}
		if !t.request.Repeatable || t.meter.answerStarted() || t.attempts >= maxAttempts {
			return err
		}
		t.entry.options.OnRetry(t.request, g, err)
	}
}

// retryableKinds holds the kinds of errors after which a request that was not
// run waits for another grant.
var retryableKinds = map[galenalatch.Kind]bool{
	galenalatch.KindBootMismatch:      true,
	galenalatch.KindServerUnreachable: true,
	galenalatch.KindStaleGrant:        true,
	galenalatch.KindOutOfService:      true,
}

// awaitGrant queues the request at its home cell and waits until a grant or a
// refusal arrives, the deadline passes or ctx ends.
func (t *task) awaitGrant(ctx context.Context) (galenalatch.Grant, error) {
	e := t.entry
	began := time.Now()
	p := e.enqueue(t.request)
	limit := time.NewTimer(time.Until(t.deadline))
	defer limit.Stop()
	select {
	case g := <-p.granted:
		e.options.Observer.Granted(t.request, time.Since(began))
		return g, nil
	case r := <-p.refused:
		e.withdraw(p)
		return galenalatch.Grant{}, r.Kind.Errorf("the request was refused by cell %s", r.Cell)
	case <-limit.C:
		unassigned := e.withdraw(p)
		if unassigned {
			return galenalatch.Grant{}, galenalatch.KindNoDispatcher.Errorf("no dispatcher of pool %q is reachable", t.request.Pool)
		}
		return galenalatch.Grant{}, galenalatch.KindWaitTimeout.Errorf("no capacity of pool %q within %s", t.request.Pool, e.options.MaxWait[t.request.Class])
	case <-ctx.Done():
		e.withdraw(p)
		return galenalatch.Grant{}, galenalatch.KindCallerClosed.Errorf("while waiting for a grant: %w", context.Cause(ctx))
	}
}

// attempt runs the request with one grant. In every case it ends the grant with
// a Finish.
func (t *task) attempt(ctx context.Context, g galenalatch.Grant) error {
	e := t.entry
	t.meter.startAttempt(e.runningRequest(g), t.pool)
	usage, replayed, err := t.useGrant(ctx, g)
	if replayed {
		// The server was not used, so its concurrency limit must not rise.
		e.endGrant(g, 0, galenalatch.KindStaleGrant.Errorf("a stored answer was used"))
		return err
	}
	units := max(usage.Units(t.pool), t.meter.attemptUnits())
	if err != nil && galenalatch.OutcomeOf(err) == galenalatch.NotRun {
		units = 0
	}
	e.endGrant(g, units, err)
	return err
}

// useGrant checks the grant and sends the request, or reports that a stored
// answer was passed on instead.
func (t *task) useGrant(ctx context.Context, g galenalatch.Grant) (u galenalatch.Usage, replayed bool, err error) {
	e := t.entry
	if err := e.awaitLeases(ctx, g); err != nil {
		return u, false, err
	}
	if replayed, err := t.ensureClaim(ctx, false); replayed || err != nil {
		return u, replayed, err
	}
	o := galenalatch.Attempt{
		Request:    t.request.ID,
		Server:     g.Server,
		Address:    g.Address,
		Boot:       g.Boot,
		Method:     t.request.Method,
		Path:       t.request.Path,
		Header:     t.request.Header.Clone(),
		Body:       t.request.Body,
		Repeatable: t.request.Repeatable,
		Resumable:  t.pool.Resumes,
		Epoch:      g.ServerEpoch,
		BeforeSend: func() error { return e.checkGrant(g) },
	}
	u, err = e.options.Runner(t.pool.Kind).Run(ctx, o, t.meter)
	return u, false, err
}

// ensureClaim claims a keyed request that must not run twice. It reports whether
// a stored answer was replayed instead.
func (t *task) ensureClaim(ctx context.Context, wait bool) (replayed bool, err error) {
	if t.request.Repeatable || t.request.Key == "" || t.claim != nil {
		return false, nil
	}
	c, a, err := t.entry.options.Claims.Claim(ctx, t.request, wait)
	if err != nil {
		return false, err
	}
	if a != nil {
		return true, t.replay(*a)
	}
	t.claim = c
	t.meter.startRecording()
	return false, nil
}

func (t *task) replay(a Answer) error {
	h := make(map[string][]string, len(a.Header)+1)
	for k, v := range a.Header {
		h[k] = v
	}
	h["X-Replayed"] = []string{"true"}
	if err := t.meter.Header(a.Status, h); err != nil {
		return err
	}
	return t.meter.Data(a.Body)
}

// settleClaim finishes the claim with the answer on success and releases it when
// the request certainly was not sent. Otherwise the claim stays as it is, so that
// the request does not run again.
func (t *task) settleClaim(err error) {
	if t.claim == nil {
		return
	}
	// The caller's context may have ended, and the claim must be settled anyway.
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	switch {
	case err == nil:
		_ = t.claim.Finish(ctx, t.meter.recordedAnswer())
	case t.attempts == 0:
		_ = t.claim.Release(ctx)
	}
}
