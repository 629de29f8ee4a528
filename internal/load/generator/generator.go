// Package generator makes the calls of a load plan and checks that each answer
// is complete and belongs to its call.
package generator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/galenalatch/galenalatch/internal/http1/transport"
	"github.com/galenalatch/galenalatch/internal/load/audit"
	"github.com/galenalatch/galenalatch/internal/load/plan"
	"github.com/galenalatch/galenalatch/internal/load/result"
)

// Generator runs a plan. Create it with New.
type Generator struct {
	plan        plan.Plan
	results     *result.Results
	audit       *audit.Audit
	client      *http.Client
	routerIndex atomic.Uint64
}

// New returns a generator that records each call in r and each request that was
// reported as not run in a.
func New(p plan.Plan, r *result.Results, a *audit.Audit) *Generator {
	return &Generator{plan: p, results: r, audit: a, client: &http.Client{Transport: transport.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	})}}
}

// Run makes the calls and returns when all have ended. Calls that have started
// when the duration of the plan is over are completed; the end of ctx cancels
// them. Failed calls are recorded in the results, they are not an error of Run.
func (g *Generator) Run(ctx context.Context) error {
	runCtx, cancel := context.WithTimeout(ctx, g.plan.Duration.Std())
	defer cancel()
	var group errgroup.Group
	for i, c := range g.plan.Callers {
		w := &worker{generator: g, caller: c, index: i}
		w.remaining.Store(int64(c.Calls))
		for range c.Concurrency {
			group.Go(func() error { return w.loop(ctx, runCtx) })
		}
	}
	err := group.Wait()
	g.client.CloseIdleConnections()
	return err
}

// nextRouter returns the addresses of the routers in turn.
func (g *Generator) nextRouter() string {
	return g.plan.Routers[g.routerIndex.Add(1)%uint64(len(g.plan.Routers))]
}

// worker makes the calls of one caller. Its loops run concurrently.
type worker struct {
	generator *Generator
	caller    plan.Caller
	index     int
	remaining atomic.Int64
	callCount atomic.Int64
}

func (w *worker) loop(ctx, runCtx context.Context) error {
	for runCtx.Err() == nil {
		if w.caller.Calls > 0 && w.remaining.Add(-1) < 0 {
			return nil
		}
		w.call(ctx)
		if w.caller.Pause > 0 {
			select {
			case <-runCtx.Done():
			case <-time.After(w.caller.Pause.Std()):
			}
		}
	}
	return nil
}

// call makes one call. If the plan repeats calls, it makes the call once more
// and records it as wrong if the two answers differ.
func (w *worker) call(ctx context.Context) {
	q := w.newCallContent()
	first := w.callWithRetries(ctx, q)
	if w.caller.RepeatCalls {
		again := w.callWithRetries(ctx, q)
		if first.outcome == answered && again.outcome == answered && again.body != first.body {
			w.record(again, true)
		}
	}
}

func (w *worker) record(e attemptResult, wrong bool) {
	w.generator.results.Add(result.Call{
		Key:         result.Key{Workspace: string(w.caller.Workspace), Operation: w.operation()},
		Outcome:     e.outcome,
		Err:         e.err,
		Wrong:       wrong || e.wrong,
		Attempts:    e.attempts,
		Refused:     e.refused,
		TimeToFirst: e.timeToFirst,
		Wait:        e.wait,
		Total:       e.total,
	})
}

func (w *worker) operation() string {
	if w.caller.Model != "" {
		return fmt.Sprintf("%s %s", w.caller.Class, w.caller.Model)
	}
	return fmt.Sprintf("%s %s %s", w.caller.Class, w.caller.Method, w.caller.Pool)
}

// callWithRetries makes attempts until the call is answered, must not be
// repeated or has no retries or time left. It records the result.
func (w *worker) callWithRetries(ctx context.Context, q callContent) attemptResult {
	g := w.generator
	ctx, cancel := context.WithTimeout(ctx, g.plan.Timeout.Std())
	defer cancel()
	began := time.Now()
	var e attemptResult
	refused := 0
	for attempts := 1; ; attempts++ {
		earlier := time.Since(began)
		e = w.attempt(ctx, q)
		e.attempts, e.wait = attempts, earlier+e.timeToFirst
		if e.outcome == notRun {
			refused++
		}
		if e.outcome == notRun && e.requestID != "" {
			g.audit.AddNotRun(e.requestID)
		}
		if e.outcome == answered || attempts > g.plan.Retries || ctx.Err() != nil || !w.mayRetry(e) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(e.retryAfter, time.Second)):
		}
	}
	e.total, e.refused = time.Since(began), refused
	w.record(e, false)
	return e
}

// mayRetry reports whether the call may be made again after the result: it was
// not run, or it is safe to repeat.
func (w *worker) mayRetry(e attemptResult) bool {
	if e.outcome == notRun {
		return true
	}
	repeatable := w.caller.Model != "" || w.caller.Method == http.MethodGet || w.caller.IdempotencyKeys
	return repeatable
}

// callContent is the content of one call. All attempts send the same content.
type callContent struct {
	// key is the idempotency key, or empty.
	key    string
	system string
	prompt string
	body   string
}

// allWords returns the words of all messages to the model.
func (q callContent) allWords() string {
	return q.system + " " + q.prompt
}

func (w *worker) newCallContent() callContent {
	n := w.callCount.Add(1)
	q := callContent{prompt: prompt(w.index, n, w.caller.PromptWords)}
	if n := w.caller.SystemWords; n > 0 {
		q.system = prompt(w.index, 0, n)
	}
	if w.caller.IdempotencyKeys {
		q.key = uuid.NewString()
	}
	q.body = fmt.Sprintf(`{"call":%q}`, q.prompt)
	return q
}
