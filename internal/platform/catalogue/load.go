package catalogue

import (
	"context"
	"encoding/json"
	"time"

	"github.com/galenalatch/galenalatch"
)

// maxSnapshotReads bounds how many snapshots are tried. A snapshot can be
// missing because its write failed.
const maxSnapshotReads = 10

// catchUp reads the head row and all changes up to it. It returns the head and
// the time before the head was read.
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
	if h.Version > s.Current().Version+changesPerGroup {
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

// loadChanges reads and applies the changes from version first on. It may stop
// before version last, at the end of a group.
func (s *Store) loadChanges(ctx context.Context, first, last galenalatch.Version) error {
	if last == first {
		row, err := s.table.Get(ctx, changeKey(first))
		if err != nil {
			return err
		}
		return s.applyEncoded(row.Value)
	}
	rows, err := s.table.List(ctx, changePrefix(first))
	if err != nil {
		return err
	}
	for _, r := range rows {
		if r.Key < changeKey(first) {
			continue
		}
		if err := s.applyEncoded(r.Value); err != nil {
			return err
		}
	}
	return nil
}

// changeAt returns the encoded change that produced version v.
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

// loadSnapshot loads the newest snapshot up to version v that is newer than the
// current catalogue. Without one the catalogue stays, and all changes are read
// instead.
func (s *Store) loadSnapshot(ctx context.Context, v galenalatch.Version) {
	for range maxSnapshotReads {
		if v <= s.Current().Version {
			return
		}
		data, err := s.objects.Get(ctx, snapshotKey(v))
		var c galenalatch.Catalogue
		if err == nil && json.Unmarshal(data, &c) == nil {
			s.replace(c)
			return
		}
		if galenalatch.KindOf(err) != galenalatch.KindNotFound || v < changesPerGroup {
			return
		}
		v -= changesPerGroup
	}
}

// writeSnapshot stores the current catalogue, so that a starting router need
// not read all changes.
func (s *Store) writeSnapshot(ctx context.Context) error {
	c := s.Current()
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return s.objects.Put(ctx, snapshotKey(c.Version), data)
}
