package catalogue

import (
	"context"
	"encoding/json"
	"time"

	"github.com/galenalatch/galenalatch"
)

// maxSnapshots bounds the search for a snapshot that was not written.
const maxSnapshots = 10

// catchUp reads the head row and all changes up to it. It returns the time
// before the head was read.
func (s *Store) catchUp(ctx context.Context) (head, time.Time, error) {
	known := s.Current().Version
	sent := time.Now()
	h, err := s.readHead(ctx)
	if err != nil {
		return head{}, sent, err
	}
	if h.Version < known {
		return head{}, sent, galenalatch.KindInternal.Errorf("head row has version %d, but version %d was accepted", h.Version, known)
	}
	if h.Version > s.Current().Version+group {
		s.loadSnapshot(ctx, h.Version)
	}
	for {
		v := s.Current().Version
		if v >= h.Version {
			return h, sent, nil
		}
		if err := s.loadChanges(ctx, v+1, h.Version); err != nil {
			return head{}, sent, err
		}
		if s.Current().Version <= v {
			return head{}, sent, galenalatch.KindInternal.Errorf("change row of version %d is missing", v+1)
		}
	}
}

// loadChanges reads the changes from version first on. It may read fewer than
// up to version last.
func (s *Store) loadChanges(ctx context.Context, first, last galenalatch.Version) error {
	if last == first {
		row, err := s.table.Get(ctx, changeKey(first))
		if err != nil {
			return err
		}
		return s.learn(row.Value)
	}
	rows, err := s.table.List(ctx, changePrefix(first))
	if err != nil {
		return err
	}
	for _, r := range rows {
		if r.Key < changeKey(first) {
			continue
		}
		if err := s.learn(r.Value); err != nil {
			return err
		}
	}
	return nil
}

// changeAt returns the encoded change that led to version v.
func (s *Store) changeAt(ctx context.Context, v galenalatch.Version) ([]byte, error) {
	s.mu.Lock()
	encoded, ok := s.log.at(v)
	s.mu.Unlock()
	if ok {
		return encoded, nil
	}
	row, err := s.table.Get(ctx, changeKey(v))
	return row.Value, err
}

// loadSnapshot takes over the newest snapshot that is newer than the current
// catalogue. Without one, all changes are read instead.
func (s *Store) loadSnapshot(ctx context.Context, v galenalatch.Version) {
	for range maxSnapshots {
		if v <= s.Current().Version {
			return
		}
		data, err := s.objects.Get(ctx, snapshotKey(v))
		var c galenalatch.Catalogue
		if err == nil && json.Unmarshal(data, &c) == nil {
			s.putSnapshot(c)
			return
		}
		if galenalatch.KindOf(err) != galenalatch.KindNotFound || v < group {
			return
		}
		v -= group
	}
}

// writeSnapshot stores the current catalogue for routers that start.
func (s *Store) writeSnapshot(ctx context.Context) error {
	c := s.Current()
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return s.objects.Put(ctx, snapshotKey(c.Version), data)
}
