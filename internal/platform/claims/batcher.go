package claims

import (
	"context"

	"github.com/galenalatch/galenalatch"
)

// Bounds of batches. While maxBatchesInFlight batches are in flight, further
// writes wait for the next one, so that batches grow with the load.
const (
	maxBatchesInFlight = 4
	maxBatchWrites     = 128
	maxBatchBytes      = 1 << 20
)

// batcher combines concurrent writes into batches.
type batcher struct {
	table   galenalatch.Table
	queue   chan pendingWrite
	stopped chan struct{}
}

// pendingWrite is a write that waits for its result.
type pendingWrite struct {
	write  galenalatch.Write
	result chan galenalatch.WriteResult
}

// put writes one row as part of a batch. Its error is of KindPlatformDown when
// ctx ends or the store stops before the write is in a batch, and of
// KindWriteUnknown when ctx ends later.
func (b batcher) put(ctx context.Context, w galenalatch.Write) (galenalatch.Row, error) {
	it := pendingWrite{w, make(chan galenalatch.WriteResult, 1)}
	select {
	case b.queue <- it:
	case <-b.stopped:
		return galenalatch.Row{}, galenalatch.KindPlatformDown.Errorf("row %q: the process is stopping", w.Key)
	case <-ctx.Done():
		return galenalatch.Row{}, galenalatch.KindPlatformDown.Errorf("row %q: %w", w.Key, ctx.Err())
	}
	select {
	case r := <-it.result:
		return r.Row, r.Err
	case <-ctx.Done():
		return galenalatch.Row{}, galenalatch.KindWriteUnknown.Errorf("row %q: %w", w.Key, ctx.Err())
	}
}

// loop sends one batch at a time until ctx ends.
func (b batcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case it := <-b.queue:
			b.send(ctx, b.collect(it))
		}
	}
}

// collect returns first and the writes that are waiting, up to the size of a
// batch.
func (b batcher) collect(first pendingWrite) []pendingWrite {
	items := []pendingWrite{first}
	size := len(first.write.Value)
	for len(items) < maxBatchWrites && size < maxBatchBytes {
		select {
		case it := <-b.queue:
			items = append(items, it)
			size += len(it.write.Value)
		default:
			return items
		}
	}
	return items
}

// send sends one batch and hands each write its result.
func (b batcher) send(ctx context.Context, items []pendingWrite) {
	writes := make([]galenalatch.Write, len(items))
	for i, it := range items {
		writes[i] = it.write
	}
	results, err := b.table.Batch(ctx, writes)
	switch {
	case err == nil && len(results) != len(items):
		err = galenalatch.KindWriteUnknown.Errorf("batch of %d writes has %d results", len(items), len(results))
	case err != nil && galenalatch.KindOf(err) != galenalatch.KindPlatformDown:
		err = galenalatch.KindWriteUnknown.Errorf("%w", err)
	}
	for i, it := range items {
		if err != nil {
			it.result <- galenalatch.WriteResult{Err: err}
			continue
		}
		it.result <- results[i]
	}
}
