// Package demo runs a whole fleet in one process: eight routers, the stand-in for
// the platform, model engines and plain services on loopback. The fleet serves
// the requests of several workspaces while parts of it fail or are taken out of
// service. At the end the demo checks the guarantees of the fleet.
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

// Limits of Options.Duration.
const (
	MinDuration = 8 * time.Second
	MaxDuration = time.Hour
)

// readyTimeout limits the wait for all routers to be ready.
const readyTimeout = 30 * time.Second

// Options are the options of a demo.
type Options struct {
	// Duration is the time for which requests are sent, from MinDuration to
	// MaxDuration.
	Duration time.Duration
	// Seed determines which parts fail and how large the requests are.
	Seed uint64
	// Quiet suppresses the lines about single events. The tables and the
	// result are still printed.
	Quiet bool
	// Log receives the logs of the routers. If it is nil, they are discarded.
	Log io.Writer
}

// Demo is one run of the demo. It can be run once.
type Demo struct {
	options   Options
	out       io.Writer
	random    *rand.Rand
	fleet     *fleet
	startTime time.Time
	results   *result.Results

	mu     sync.Mutex
	faults []string
}

// New returns a demo that prints to out. Run starts it.
func New(out io.Writer, o Options) *Demo {
	if o.Log == nil {
		o.Log = io.Discard
	}
	return &Demo{
		options:   o,
		out:       out,
		random:    rand.New(rand.NewPCG(o.Seed, 0)),
		startTime: time.Now(),
		results:   result.New(),
	}
}

// Run runs the demo until its duration is over or ctx ends. It returns an error
// if the demo could not run to the end, or if the fleet violated a guarantee.
func (d *Demo) Run(ctx context.Context) error {
	if d.options.Duration < MinDuration || d.options.Duration > MaxDuration {
		return fmt.Errorf("duration: %v is not allowed; allowed: %v to %v", d.options.Duration, MinDuration, MaxDuration)
	}
	log, err := events.New(d.options.Log, "info", "logfmt")
	if err != nil {
		return err
	}
	d.fleet, err = newFleet(log, d.options.Seed)
	if err != nil {
		return err
	}
	stop, err := d.fleet.start(ctx)
	if err != nil {
		return err
	}
	err = d.runLoad(ctx)
	// The demo does not check how the backend servers stop, but a router
	// that does not stop cleanly is a fault.
	if e := stop(); e != nil {
		d.reportFault("a router did not stop: %v", e)
	}
	if err == nil {
		err = d.checkResult()
	}
	return err
}

// runLoad sends the requests while the scenario runs.
func (d *Demo) runLoad(ctx context.Context) error {
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.fleet.waitReady(ready); err != nil {
		return err
	}
	d.logEvent("%d routers, %d model engines and %d services serve %d workspaces in data centres %s",
		len(d.fleet.routers), len(d.fleet.backendsOf(modelPool)), len(d.fleet.backendsOf(bookingPool)), len(workspaces), joinNames(dataCentres))
	p := d.plan()
	if err := p.Check(); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	checks := audit.New(p.Servers)
	s := newScenario(d)
	done := make(chan struct{})
	go s.run(ctx, done)
	err := generator.New(p, d.results, checks).Run(ctx)
	<-done
	if err = errors.Join(err, ctx.Err()); err != nil {
		return err
	}
	d.logEvent("the last calls have ended")
	return d.report(ctx, checks)
}

// report prints the tables and records the faults that they show.
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
		counts.Runs, counts.Completed, counts.Boots-len(d.fleet.backends), counts.ColdOverloads, counts.DuplicateKeyRuns, counts.RunDespiteNotRun)
	for _, f := range counts.Violations() {
		d.reportFault("%s", f)
	}
	calls, answered, wrong := d.results.Totals()
	if wrong > 0 {
		d.reportFault("%d answers were wrong", wrong)
	}
	if calls > answered {
		d.reportFault("%d of %d calls got no answer", calls-answered, calls)
	}
	return nil
}

// checkResult returns an error that lists the faults. Without faults it prints
// that there were none.
func (d *Demo) checkResult() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.faults) > 0 {
		return fmt.Errorf("violated guarantees: %s", strings.Join(d.faults, "; "))
	}
	_, err := fmt.Fprintln(d.out, "all promises were kept")
	return err
}

// logEvent prints a line with the time since the start, unless Quiet is set.
func (d *Demo) logEvent(format string, args ...any) {
	if d.options.Quiet {
		return
	}
	d.print("%6.1fs  %s\n", time.Since(d.startTime).Seconds(), fmt.Sprintf(format, args...))
}

func (d *Demo) print(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The result of the demo does not depend on its output.
	_, _ = fmt.Fprintf(d.out, format, args...)
}

// reportFault records and prints a violation of a guarantee.
func (d *Demo) reportFault(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	d.logEvent("FAULT: %s", s)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, s)
}

func joinNames[T ~string](names []T) string {
	var s []string
	for _, n := range names {
		s = append(s, string(n))
	}
	return strings.Join(s, ", ")
}
