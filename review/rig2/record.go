package rig2

import (
	"fmt"
	"os"
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

// Save writes the record to a file.
func (r *Record) Save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(r.text.String()), 0o644)
}
