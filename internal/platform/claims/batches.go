package claims

import (
	"context"

	"github.com/galenalatch/galenalatch"
)

// Bounds of batches. While maxInFlight batches are on their way, further
// writes wait for the next one, so that the batches grow with the load.
const (
	maxInFlight   = 4
	maxBatch      = 128
	maxBatchBytes = 1 << 20
)

// batches joins concurrent writes into batches.
type batches struct {
	table   galenalatch.Table
	queue   chan item
	stopped chan struct{}
}

// item is one write that waits.
type item struct {
	write  galenalatch.Write
	result chan galenalatch.WriteResult
}

// put carries out one write as a part of a batch.
func (b batches) put(ctx context.Context, w galenalatch.Write) (galenalatch.Row, error) {
	it := item{w, make(chan galenalatch.WriteResult, 1)}
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
		return galenalatch.Row{}, galenalatch.KindUnclear.Errorf("row %q: %w", w.Key, ctx.Err())
	}
}

// loop sends one batch after the other.
func (b batches) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case it := <-b.queue:
			b.send(ctx, b.collect(it))
		}
	}
}

// collect takes the writes that wait now.
func (b batches) collect(first item) []item {
	items := []item{first}
	size := len(first.write.Value)
	for len(items) < maxBatch && size < maxBatchBytes {
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

func (b batches) send(ctx context.Context, items []item) {
	writes := make([]galenalatch.Write, len(items))
	for i, it := range items {
		writes[i] = it.write
	}
	results, err := b.table.Batch(ctx, writes)
	switch {
	case err == nil && len(results) != len(items):
		err = galenalatch.KindUnclear.Errorf("batch of %d writes has %d results", len(items), len(results))
	case err != nil && galenalatch.KindOf(err) != galenalatch.KindPlatformDown:
		err = galenalatch.KindUnclear.Errorf("%w", err)
	}
	for i, it := range items {
		if err != nil {
			it.result <- galenalatch.WriteResult{Err: err}
			continue
		}
		it.result <- results[i]
	}
}
