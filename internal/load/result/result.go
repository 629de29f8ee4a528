// Package result collects what the calls of a load run came to.
package result

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// largest is the longest time that the histograms hold.
const largest = time.Hour

// Row is the key of one line of the table.
type Row struct {
	Workspace string
	Work      string
}

// Call is the end of one call with its retries.
type Call struct {
	Row Row
	// Outcome is "answered" or the last outcome that the caller was told.
	Outcome string
	// Err says why the last try has no answer, if the caller knows.
	Err error
	// Wrong is set when the answer was not the whole answer to this call.
	Wrong bool
	Tries int
	// Refused is the number of tries that were not run.
	Refused int
	First   time.Duration
	// Wait is the time from the call to the first piece of its answer,
	// with the tries before.
	Wait  time.Duration
	Total time.Duration
}

type line struct {
	calls, answered, wrong, retries, refused int
	others                                   map[string]int
	first, wait, total                       *hdrhistogram.Histogram
}

func newLine() *line {
	return &line{
		others: make(map[string]int),
		first:  hdrhistogram.New(1, largest.Microseconds(), 3),
		wait:   hdrhistogram.New(1, largest.Microseconds(), 3),
		total:  hdrhistogram.New(1, largest.Microseconds(), 3),
	}
}

// Results is safe for concurrent use.
type Results struct {
	mu    sync.Mutex
	lines map[Row]*line
	// reasons are the errors of the first call with each outcome.
	reasons map[string]error
}

// New returns empty results.
func New() *Results {
	return &Results{lines: make(map[Row]*line), reasons: make(map[string]error)}
}

// Add records a call.
func (r *Results) Add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.lines[c.Row]
	if !ok {
		l = newLine()
		r.lines[c.Row] = l
	}
	l.calls++
	l.retries += c.Tries - 1
	l.refused += c.Refused
	if c.Wrong {
		l.wrong++
	}
	if c.Outcome != "answered" {
		l.others[c.Outcome]++
		if r.reasons[c.Outcome] == nil && c.Err != nil {
			r.reasons[c.Outcome] = c.Err
		}
		return
	}
	l.answered++
	// The histogram bounds its values, so that no value is an error.
	_ = l.first.RecordValue(min(c.First, largest).Microseconds())
	_ = l.wait.RecordValue(min(c.Wait, largest).Microseconds())
	_ = l.total.RecordValue(min(c.Total, largest).Microseconds())
}

// Totals returns the number of calls, of answers and of wrong answers.
func (r *Results) Totals() (calls, answered, wrong int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		calls += l.calls
		answered += l.answered
		wrong += l.wrong
	}
	return calls, answered, wrong
}

// Reasons returns a line for each outcome with the error of its first call, in
// the order of the outcomes.
func (r *Results) Reasons() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for _, o := range slices.Sorted(maps.Keys(r.reasons)) {
		lines = append(lines, fmt.Sprintf("first %s: %v", o, r.reasons[o]))
	}
	return lines
}

// Write prints the table.
func (r *Results) Write(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "WORKSPACE\tWORK\tCALLS\tANSWERED\tWRONG\tRETRIES\tOTHER\tFIRST P50\tP95\tTOTAL P50\tP95")
	for _, k := range slices.SortedFunc(maps.Keys(r.lines), func(a, b Row) int {
		return strings.Compare(a.Workspace+" "+a.Work, b.Workspace+" "+b.Work)
	}) {
		l := r.lines[k]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n", k.Workspace, k.Work, l.calls, l.answered,
			l.wrong, l.retries, others(l.others), at(l.first, 50), at(l.first, 95), at(l.total, 50), at(l.total, 95))
	}
	return t.Flush()
}

// WriteWorkspaces prints a table with one line for each workspace. Calls
// that were refused are made again, so they count as answered too.
func (r *Results) WriteWorkspaces(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := make(map[string]*line)
	for k, l := range r.lines {
		s, ok := sums[k.Workspace]
		if !ok {
			s = newLine()
			sums[k.Workspace] = s
		}
		s.calls += l.calls
		s.answered += l.answered
		s.wrong += l.wrong
		s.refused += l.refused
		for o, n := range l.others {
			s.others[o] += n
		}
		s.wait.Merge(l.wait)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "WORKSPACE\tCALLS\tANSWERED\tWRONG\tREFUSED\tOTHER\tWAIT P50\tP95\tLONGEST")
	for _, k := range slices.Sorted(maps.Keys(sums)) {
		s := sums[k]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", k, s.calls, s.answered, s.wrong, s.refused,
			others(s.others), at(s.wait, 50), at(s.wait, 95), at(s.wait, 100))
	}
	return t.Flush()
}

func others(m map[string]int) string {
	if len(m) == 0 {
		return "-"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}

func at(h *hdrhistogram.Histogram, percent float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return (time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond).Round(time.Millisecond).String()
}
