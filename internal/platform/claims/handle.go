package claims

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/claim"
)

// Handle is the right to send one request once.
type Handle struct {
	store  *Store
	claim  *claim.Claim
	config claim.Config

	once       sync.Once
	settlement *settlement
}

// Finish stores the answer for repeated requests. When ctx ends first it
// returns an error, and the writing goes on in the background. Only the first
// call of Finish or Release has an effect.
func (h *Handle) Finish(ctx context.Context, a claim.Answer) error {
	return h.wait(ctx, h.settle(a, false))
}

// Release says that the request was not sent and will not be. When ctx ends
// first it returns an error, and the writing goes on in the background.
func (h *Handle) Release(ctx context.Context) error {
	return h.wait(ctx, h.settle(claim.Answer{}, true))
}

func (h *Handle) wait(ctx context.Context, st *settlement) error {
	select {
	case <-st.done:
		return st.err
	case <-ctx.Done():
		return galenalatch.KindUnclear.Errorf("claim %s: %w", h.config.ID, ctx.Err())
	}
}

// settle hands the result over to the store's Run. It does not wait.
func (h *Handle) settle(a claim.Answer, release bool) *settlement {
	h.once.Do(func() {
		s := h.store
		st := &settlement{store: s, claim: h.claim, config: h.config, answer: a, release: release, done: make(chan struct{})}
		h.settlement = st
		size := len(a.Body)
		s.mu.Lock()
		full := s.bytes+size > maxPendingBytes
		if !full {
			s.pending++
			s.bytes += size
		}
		s.mu.Unlock()
		if full {
			st.err = galenalatch.KindPlatformDown.Errorf("too many answers wait for the platform")
			close(st.done)
			return
		}
		select {
		case s.settles <- st:
		case <-s.stopped:
			st.end(galenalatch.KindShuttingDown.Errorf("claim %s is not settled", h.config.ID))
		}
	})
	return h.settlement
}

// settlement writes the result of one claim.
type settlement struct {
	store   *Store
	claim   *claim.Claim
	config  claim.Config
	answer  claim.Answer
	release bool
	done    chan struct{}
	err     error
}

func (st *settlement) end(err error) {
	st.store.mu.Lock()
	st.store.pending--
	st.store.bytes -= len(st.answer.Body)
	st.store.mu.Unlock()
	st.err = err
	close(st.done)
}

// run tries until the result is written or ctx ends.
func (st *settlement) run(ctx context.Context) {
	if st.release {
		st.claim.Release(time.Now())
	} else {
		a, err := st.stored(ctx)
		if err != nil {
			st.end(err)
			return
		}
		st.claim.Finish(time.Now(), a)
	}
	for !st.claim.Settled() {
		if err := ctx.Err(); err != nil {
			st.end(galenalatch.KindShuttingDown.Errorf("claim %s is not settled: %w", st.config.ID, err))
			return
		}
		st.store.step(ctx, st.claim)
	}
	st.end(nil)
}

// stored returns the answer as the row holds it. A large answer becomes an
// object first.
func (st *settlement) stored(ctx context.Context) (claim.Answer, error) {
	data, err := json.Marshal(st.answer)
	if err != nil || len(st.answer.Body) <= maxInline && len(data) <= 2*maxInline {
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
