package rig2

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Record is the record of a case: what was sent, answered and run, with times from the
// start.
type Record struct {
	start time.Time
	mu    sync.Mutex
	text  strings.Builder
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Printf adds a line with the present time.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Seconds returns a time as seconds from the start.
func (r *Record) Seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Calls adds a line for each call with its answer and its runs, in the order in which the
// calls began.
func (r *Record) Calls(answers []Answer, runs []Run) {
	byID := make(map[string][]Run)
	for _, run := range runs {
		byID[run.ID] = append(byID[run.ID], run)
	}
	answers = slices.SortedFunc(slices.Values(answers), func(a, b Answer) int { return a.Sent.Compare(b.Sent) })
	for _, a := range answers {
		line := fmt.Sprintf("request %s sent to %s at %.3f, ", a.ID, a.Address, r.Seconds(a.Sent))
		if a.Status == 0 {
			line += fmt.Sprintf("no answer (%v)", a.Err)
		} else {
			line += fmt.Sprintf("answer %d, seal %q, %d bytes, %d events, whole: %t", a.Status, a.Seal, len(a.Body), strings.Count(a.Body, "id: "), a.Whole)
		}
		line += fmt.Sprintf(", ended at %.3f", r.Seconds(a.Ended))
		all := slices.SortedFunc(slices.Values(byID[a.ID]), func(a, b Run) int { return a.Arrived.Compare(b.Arrived) })
		for _, run := range all {
			line += "; run by " + r.describe(run)
		}
		r.Printf("%s", line)
	}
}

// describe returns what is known of a run.
func (r *Record) describe(run Run) string {
	at := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.3f", r.Seconds(t))
	}
	return fmt.Sprintf("%s: arrived %s, began %s, ended %s, %d events, spoiled: %t, Last-Event-Id: %q",
		run.Worker, at(run.Arrived), at(run.Begun), at(run.Ended), run.Events, run.Garbled, cmp.Or(run.LastEvent, "none"))
}

// Save writes the record to a file.
func (r *Record) Save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(r.text.String()), 0o644)
}
