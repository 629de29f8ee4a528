// Package members keeps the list of routers in the platform's store. A router
// adds itself when it starts and removes itself when it stops; the others
// remove one that has been silent for long.
package members

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/fleet/feed"
)

const (
	table        = "routers"
	memberPrefix = "router/"
	// tokenKey is the row with the token by which routers know each other.
	tokenKey = "token"
	// writeTime bounds a write.
	writeTime = time.Second
	// writePause is the shortest time between two writes, so that routers
	// that correct the same row do not use up the store's rate.
	writePause = 500 * time.Millisecond
	// wait is how long the store holds a call without a change. Nothing
	// depends on the age of the list.
	wait = 15 * time.Second
	// callGap is the shortest time between two calls, since routers often
	// start together.
	callGap = time.Second
)

// Member is a router in the list.
type Member struct {
	ID         galenalatch.RouterID   `json:"-"`
	Address    string                 `json:"address"`
	DataCentre galenalatch.DataCentre `json:"dataCentre"`
	// Start is random for each start of the process.
	Start string `json:"start"`
}

// Options configure a List.
type Options struct {
	Store  galenalatch.Store
	Self   Member
	Events feed.Events
	// Changed is called with the sorted list and the token after a change.
	Changed func(list []Member, token string)
}

// List is the list of routers. It is safe for concurrent use.
type List struct {
	Options
	mu       sync.Mutex
	rows     map[string]galenalatch.StoreRow
	leaving  bool
	lastSent time.Time
}

// New returns an empty list.
func New(o Options) *List {
	return &List{Options: o, rows: make(map[string]galenalatch.StoreRow)}
}

// Run follows the list and keeps the own row in it until ctx ends.
func (l *List) Run(ctx context.Context) error {
	f := &feed.Feed{Name: table, Wait: wait, Read: l.read, Events: l.Events, Gap: callGap}
	return f.Run(ctx)
}

func (l *List) read(ctx context.Context, after, seen uint64, wait time.Duration) (galenalatch.Position, error) {
	u, err := l.Store.Rows(ctx, table, after, wait)
	if err := feed.Older(u.Position, seen, err); err != nil {
		return u.Position, err
	}
	l.mu.Lock()
	changed := u.Complete || len(u.Rows) > 0
	if u.Complete {
		clear(l.rows)
	}
	for _, r := range u.Rows {
		if r.Deleted {
			delete(l.rows, r.Key)
			continue
		}
		l.rows[r.Key] = r
	}
	list, token := l.members()
	l.mu.Unlock()
	if changed {
		l.Changed(list, token)
	}
	if err := l.ensure(ctx); err != nil {
		return u.Position, err
	}
	return u.Position, nil
}

// members returns the sorted list and the token. l.mu is held.
func (l *List) members() ([]Member, string) {
	var list []Member
	for _, k := range slices.Sorted(maps.Keys(l.rows)) {
		id, ok := strings.CutPrefix(k, memberPrefix)
		if !ok {
			continue
		}
		m := Member{ID: galenalatch.RouterID(id)}
		// A row that cannot be read names no router to use.
		if json.Unmarshal(l.rows[k].Value, &m) == nil && m.Address != "" {
			list = append(list, m)
		}
	}
	return list, string(l.rows[tokenKey].Value)
}

// ensure writes the token and the own row when they are missing. A conflict
// means that another router was faster; the feed shows its row.
func (l *List) ensure(ctx context.Context) error {
	value, err := json.Marshal(l.Self)
	if err != nil {
		return fmt.Errorf("own row: %w", err)
	}
	for _, want := range []galenalatch.StoreRow{
		{Key: tokenKey}, {Key: memberPrefix + string(l.Self.ID), Value: value},
	} {
		l.mu.Lock()
		have, ok := l.rows[want.Key]
		skip := l.leaving || ok && (want.Key == tokenKey || string(have.Value) == string(want.Value))
		l.mu.Unlock()
		if skip {
			continue
		}
		if want.Key == tokenKey {
			want.Value = newToken()
		}
		want.Version = have.Version
		if err := l.write(ctx, want); err != nil && !errors.Is(err, galenalatch.ErrWriteConflict) {
			return err
		}
	}
	return nil
}

func (l *List) write(ctx context.Context, r galenalatch.StoreRow) error {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	return l.Store.Write(ctx, table, r)
}

func newToken() []byte {
	var b [24]byte
	// The reader of crypto/rand never fails.
	_, _ = rand.Read(b[:])
	return []byte(base64.RawURLEncoding.EncodeToString(b[:]))
}

// Leave removes the own row.
func (l *List) Leave(ctx context.Context) error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	return l.Remove(ctx, l.Self.ID)
}

// Remove removes a router that is gone. It does nothing when the row has
// changed since it was read.
func (l *List) Remove(ctx context.Context, id galenalatch.RouterID) error {
	l.mu.Lock()
	r, ok := l.rows[memberPrefix+string(id)]
	recent := time.Since(l.lastSent) < writePause && id != l.Self.ID
	if ok && !recent {
		l.lastSent = time.Now()
	}
	l.mu.Unlock()
	if !ok || recent {
		return nil
	}
	err := l.write(ctx, galenalatch.StoreRow{Key: r.Key, Version: r.Version, Deleted: true})
	if errors.Is(err, galenalatch.ErrWriteConflict) {
		return nil
	}
	return err
}
