// Package members maintains the list of routers in the platform's store. A
// router adds itself when it starts and removes itself when it stops. The other
// routers remove one that has been silent for a long time.
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
	// tokenKey is the row with the shared token by which routers authenticate
	// each other.
	tokenKey = "token"
	// writeTimeout bounds a write.
	writeTimeout = time.Second
	// minRemovalInterval is the shortest time between two removals of other
	// routers, so that routers that correct the same row do not use up the
	// store's rate.
	minRemovalInterval = 500 * time.Millisecond
	// pollWait is how long the store holds a call without a change. A lost
	// answer delays the list by this time.
	pollWait = 6 * time.Second
	// minCallInterval is the shortest time between two calls, since routers
	// often start together.
	minCallInterval = time.Second
)

// Member is a router in the list. Its JSON form is the value of its row.
type Member struct {
	ID         galenalatch.RouterID   `json:"-"`
	Address    string                 `json:"address"`
	DataCentre galenalatch.DataCentre `json:"dataCentre"`
	// Start is a random value for each start of the process.
	Start string `json:"start"`
}

// Options configure a List.
type Options struct {
	Store galenalatch.Store
	// Direct is the store without relays, for ReadOtherRows.
	Direct galenalatch.Store
	Self   Member
	Events feed.Events
	// Listens is as in feed.Feed. It is optional.
	Listens func() bool
	// Changed is called with the list, sorted by id, and the token after each
	// change. The token is empty until its row was read.
	Changed func(list []Member, token string)
	// OtherRows, if set, is called after each answer of the store with the rows of the
	// table that other packages write, by key. Restarted is set in the first call if
	// another process of this router was listed when this one started.
	OtherRows func(stamp galenalatch.Stamp, rows map[string]galenalatch.StoreRow, restarted bool)
}

// List is a copy of the list of routers. It is safe for concurrent use.
type List struct {
	Options
	mu          sync.Mutex
	rows        map[string]galenalatch.StoreRow
	read        bool
	position    galenalatch.Position
	leaving     bool
	lastRemoval time.Time
}

// New returns an empty list.
func New(o Options) *List {
	return &List{Options: o, rows: make(map[string]galenalatch.StoreRow)}
}

// Run follows the list and keeps the router's own row in it until ctx ends.
func (l *List) Run(ctx context.Context) error {
	f := &feed.Feed{Name: table, Wait: pollWait, Read: l.readRows, Events: l.Events, MinInterval: minCallInterval, Listens: l.Listens}
	return f.Run(ctx)
}

func (l *List) readRows(ctx context.Context, after, seen galenalatch.Position, wait time.Duration) (galenalatch.Stamp, error) {
	u, err := l.Store.Rows(ctx, table, after, wait)
	if err := feed.CheckAnswer(u.Stamp, after, seen, err); err != nil {
		return u.Stamp, err
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
	others, restarted := l.otherRows(), !l.read && l.hasEarlierProcess()
	l.read, l.position = true, u.Position
	l.mu.Unlock()
	if changed {
		l.Changed(list, token)
	}
	if l.OtherRows != nil {
		l.OtherRows(u.Stamp, others, restarted)
	}
	if err := l.ensureRows(ctx); err != nil {
		return u.Stamp, err
	}
	return u.Stamp, nil
}

// members returns the sorted list and the token. l.mu must be held.
func (l *List) members() ([]Member, string) {
	var list []Member
	for _, k := range slices.Sorted(maps.Keys(l.rows)) {
		id, ok := strings.CutPrefix(k, memberPrefix)
		if !ok {
			continue
		}
		m := Member{ID: galenalatch.RouterID(id)}
		// Rows that cannot be decoded or have no address are left out.
		if json.Unmarshal(l.rows[k].Value, &m) == nil && m.Address != "" {
			list = append(list, m)
		}
	}
	return list, string(l.rows[tokenKey].Value)
}

// otherRows returns the rows that other packages write. l.mu must be held.
func (l *List) otherRows() map[string]galenalatch.StoreRow {
	others := make(map[string]galenalatch.StoreRow)
	for k, r := range l.rows {
		if isOther(k) {
			others[k] = r
		}
	}
	return others
}

// ReadOtherRows reads the rows that other packages write and that have changed after the last
// answer of the feed, by key, from the store itself.
func (l *List) ReadOtherRows(ctx context.Context) (map[string]galenalatch.StoreRow, error) {
	l.mu.Lock()
	after := l.position
	l.mu.Unlock()
	u, err := l.Direct.Rows(ctx, table, after, 0)
	if err := feed.CheckAnswer(u.Stamp, after, after, err); err != nil {
		return nil, err
	}
	rows := make(map[string]galenalatch.StoreRow)
	for _, r := range u.Rows {
		if !r.Deleted && isOther(r.Key) {
			rows[r.Key] = r
		}
	}
	return rows, nil
}

// isOther reports whether other packages write the row with a key.
func isOther(key string) bool { return key != tokenKey && !strings.HasPrefix(key, memberPrefix) }

// hasEarlierProcess reports whether the row of this router is that of another process. l.mu
// must be held.
func (l *List) hasEarlierProcess() bool {
	r, ok := l.rows[memberPrefix+string(l.Self.ID)]
	var m Member
	return ok && (json.Unmarshal(r.Value, &m) != nil || m.Start != l.Self.Start)
}

// ensureRows writes the token and the router's own row where they are missing
// or, for the own row, different. A conflict means that another router wrote
// first; its row then comes through the feed.
func (l *List) ensureRows(ctx context.Context) error {
	value, err := json.Marshal(l.Self)
	if err != nil {
		return fmt.Errorf("encode the row of this router: %w", err)
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
		if err := l.Write(ctx, want); err != nil && !errors.Is(err, galenalatch.ErrWriteConflict) {
			return err
		}
	}
	return nil
}

// Write writes a row of the table under the condition of its version, as in
// galenalatch.Store.
func (l *List) Write(ctx context.Context, r galenalatch.StoreRow) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return l.Store.Write(ctx, table, r)
}

func newToken() []byte {
	var b [24]byte
	// The reader of crypto/rand never fails.
	_, _ = rand.Read(b[:])
	return []byte(base64.RawURLEncoding.EncodeToString(b[:]))
}

// Leave removes the router's own row and stops adding it again.
func (l *List) Leave(ctx context.Context) error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	return l.Remove(ctx, l.Self.ID)
}

// Remove removes the row of a router that has stopped or is silent. It does
// nothing when the router is not listed, when the row has changed since it was
// read, or within minRemovalInterval of the last removal.
func (l *List) Remove(ctx context.Context, id galenalatch.RouterID) error {
	l.mu.Lock()
	r, ok := l.rows[memberPrefix+string(id)]
	recent := time.Since(l.lastRemoval) < minRemovalInterval && id != l.Self.ID
	if ok && !recent {
		l.lastRemoval = time.Now()
	}
	l.mu.Unlock()
	if !ok || recent {
		return nil
	}
	err := l.Write(ctx, galenalatch.StoreRow{Key: r.Key, Version: r.Version, Deleted: true})
	if errors.Is(err, galenalatch.ErrWriteConflict) {
		return nil
	}
	return err
}
