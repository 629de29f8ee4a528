// Package demo runs a whole fleet in one process: eight routers, the
// platform's stand-in, model engines and plain services on loopback. It
// serves the requests of several workspaces while parts of the fleet fail or
// are taken away, and checks the promises of the fleet at the end.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch/internal/load/audit"
	"github.com/galenalatch/galenalatch/internal/load/generator"
	"github.com/galenalatch/galenalatch/internal/load/result"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// Bounds of the duration of the load.
const (
	Shortest = 8 * time.Second
	Longest  = time.Hour
)

// startWait bounds the wait for all routers to be ready.
const startWait = 30 * time.Second

// Options change what a demo does.
type Options struct {
	// Duration is the time for which calls are made.
	Duration time.Duration
	// Seed chooses which parts fail and how large the requests are.
	Seed uint64
	// Quiet leaves out what happens when, and prints the result only.
	Quiet bool
	// Log receives the events of the routers; nil discards them.
	Log io.Writer
}

// Demo is one run of the demo.
type Demo struct {
	options Options
	out     io.Writer
	random  *rand.Rand
	site    *site
	began   time.Time
	results *result.Results

	mu     sync.Mutex
	faults []string
}

// New returns a demo that prints to out. Nothing runs before Run.
func New(out io.Writer, o Options) *Demo {
	if o.Log == nil {
		o.Log = io.Discard
	}
	return &Demo{
		options: o,
		out:     out,
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		began:   time.Now(),
		results: result.New(),
	}
}

// Run returns an error when the fleet broke a promise.
func (d *Demo) Run(ctx context.Context) error {
	if d.options.Duration < Shortest || d.options.Duration > Longest {
		return fmt.Errorf("duration: %v is not allowed; allowed: %v to %v", d.options.Duration, Shortest, Longest)
	}
	log, err := events.New(d.options.Log, "info", "logfmt")
	if err != nil {
		return err
	}
	d.site, err = newSite(log, d.options.Seed)
	if err != nil {
		return err
	}
	stop, err := d.site.start(ctx)
	if err != nil {
		return err
	}
	err = d.serve(ctx)
	// The end of the servers is no part of the demo, but a router that does
	// not end is a fault.
	if e := stop(); e != nil {
		d.fault("a router did not stop: %v", e)
	}
	if err == nil {
		err = d.verdict()
	}
	return err
}

// serve makes the calls while things happen to the fleet.
func (d *Demo) serve(ctx context.Context) error {
	ready, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	if err := d.site.waitReady(ready); err != nil {
		return err
	}
	d.say("%d routers, %d model engines and %d services serve %d workspaces in data centres %s",
		len(d.site.routers), len(d.site.backendsOf(modelPool)), len(d.site.backendsOf(bookingPool)), len(workspaces), list(dataCentres))
	p := d.plan()
	if err := p.Check(); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	checks := audit.New(p.Servers)
	s := newStory(d)
	done := make(chan struct{})
	go s.run(ctx, done)
	err := generator.New(p, d.results, checks).Run(ctx)
	<-done
	if err = errors.Join(err, ctx.Err()); err != nil {
		return err
	}
	d.say("the last calls have ended")
	return d.report(ctx, checks)
}

// report prints the tables and notes what they show broken.
func (d *Demo) report(ctx context.Context, checks *audit.Audit) error {
	counts, err := checks.Report(ctx)
	if err != nil {
		return err
	}
	d.print("\n")
	d.mu.Lock()
	err = d.results.WriteWorkspaces(d.out)
	d.mu.Unlock()
	if err != nil {
		return err
	}
	d.print("\nbackend servers: %d runs, %d completed, %d restarts, %d overruns, %d keys doubled, %d false notRun\n",
		counts.Runs, counts.Completed, counts.Boots-len(d.site.backends), counts.Overruns, counts.DoubledKeys, counts.FalseNotRun)
	for _, f := range counts.Faults() {
		d.fault("%s", f)
	}
	calls, answered, wrong := d.results.Totals()
	if wrong > 0 {
		d.fault("%d answers were wrong", wrong)
	}
	if calls > answered {
		d.fault("%d of %d calls got no answer", calls-answered, calls)
	}
	return nil
}

// verdict returns an error that lists the broken promises.
func (d *Demo) verdict() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.faults) > 0 {
		return fmt.Errorf("broken promises: %s", strings.Join(d.faults, "; "))
	}
	_, err := fmt.Fprintln(d.out, "all promises were kept")
	return err
}

// say prints what happens, with the time since the start.
func (d *Demo) say(format string, args ...any) {
	if d.options.Quiet {
		return
	}
	d.print("%6.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *Demo) print(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The verdict does not depend on the output.
	_, _ = fmt.Fprintf(d.out, format, args...)
}

// fault notes a broken promise.
func (d *Demo) fault(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	d.say("FAULT: %s", s)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, s)
}

func list[T ~string](names []T) string {
	var s []string
	for _, n := range names {
		s = append(s, string(n))
	}
	return strings.Join(s, ", ")
}
