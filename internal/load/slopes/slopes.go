// Package slopes measures how the memory, the messages and the processor time
// of a fleet grow with its size. It runs small fleets of complete routers with
// stand-ins on loopback, or single components of a router, at several sizes and
// fits a line through each measured value.
package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Point holds the values that were measured at one size.
type Point struct {
	// X is the size, in the unit of the Result.
	X float64 `json:"x"`
	// Values holds the measured values by name.
	Values map[string]float64 `json:"values"`
}

// Result is the result of one experiment.
type Result struct {
	Name string `json:"name"`
	// Role names the part of the system whose cost is measured.
	Role string `json:"role"`
	// Unit describes what the X of the points counts.
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Fits holds the line through each value by its name.
	Fits map[string]Fit `json:"fits"`
}

// Measurement runs experiments and prints their results. Create it with New.
type Measurement struct {
	out    io.Writer
	only   string
	json   bool
	window time.Duration
}

// Option configures a Measurement.
type Option func(*Measurement)

// WithName runs only the experiment of that name. An empty name means all.
func WithName(name string) Option { return func(m *Measurement) { m.only = name } }

// WithJSON selects JSON instead of tables as output.
func WithJSON(on bool) Option { return func(m *Measurement) { m.json = on } }

// WithWindow sets the time for which a running fleet is observed at each
// size. The default is 4 s.
func WithWindow(d time.Duration) Option { return func(m *Measurement) { m.window = d } }

// New returns a measurement that prints to out.
func New(out io.Writer, options ...Option) *Measurement {
	m := &Measurement{out: out, window: 4 * time.Second}
	for _, o := range options {
		o(m)
	}
	return m
}

// experiment measures how values grow with one size.
type experiment struct {
	name, role, unit string
	measure          func(ctx context.Context, m *Measurement) ([]Point, error)
}

// experiments returns the experiments, from the smallest to the largest.
func experiments() []experiment {
	return []experiment{
		{"backlogged", "dispatcher", "backlogged workspaces in one cell", measureBacklog},
		{"progress", "entry and dispatcher", "running requests in one progress message", measureProgress},
		{"directory", "entry and dispatcher", "routers in the instance list", measureDirectories},
		{"workspaces", "entry", "workspaces in the catalogue", measureWorkspaces},
		{"rows", "use of the platform", "lease rows that one router follows", measureLeaseRows},
		{"connections", "entry and dispatcher", "connections of one router", measureConnections},
		{"routers", "entry and dispatcher", "routers", measureRouters},
		{"cells", "dispatcher", "cells of 4 routers, one backend server each", measureCells},
		{"servers", "dispatcher", "backend servers in 4 cells of 4 routers", measureServers},
		{"requests", "entry and dispatcher", "requests a second to 4 routers", measureRequests},
		{"tokens", "entry", "tokens a second through 4 routers", measureTokens},
		{"changes", "operator client", "catalogue changes a second to 4 routers", measureChanges},
	}
}

// Names returns the names of all experiments in the order in which they run.
func Names() []string {
	var names []string
	for _, s := range experiments() {
		names = append(names, s.name)
	}
	return names
}

// Run runs the experiments one after the other. Tables are printed after each
// experiment, JSON after the last one. The first error ends the run, and an
// unknown name is an error.
func (m *Measurement) Run(ctx context.Context) error {
	var results []Result
	for _, s := range experiments() {
		if m.only != "" && m.only != s.name {
			continue
		}
		points, err := s.measure(ctx, m)
		if err != nil {
			return fmt.Errorf("slope %s: %w", s.name, err)
		}
		r := newResult(s, points)
		results = append(results, r)
		if !m.json {
			if err := r.write(m.out); err != nil {
				return err
			}
		}
	}
	if len(results) == 0 {
		return fmt.Errorf("slope %q is not known; known: %s", m.only, strings.Join(Names(), ", "))
	}
	if !m.json {
		return nil
	}
	e := json.NewEncoder(m.out)
	e.SetIndent("", "  ")
	return e.Encode(results)
}

// newResult fits a line through each value that occurs in the points.
func newResult(s experiment, points []Point) Result {
	r := Result{Name: s.name, Role: s.role, Unit: s.unit, Points: points, Fits: make(map[string]Fit)}
	names := make(map[string]bool)
	for _, p := range points {
		for k := range p.Values {
			names[k] = true
		}
	}
	for k := range names {
		var xs, ys []float64
		for _, p := range points {
			if v, ok := p.Values[k]; ok {
				xs, ys = append(xs, p.X), append(ys, v)
			}
		}
		r.Fits[k] = fit(xs, ys)
	}
	return r
}

func (r Result) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "%s (%s), x = %s\n", r.Name, r.Role, r.Unit)
	_, _ = fmt.Fprint(t, "value\t")
	for _, p := range r.Points {
		_, _ = fmt.Fprintf(t, "x=%.4g\t", p.X)
	}
	_, _ = fmt.Fprint(t, "at x=0\tper x\tresidual\tof largest\t\n")
	for _, k := range slices.Sorted(maps.Keys(r.Fits)) {
		_, _ = fmt.Fprintf(t, "%s\t", k)
		for _, p := range r.Points {
			if v, ok := p.Values[k]; ok {
				_, _ = fmt.Fprintf(t, "%.5g\t", v)
			} else {
				_, _ = fmt.Fprint(t, "-\t")
			}
		}
		f := r.Fits[k]
		_, _ = fmt.Fprintf(t, "%.4g\t%.4g\t%.3g\t%.1f%%\t\n", f.Intercept, f.Slope, f.Residual, 100*f.Relative)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}
