// Package result collects the results of the calls of a load run.
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

// maxTime is the longest time that the histograms hold. Longer times count as
// maxTime.
const maxTime = time.Hour

// Key identifies one row of the table.
type Key struct {
	Workspace string
	Operation string
}

// Call is the result of one call with its retries.
type Call struct {
	Key Key
	// Outcome is "answered" or the outcome of the last attempt.
	Outcome string
	// Err is the reason why the last attempt has no answer, or nil if the
	// reason is not known.
	Err error
	// Wrong is set if the answer is not the expected one.
	Wrong bool
	// Attempts is the number of attempts, at least 1.
	Attempts int
	// Refused is the number of attempts that were not run.
	Refused int
	// TimeToFirst is the time from the start of the last attempt to the first
	// chunk of a streamed answer, or to the end of another answer.
	TimeToFirst time.Duration
	// Wait is the time from the start of the first attempt to the first chunk
	// of the answer, Total the time to the end of the call.
	Wait  time.Duration
	Total time.Duration
}

type row struct {
	calls, answered, wrong, retries, refused int
	otherOutcomes                            map[string]int
	first, wait, total                       *hdrhistogram.Histogram
}

func newRow() *row {
	return &row{
		otherOutcomes: make(map[string]int),
		first:         hdrhistogram.New(1, maxTime.Microseconds(), 3),
		wait:          hdrhistogram.New(1, maxTime.Microseconds(), 3),
		total:         hdrhistogram.New(1, maxTime.Microseconds(), 3),
	}
}

// Results collects calls and prints tables of them. It is safe for concurrent
// use. Create it with New.
type Results struct {
	mu   sync.Mutex
	rows map[Key]*row
	// firstErrors holds the first error of each outcome.
	firstErrors map[string]error
}

// New returns empty results.
func New() *Results {
	return &Results{rows: make(map[Key]*row), firstErrors: make(map[string]error)}
}

// Add records a call.
func (r *Results) Add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.rows[c.Key]
	if !ok {
		l = newRow()
		r.rows[c.Key] = l
	}
	l.calls++
	l.retries += c.Attempts - 1
	l.refused += c.Refused
	if c.Wrong {
		l.wrong++
	}
	if c.Outcome != "answered" {
		l.otherOutcomes[c.Outcome]++
		if r.firstErrors[c.Outcome] == nil && c.Err != nil {
			r.firstErrors[c.Outcome] = c.Err
		}
		return
	}
	l.answered++
	// RecordValue fails only for values beyond maxTime.
	_ = l.first.RecordValue(min(c.TimeToFirst, maxTime).Microseconds())
	_ = l.wait.RecordValue(min(c.Wait, maxTime).Microseconds())
	_ = l.total.RecordValue(min(c.Total, maxTime).Microseconds())
}

// Totals returns the numbers of calls, of answered calls and of wrong answers.
func (r *Results) Totals() (calls, answered, wrong int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.rows {
		calls += l.calls
		answered += l.answered
		wrong += l.wrong
	}
	return calls, answered, wrong
}

// FirstErrors returns a line with the first error of each outcome that has one,
// sorted by outcome.
func (r *Results) FirstErrors() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for _, o := range slices.Sorted(maps.Keys(r.firstErrors)) {
		lines = append(lines, fmt.Sprintf("first %s: %v", o, r.firstErrors[o]))
	}
	return lines
}

// Write prints a table with one row for each workspace and operation.
func (r *Results) Write(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "WORKSPACE\tWORK\tCALLS\tANSWERED\tWRONG\tRETRIES\tOTHER\tFIRST P50\tP95\tTOTAL P50\tP95")
	for _, k := range slices.SortedFunc(maps.Keys(r.rows), func(a, b Key) int {
		return strings.Compare(a.Workspace+" "+a.Operation, b.Workspace+" "+b.Operation)
	}) {
		l := r.rows[k]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n", k.Workspace, k.Operation, l.calls, l.answered,
			l.wrong, l.retries, formatOutcomes(l.otherOutcomes), formatPercentile(l.first, 50), formatPercentile(l.first, 95), formatPercentile(l.total, 50), formatPercentile(l.total, 95))
	}
	return t.Flush()
}

// WriteWorkspaces prints a table with one row for each workspace. The column
// REFUSED counts attempts; a call with refused attempts may also be answered.
func (r *Results) WriteWorkspaces(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := make(map[string]*row)
	for k, l := range r.rows {
		s, ok := sums[k.Workspace]
		if !ok {
			s = newRow()
			sums[k.Workspace] = s
		}
		s.calls += l.calls
		s.answered += l.answered
		s.wrong += l.wrong
		s.refused += l.refused
		for o, n := range l.otherOutcomes {
			s.otherOutcomes[o] += n
		}
		s.wait.Merge(l.wait)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "WORKSPACE\tCALLS\tANSWERED\tWRONG\tREFUSED\tOTHER\tWAIT P50\tP95\tLONGEST")
	for _, k := range slices.Sorted(maps.Keys(sums)) {
		s := sums[k]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", k, s.calls, s.answered, s.wrong, s.refused,
			formatOutcomes(s.otherOutcomes), formatPercentile(s.wait, 50), formatPercentile(s.wait, 95), formatPercentile(s.wait, 100))
	}
	return t.Flush()
}

func formatOutcomes(m map[string]int) string {
	if len(m) == 0 {
		return "-"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}

func formatPercentile(h *hdrhistogram.Histogram, percent float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return (time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond).Round(time.Millisecond).String()
}
