package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/galenalatch/galenalatch/internal/load/audit"
	"github.com/galenalatch/galenalatch/internal/load/generator"
	"github.com/galenalatch/galenalatch/internal/load/plan"
	"github.com/galenalatch/galenalatch/internal/load/result"
)

// load runs a plan, prints its results and returns an error when a guarantee of
// the fleet was violated.
func (c *Commands) load(ctx context.Context) error {
	p, err := plan.Load(c.path)
	if err != nil {
		return err
	}
	if c.check {
		_, err = fmt.Fprintf(c.out, "%s: plan with %d callers is valid\n", c.path, len(p.Callers))
		return err
	}
	results, checks := result.New(), audit.New(p.Servers)
	if err := generator.New(p, results, checks).Run(ctx); err != nil {
		return err
	}
	if err := results.Write(c.out); err != nil {
		return err
	}
	for _, l := range results.FirstErrors() {
		if _, err := fmt.Fprintln(c.out, l); err != nil {
			return err
		}
	}
	return c.checkReport(ctx, results, checks)
}

// checkReport prints the counters of the backend servers and returns an error
// that lists the violated guarantees.
func (c *Commands) checkReport(ctx context.Context, results *result.Results, checks *audit.Audit) error {
	report, err := checks.Report(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.out, "servers: %d runs, %d completed, %d overruns, %d keys doubled, %d false notRun, %d prompt tokens cached\n",
		report.Runs, report.Completed, report.ColdOverloads, report.DuplicateKeyRuns, report.RunDespiteNotRun, report.CachedTokens)
	faults := report.Violations()
	if _, _, wrong := results.Totals(); wrong > 0 {
		faults = append(faults, fmt.Sprintf("%d answers were wrong", wrong))
	}
	if len(faults) > 0 {
		return fmt.Errorf("violated guarantees: %s", strings.Join(faults, "; "))
	}
	return nil
}
