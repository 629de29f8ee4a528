// Package generator makes the calls of a load plan and checks each answer: it
// must be whole and belong to its call.
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

	"github.com/galenalatch/galenalatch/internal/load/audit"
	"github.com/galenalatch/galenalatch/internal/load/plan"
	"github.com/galenalatch/galenalatch/internal/load/result"
)

// Generator runs a plan.
type Generator struct {
	plan    plan.Plan
	results *result.Results
	audit   *audit.Audit
	client  *http.Client
	next    atomic.Uint64
}

// New returns a generator that adds to results and audit.
func New(p plan.Plan, r *result.Results, a *audit.Audit) *Generator {
	return &Generator{plan: p, results: r, audit: a, client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	}}}
}

// Run makes the calls. Calls that have begun when the run ends are completed.
func (g *Generator) Run(ctx context.Context) error {
	ends, cancel := context.WithTimeout(ctx, g.plan.Duration.Std())
	defer cancel()
	var all errgroup.Group
	for i, c := range g.plan.Callers {
		w := &worker{generator: g, caller: c, index: i}
		w.left.Store(int64(c.Calls))
		for range c.Concurrency {
			all.Go(func() error { return w.loop(ctx, ends) })
		}
	}
	err := all.Wait()
	g.client.CloseIdleConnections()
	return err
}

// router returns the next router in turn.
func (g *Generator) router() string {
	return g.plan.Routers[g.next.Add(1)%uint64(len(g.plan.Routers))]
}

// worker makes the calls of one caller.
type worker struct {
	generator *Generator
	caller    plan.Caller
	index     int
	left      atomic.Int64
	made      atomic.Int64
}

func (w *worker) loop(ctx, ends context.Context) error {
	for ends.Err() == nil {
		if w.caller.Calls > 0 && w.left.Add(-1) < 0 {
			return nil
		}
		w.call(ctx)
		if w.caller.Pause > 0 {
			select {
			case <-ends.Done():
			case <-time.After(w.caller.Pause.Std()):
			}
		}
	}
	return nil
}

// call makes one call, and once more when the plan says so.
func (w *worker) call(ctx context.Context) {
	q := w.query()
	first := w.complete(ctx, q)
	if w.caller.Repeats {
		again := w.complete(ctx, q)
		if first.outcome == answered && again.outcome == answered && again.body != first.body {
			w.add(again, true)
		}
	}
}

func (w *worker) add(e end, wrong bool) {
	w.generator.results.Add(result.Call{
		Row:     result.Row{Workspace: string(w.caller.Workspace), Work: w.work()},
		Outcome: e.outcome,
		Err:     e.err,
		Wrong:   wrong || e.wrong,
		Tries:   e.tries,
		Refused: e.refused,
		First:   e.first,
		Wait:    e.wait,
		Total:   e.total,
	})
}

func (w *worker) work() string {
	if w.caller.Model != "" {
		return fmt.Sprintf("%s %s", w.caller.Class, w.caller.Model)
	}
	return fmt.Sprintf("%s %s %s", w.caller.Class, w.caller.Method, w.caller.Pool)
}

// complete repeats a call until it is answered or must not be repeated.
func (w *worker) complete(ctx context.Context, q query) end {
	g := w.generator
	ctx, cancel := context.WithTimeout(ctx, g.plan.Timeout.Std())
	defer cancel()
	began := time.Now()
	var e end
	refused := 0
	for tries := 1; ; tries++ {
		before := time.Since(began)
		e = w.try(ctx, q)
		e.tries, e.wait = tries, before+e.first
		if e.outcome == notRun {
			refused++
		}
		if e.outcome == notRun && e.request != "" {
			g.audit.NotRun(e.request)
		}
		if e.outcome == answered || tries > g.plan.Retries || ctx.Err() != nil || !w.again(e) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(e.retryAfter, time.Second)):
		}
	}
	e.total, e.refused = time.Since(began), refused
	w.add(e, false)
	return e
}

// again reports whether a caller would make the call again.
func (w *worker) again(e end) bool {
	if e.outcome == notRun {
		return true
	}
	repeatable := w.caller.Model != "" || w.caller.Method == http.MethodGet || w.caller.Keyed
	return repeatable
}

// query is one call; its retries are the same query.
type query struct {
	key    string
	system string
	prompt string
	body   string
}

// words returns all words that the model reads.
func (q query) words() string {
	return q.system + " " + q.prompt
}

func (w *worker) query() query {
	n := w.made.Add(1)
	q := query{prompt: prompt(w.index, n, w.caller.PromptWords)}
	if n := w.caller.SystemWords; n > 0 {
		q.system = prompt(w.index, 0, n)
	}
	if w.caller.Keyed {
		q.key = uuid.NewString()
	}
	q.body = fmt.Sprintf(`{"call":%q}`, q.prompt)
	return q
}
