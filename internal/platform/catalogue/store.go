// Package catalogue keeps the operators' configuration in the platform's table.
// The version that a store holds never decreases.
//
// The head row holds the newest version and the id of its change. Each change
// has a row of its own. Both are written in one transaction that is conditional
// on the head row, so that one of several concurrent changes is accepted and
// the others fail with a conflict.
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
	// changesPerGroup is the number of changes that one list call returns, and
	// the number of versions between two snapshots.
	changesPerGroup = 100
	// maxChangeBytes leaves space for the envelope of a message between
	// routers, which is limited to 256 KB.
	maxChangeBytes = 192 << 10
	// maxAttempts bounds the attempts of Apply when responses are lost or
	// another change is made at the same time.
	maxAttempts = 6
)

// Store holds the newest catalogue that was read or applied. Its methods may be
// called concurrently.
type Store struct {
	table      galenalatch.Table
	objects    galenalatch.ObjectStore
	validate   func(galenalatch.Catalogue) error
	notify     func(galenalatch.Catalogue)
	retryDelay time.Duration

	current atomic.Pointer[galenalatch.Catalogue]
	mu      sync.Mutex
	log     changeLog
	// parts are those of the catalogue that was last sent in parts. received
	// collects the parts that peers have sent.
	parts    parts
	received partCollector
}

// Option configures a Store.
type Option func(*Store)

// WithValidation sets the check that Apply makes of the changed catalogue. By
// default every catalogue is valid.
func WithValidation(check func(galenalatch.Catalogue) error) Option {
	return func(s *Store) { s.validate = check }
}

// WithNotify sets a function that is called with each newer catalogue, in the
// order of versions. It must not call Apply, CatchUp or ApplyEncoded.
func WithNotify(f func(galenalatch.Catalogue)) Option {
	return func(s *Store) { s.notify = f }
}

// New returns a store that holds the empty catalogue of version 0.
func New(t galenalatch.Table, o galenalatch.ObjectStore, opts ...Option) *Store {
	s := &Store{
		table:      t,
		objects:    o,
		validate:   func(galenalatch.Catalogue) error { return nil },
		notify:     func(galenalatch.Catalogue) {},
		retryDelay: 100 * time.Millisecond,
	}
	s.current.Store(&galenalatch.Catalogue{})
	for _, o := range opts {
		o(s)
	}
	return s
}

// Current returns the newest catalogue of the store, without a call to the
// platform.
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
// version. A change is recognised by its id: applying it again returns the
// version at which it was accepted. An empty id or time is filled in.
//
// Errors are of KindConflict, whose text has the current version,
// KindInvalidCatalogue, KindTooLarge, KindPlatformDown (the change is not
// accepted) or KindWriteUnknown (the change may be accepted: apply it again
// with the same id).
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
	if len(encoded) > maxChangeBytes {
		return 0, galenalatch.KindTooLarge.Errorf("change %s has %d bytes, more than %d", ch.ID, len(encoded), maxChangeBytes)
	}
	unclear := false
	for range maxAttempts {
		err = s.attempt(ctx, base, ch, encoded)
		switch kind := galenalatch.KindOf(err); {
		case err == nil:
			if ch.Version%changesPerGroup == 0 {
				// A missing snapshot costs starting routers only further reads.
				_ = s.writeSnapshot(ctx)
			}
			return ch.Version, nil
		case kind == galenalatch.KindWriteUnknown:
			unclear = true
		case kind == galenalatch.KindPlatformDown && !unclear, kind != galenalatch.KindPlatformDown && kind != kindConcurrentChange:
			return 0, err
		}
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-time.After(s.retryDelay):
			continue
		}
		break
	}
	if unclear {
		return 0, galenalatch.KindWriteUnknown.Errorf("change %s: %w", ch.ID, err)
	}
	return 0, galenalatch.KindPlatformDown.Errorf("change %s: %w", ch.ID, err)
}

// kindConcurrentChange marks an attempt that met a concurrent change and can be
// repeated. It is not returned from the package.
const kindConcurrentChange galenalatch.Kind = "raced"

// attempt makes a change once. It may be repeated while a transaction whose
// response was lost can still take effect: both transactions are conditional on
// the same head row, and the change row identifies the one that was accepted.
func (s *Store) attempt(ctx context.Context, base galenalatch.Version, ch galenalatch.Change, encoded []byte) error {
	h, _, err := s.catchUp(ctx)
	if err != nil {
		return asPlatformDown(err)
	}
	if h.Version > base {
		row, err := s.changeAt(ctx, base+1)
		if err != nil {
			return asPlatformDown(err)
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
		// Another change was accepted and applied here after the head was read.
		return kindConcurrentChange.Errorf("catalogue has changed")
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
			return kindConcurrentChange.Errorf("%w", err)
		}
		return err
	}
	s.applyNext(encoded, ch)
	return nil
}

// asPlatformDown returns err as an error of KindPlatformDown, because a failed
// read means that nothing was written.
func asPlatformDown(err error) error {
	return galenalatch.KindPlatformDown.Errorf("%w", err)
}

// CatchUp reads the head row and all changes up to it. It returns the version
// that the store then holds and the time before the head row was read. No newer
// version existed at that time. With an error nothing is confirmed.
func (s *Store) CatchUp(ctx context.Context) (galenalatch.Version, time.Time, error) {
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
	return fmt.Sprintf("catalogue/changes/%012d/", v/changesPerGroup)
}

func changeKey(v galenalatch.Version) string {
	return fmt.Sprintf("%s%014d", changePrefix(v), v)
}

func snapshotKey(v galenalatch.Version) string {
	return fmt.Sprintf("catalogue/snapshots/%014d", v/changesPerGroup*changesPerGroup)
}
