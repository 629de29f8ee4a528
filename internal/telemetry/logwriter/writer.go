// Package logwriter buffers log lines and writes them in the background, so
// that a slow destination does not delay the code that logs.
package logwriter

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
	// maxPending is the number of bytes that may wait to be written. Further
	// lines are dropped and counted.
	maxPending = 512 << 10
	// flushInterval is the time between two writes, which combine all lines
	// of that time.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers lines and writes them in the background. Write never waits
// for the destination. A Writer is safe for concurrent use.
type Writer struct {
	destination io.Writer
	mu          sync.Mutex
	pending     []byte
	// unreported is the number of lines dropped since the last flush.
	unreported int
	dropped    atomic.Int64
}

// New returns a writer to destination. Nothing is written until Run is
// called.
func New(destination io.Writer) *Writer {
	return &Writer{destination: destination}
}

// Write implements io.Writer. It buffers a copy of the line, or drops the line if
// the buffer is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending {
		w.unreported++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped so far because the buffer was full.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Run writes lines until ctx ends, then writes the rest and returns. It returns
// early when a write fails.
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

// flush writes the buffered lines, followed by the number of dropped lines if
// there are any.
func (w *Writer) flush() error {
	w.mu.Lock()
	lines, missed := w.pending, w.unreported
	w.pending, w.unreported = nil, 0
	w.mu.Unlock()
	if len(lines) > 0 {
		if _, err := w.destination.Write(lines); err != nil {
			return fmt.Errorf("write the log: %w", err)
		}
	}
	if missed > 0 {
		if _, err := fmt.Fprintf(w.destination, "level=warn msg=\"log lines dropped\" lines=%d\n", missed); err != nil {
			return errors.Join(errors.New("write the log"), err)
		}
	}
	return nil
}
