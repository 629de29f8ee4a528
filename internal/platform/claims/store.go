// Package claims ensures that a request with an idempotency key runs at most
// once. Claims are rows of the platform's table; large answers are objects.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/claim"
)

const (
	// maxInlineBytes is the size of the largest answer body that a row holds.
	maxInlineBytes = 64 << 10
	// maxPendingBytes bounds the answers that wait to be written. The claims of
	// further answers stay unfinished, so a repeated request gets an unknown
	// outcome.
	maxPendingBytes = 64 << 20
	// maxPending bounds the results that wait to be written. When it is
	// reached, new claims fail as if the platform were down.
	maxPending = 2000
)

// Store makes the claims of one process. Its methods may be called concurrently
// while Run is running.
type Store struct {
	table       galenalatch.Table
	objects     galenalatch.ObjectStore
	config      claim.Config
	batcher     batcher
	settlements chan *settlement
	stopped     chan struct{}

	mu           sync.Mutex
	pending      int
	pendingBytes int
}

// Option configures a Store.
type Option func(*Store)

// WithWait sets how long Claim waits for a claim of another process. The
// default is 10 s.
func WithWait(d time.Duration) Option {
	return func(s *Store) { s.config.Wait = d }
}

// New returns a store that uses the platform's table and object store.
func New(t galenalatch.Table, o galenalatch.ObjectStore, opts ...Option) *Store {
	s := &Store{
		table:   t,
		objects: o,
		config: claim.Config{
			Wait:    10 * time.Second,
			Resolve: 3 * time.Second,
			Poll:    100 * time.Millisecond,
			MaxPoll: time.Second,
			Retry:   300 * time.Millisecond,
			// A platform that recovers must not be overloaded by the pending
			// results of all routers.
			MaxRetry: 5 * time.Second,
		},
		settlements: make(chan *settlement),
		stopped:     make(chan struct{}),
	}
	s.batcher = batcher{table: t, queue: make(chan pendingWrite), stopped: s.stopped}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Run makes the writes of all claims until ctx ends, and then returns the error
// of ctx. Results that are not written by then end with an error of
// KindShuttingDown. Run may be called once.
func (s *Store) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer close(s.stopped)
	for range maxBatchesInFlight {
		tasks.Go(func() { s.batcher.loop(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case st := <-s.settlements:
			tasks.Go(func() { st.run(ctx) })
		}
	}
}

// Pending returns the number of results that are not written yet.
func (s *Store) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

// Claim claims the request to which the workspace has given the key in the
// pool. The fingerprint identifies the content of the request.
//
// It returns a handle when the caller may send the request; the caller must
// then call Finish or Release, unless the outcome is unknown. It returns the
// stored answer when the request has run. Errors are of KindKeyReused,
// KindInProgress (the request may have run; after a wait of up to 10 s),
// KindPlatformDown (this call runs nothing), KindWriteUnknown (it has run, but
// its answer cannot be read) or KindCallerClosed.
func (s *Store) Claim(ctx context.Context, w galenalatch.WorkspaceName, p galenalatch.PoolName, key, fingerprint string) (*Handle, *claim.Answer, error) {
	return s.claim(ctx, s.config, w, p, key, fingerprint)
}

// ClaimNoWait is like Claim, but does not wait for a claim of another process:
// it returns an error of KindInProgress at once.
func (s *Store) ClaimNoWait(ctx context.Context, w galenalatch.WorkspaceName, p galenalatch.PoolName, key, fingerprint string) (*Handle, *claim.Answer, error) {
	config := s.config
	config.NoWait = true
	return s.claim(ctx, config, w, p, key, fingerprint)
}

func (s *Store) claim(ctx context.Context, config claim.Config, w galenalatch.WorkspaceName, p galenalatch.PoolName, key, fingerprint string) (*Handle, *claim.Answer, error) {
	if s.Pending() >= maxPending {
		return nil, nil, galenalatch.KindPlatformDown.Errorf("%d results of claims wait for the platform", maxPending)
	}
	config.Key, config.ID, config.Fingerprint = rowKey(w, p, key), uuid.NewString(), fingerprint
	c := claim.New(config, time.Now())
	for c.Decision() == claim.Undecided && ctx.Err() == nil {
		s.step(ctx, c)
	}
	c.Abandon()
	h := &Handle{store: s, claim: c, config: config}
	if c.MustRelease() || c.Decision() == claim.Run && ctx.Err() != nil {
		h.settle(claim.Answer{}, true)
	}
	if err := ctx.Err(); err != nil {
		return nil, nil, galenalatch.KindCallerClosed.Errorf("claim: %w", err)
	}
	switch c.Decision() {
	case claim.Run:
		return h, nil, nil
	case claim.Replay:
		a, err := s.loadAnswer(ctx, *c.Answer())
		return nil, a, err
	case claim.KeyReused:
		return nil, nil, galenalatch.KindKeyReused.Errorf("the key was used for another request")
	case claim.InProgress:
		return nil, nil, galenalatch.KindInProgress.Errorf("the request may be running or may have run")
	}
	return nil, nil, galenalatch.KindPlatformDown.Errorf("the claim could not be written")
}

// step makes the next read, write or wait of a claim.
func (s *Store) step(ctx context.Context, c *claim.Claim) {
	switch a := c.Next(time.Now()); {
	case a.Read:
		row, err := s.table.Get(ctx, c.Key())
		c.ReadDone(time.Now(), row, err)
	case a.Write != nil:
		row, err := s.batcher.put(ctx, *a.Write)
		c.WriteDone(time.Now(), row, err)
	case !a.WaitUntil.IsZero():
		t := time.NewTimer(time.Until(a.WaitUntil))
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// loadAnswer returns a stored answer with its body.
func (s *Store) loadAnswer(ctx context.Context, a claim.Answer) (*claim.Answer, error) {
	if a.Object == "" {
		return &a, nil
	}
	data, err := s.objects.Get(ctx, a.Object)
	if err == nil {
		err = json.Unmarshal(data, &a)
	}
	if err != nil {
		return nil, galenalatch.KindWriteUnknown.Errorf("the request has run, but its answer cannot be read: %w", err)
	}
	return &a, nil
}

// rowKey returns the key of a claim's row. The key of the caller is hashed
// because it can have any length and content.
func rowKey(w galenalatch.WorkspaceName, p galenalatch.PoolName, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claims/" + url.PathEscape(string(w)) + "/" + url.PathEscape(string(p)) + "/" + hex.EncodeToString(sum[:])
}
