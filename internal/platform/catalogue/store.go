// Package catalogue keeps the operators' configuration in the platform's
// table. The versions that it holds only grow.
//
// The head row names the newest version and the id of its change. Each change
// has a row of its own. Both are written in one transaction that is
// conditional on the head row, so that of several concurrent changes one is
// accepted and the others get a conflict.
package catalogue

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
)

const (
	headKey = "catalogue/head"
	// group is the number of changes that one list read returns, and the
	// number of versions between two snapshots.
	group = 100
	// maxChange leaves room for the envelope of a message between routers,
	// which is bounded to 256 KB.
	maxChange = 192 << 10
	// attempts bounds how often Apply tries to resolve a lost response.
	attempts = 6
)

// Store holds the newest known catalogue. Its methods may be called
// concurrently.
type Store struct {
	table    galenalatch.Table
	objects  galenalatch.ObjectStore
	validate func(galenalatch.Catalogue) error
	notify   func(galenalatch.Catalogue)
	retry    time.Duration

	current atomic.Pointer[galenalatch.Catalogue]
	mu      sync.Mutex
	log     changeLog
	// parts are the parts of the current catalogue if a peer asked for them,
	// received the parts that peers have sent.
	parts    parts
	received collection
}

// Option changes a Store.
type Option func(*Store)

// WithValidation sets the check that a changed catalogue must pass.
func WithValidation(check func(galenalatch.Catalogue) error) Option {
	return func(s *Store) { s.validate = check }
}

// WithNotify sets a function that is called with each newer catalogue, in
// order of versions. It must not call Apply, Confirm or Learn.
func WithNotify(f func(galenalatch.Catalogue)) Option {
	return func(s *Store) { s.notify = f }
}

// New returns a store that holds the empty catalogue of version 0.
func New(t galenalatch.Table, o galenalatch.ObjectStore, opts ...Option) *Store {
	s := &Store{
		table:    t,
		objects:  o,
		validate: func(galenalatch.Catalogue) error { return nil },
		notify:   func(galenalatch.Catalogue) {},
		retry:    100 * time.Millisecond,
	}
	s.current.Store(&galenalatch.Catalogue{})
	for _, o := range opts {
		o(s)
	}
	return s
}

// Current returns the newest known catalogue.
func (s *Store) Current() galenalatch.Catalogue {
	return *s.current.Load()
}

// head is the value of the head row.
type head struct {
	Version galenalatch.Version `json:"version"`
	Change  string              `json:"change"`
	tag     string
}

// Apply makes a change to the catalogue of version base and returns the new
// version. A change that was accepted before, recognised by its id, returns
// its version again.
//
// Errors are of KindConflict, which names the current version,
// KindInvalidCatalogue, KindTooLarge, KindPlatformDown (the change is not
// accepted) or KindUnclear (it may be: apply it again with the same id).
func (s *Store) Apply(ctx context.Context, base galenalatch.Version, ch galenalatch.Change) (galenalatch.Version, error) {
	if ch.ID == "" {
		ch.ID = uuid.NewString()
	}
	if ch.At.IsZero() {
		ch.At = time.Now().UTC()
	}
	ch.Version = base + 1
	encoded, err := json.Marshal(ch)
	if err != nil {
		return 0, galenalatch.KindBadRequest.Errorf("change %s: %w", ch.ID, err)
	}
	if len(encoded) > maxChange {
		return 0, galenalatch.KindTooLarge.Errorf("change %s has %d bytes, more than %d", ch.ID, len(encoded), maxChange)
	}
	unclear := false
	for range attempts {
		err = s.attempt(ctx, base, ch, encoded)
		switch kind := galenalatch.KindOf(err); {
		case err == nil:
			if ch.Version%group == 0 {
				// Routers that start read more changes while a snapshot is
				// missing.
				_ = s.writeSnapshot(ctx)
			}
			return ch.Version, nil
		case kind == galenalatch.KindUnclear:
			unclear = true
		case kind == galenalatch.KindPlatformDown && !unclear, kind != galenalatch.KindPlatformDown && kind != errRaced:
			return 0, err
		}
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-time.After(s.retry):
			continue
		}
		break
	}
	if unclear {
		return 0, galenalatch.KindUnclear.Errorf("change %s: %w", ch.ID, err)
	}
	return 0, galenalatch.KindPlatformDown.Errorf("change %s: %w", ch.ID, err)
}

// errRaced marks an attempt whose transaction met another one. It does not
// leave the package.
const errRaced galenalatch.Kind = "raced"

// attempt makes a change once. While a transaction with a lost response may
// still take effect, repeating it is safe: both are conditional on the same
// head row, and the change row names the winner.
func (s *Store) attempt(ctx context.Context, base galenalatch.Version, ch galenalatch.Change, encoded []byte) error {
	h, _, err := s.catchUp(ctx)
	if err != nil {
		return noEffect(err)
	}
	if h.Version > base {
		row, err := s.changeAt(ctx, base+1)
		if err != nil {
			return noEffect(err)
		}
		if accepted, err := decode(row); err == nil && accepted.ID == ch.ID {
			return nil
		}
	}
	if h.Version != base {
		return galenalatch.KindConflict.Errorf("change %s is based on version %d, the current version is %d", ch.ID, base, h.Version)
	}
	next := s.Current()
	if next.Version != base {
		// Another change was accepted and learned after the head was read.
		return errRaced.Errorf("catalogue has changed")
	}
	next = next.WithChange(ch)
	if err := s.validate(next); err != nil {
		return galenalatch.KindInvalidCatalogue.Errorf("change %s: %w", ch.ID, err)
	}
	value, err := json.Marshal(head{Version: ch.Version, Change: ch.ID})
	if err != nil {
		return galenalatch.KindInternal.Errorf("change %s: %w", ch.ID, err)
	}
	_, err = s.table.Transaction(ctx, []galenalatch.Write{
		{Key: headKey, Value: value, IfTag: h.tag, IfAbsent: h.tag == ""},
		{Key: changeKey(ch.Version), Value: encoded, IfAbsent: true},
	})
	if err != nil {
		if galenalatch.KindOf(err) == galenalatch.KindConflict {
			return errRaced.Errorf("%w", err)
		}
		return err
	}
	s.put(encoded, ch)
	return nil
}

// noEffect turns an error of a read into the kind of a write that was not
// sent.
func noEffect(err error) error {
	return galenalatch.KindPlatformDown.Errorf("%w", err)
}

// Confirm reads the head row and catches up with it. It returns the version
// that the store then holds and the time before the read was sent.
func (s *Store) Confirm(ctx context.Context) (galenalatch.Version, time.Time, error) {
	_, sent, err := s.catchUp(ctx)
	return s.Current().Version, sent, err
}

func (s *Store) readHead(ctx context.Context) (head, error) {
	row, err := s.table.Get(ctx, headKey)
	if galenalatch.KindOf(err) == galenalatch.KindNotFound {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	h := head{tag: row.Tag}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, galenalatch.KindInternal.Errorf("head row of the catalogue: %w", err)
	}
	return h, nil
}

func changePrefix(v galenalatch.Version) string {
	return fmt.Sprintf("catalogue/changes/%012d/", v/group)
}

func changeKey(v galenalatch.Version) string {
	return fmt.Sprintf("%s%014d", changePrefix(v), v)
}

func snapshotKey(v galenalatch.Version) string {
	return fmt.Sprintf("catalogue/snapshots/%014d", v/group*group)
}
