// Package sink writes log lines without delaying those who log.
package sink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPending bounds the bytes that wait to be written. Lines beyond it
	// are dropped and counted.
	maxPending = 512 << 10
	// flushInterval gathers lines into fewer writes.
	flushInterval = 100 * time.Millisecond
)

// Writer gathers lines and writes them in the background. Write never blocks
// on the destination.
type Writer struct {
	to      io.Writer
	mu      sync.Mutex
	pending []byte
	missed  int
	dropped atomic.Int64
}

// New returns a writer to a destination. It writes while Run runs.
func New(to io.Writer) *Writer {
	return &Writer{to: to}
}

// Write implements io.Writer. It keeps a copy of the line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending {
		w.missed++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Run writes lines until ctx ends, then what is left.
func (w *Writer) Run(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	var failed error
	for failed == nil {
		select {
		case <-ctx.Done():
			return w.flush()
		case <-t.C:
			failed = w.flush()
		}
	}
	return failed
}

func (w *Writer) flush() error {
	w.mu.Lock()
	lines, missed := w.pending, w.missed
	w.pending, w.missed = nil, 0
	w.mu.Unlock()
	if len(lines) > 0 {
		if _, err := w.to.Write(lines); err != nil {
			return fmt.Errorf("write the log: %w", err)
		}
	}
	if missed > 0 {
		if _, err := fmt.Fprintf(w.to, "level=warn msg=\"log lines dropped\" lines=%d\n", missed); err != nil {
			return errors.Join(errors.New("write the log"), err)
		}
	}
	return nil
}
