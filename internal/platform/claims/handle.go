package claims

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/claim"
)

// Handle is the permission to send one request once. Its methods may be called
// concurrently.
type Handle struct {
	store  *Store
	claim  *claim.Claim
	config claim.Config

	once       sync.Once
	settlement *settlement
}

// Finish stores the answer for repeated requests. When ctx ends first, it
// returns an error of KindWriteUnknown, and writing continues in the
// background. The error is of KindPlatformDown when too many answers are
// waiting to be written, and of KindShuttingDown when the store stops first.
// Only the first call of Finish or Release has an effect.
func (h *Handle) Finish(ctx context.Context, a claim.Answer) error {
	return h.wait(ctx, h.settle(a, false))
}

// Release records that the request was not sent and will not be. When ctx ends
// first, it returns an error of KindWriteUnknown, and writing continues in the
// background. The error is of KindShuttingDown when the store stops first. Only
// the first call of Finish or Release has an effect.
func (h *Handle) Release(ctx context.Context) error {
	return h.wait(ctx, h.settle(claim.Answer{}, true))
}

// wait waits until the result is written or ctx ends.
func (h *Handle) wait(ctx context.Context, st *settlement) error {
	select {
	case <-st.done:
		return st.err
	case <-ctx.Done():
		return galenalatch.KindWriteUnknown.Errorf("claim %s: %w", h.config.ID, ctx.Err())
	}
}

// settle hands the result to the store's Run without waiting until it is
// written.
func (h *Handle) settle(a claim.Answer, release bool) *settlement {
	h.once.Do(func() {
		s := h.store
		st := &settlement{store: s, claim: h.claim, config: h.config, answer: a, release: release, done: make(chan struct{})}
		h.settlement = st
		size := len(a.Body)
		s.mu.Lock()
		full := s.pendingBytes+size > maxPendingBytes
		if !full {
			s.pending++
			s.pendingBytes += size
		}
		s.mu.Unlock()
		if full {
			st.err = galenalatch.KindPlatformDown.Errorf("too many answers wait for the platform")
			close(st.done)
			return
		}
		select {
		case s.settlements <- st:
		case <-s.stopped:
			st.complete(galenalatch.KindShuttingDown.Errorf("claim %s is not settled", h.config.ID))
		}
	})
	return h.settlement
}

// settlement is the result of one claim while it is being written. err is set
// before done is closed.
type settlement struct {
	store   *Store
	claim   *claim.Claim
	config  claim.Config
	answer  claim.Answer
	release bool
	done    chan struct{}
	err     error
}

// complete records that the result is written, or the error that prevents it.
func (st *settlement) complete(err error) {
	st.store.mu.Lock()
	st.store.pending--
	st.store.pendingBytes -= len(st.answer.Body)
	st.store.mu.Unlock()
	st.err = err
	close(st.done)
}

// run tries to write the result until it is written or ctx ends.
func (st *settlement) run(ctx context.Context) {
	if st.release {
		st.claim.Release(time.Now())
	} else {
		a, err := st.storedAnswer(ctx)
		if err != nil {
			st.complete(err)
			return
		}
		st.claim.Finish(time.Now(), a)
	}
	for !st.claim.Settled() {
		if err := ctx.Err(); err != nil {
			st.complete(galenalatch.KindShuttingDown.Errorf("claim %s is not settled: %w", st.config.ID, err))
			return
		}
		st.store.step(ctx, st.claim)
	}
	st.complete(nil)
}

// storedAnswer returns the answer in the form that the row holds. An answer
// that is too large for the row is written as an object first.
func (st *settlement) storedAnswer(ctx context.Context) (claim.Answer, error) {
	data, err := json.Marshal(st.answer)
	if err != nil || len(st.answer.Body) <= maxInlineBytes && len(data) <= 2*maxInlineBytes {
		return st.answer, err
	}
	a := claim.Answer{Status: st.answer.Status, Object: "answers/" + st.config.Key + "/" + st.config.ID}
	for {
		if st.store.objects.Put(ctx, a.Object, data) == nil {
			return a, nil
		}
		select {
		case <-ctx.Done():
			return a, galenalatch.KindShuttingDown.Errorf("claim %s is not settled: %w", st.config.ID, ctx.Err())
		case <-time.After(st.config.Retry):
		}
	}
}
