package catalogue

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/galenalatch/galenalatch"
)

// envelope is an encoded change, or one part of a catalogue for a peer that is
// too far behind. Part counts from 1; Parts is 0 for a change.
type envelope struct {
	Part  int `json:"part,omitempty"`
	Parts int `json:"parts,omitempty"`
	galenalatch.Change
}

func decode(data []byte) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return envelope{}, galenalatch.KindBadRequest.Errorf("change: %w", err)
	}
	return e, nil
}

// ApplyEncoded applies encoded changes from a peer. It ignores changes that are
// not newer than the current catalogue, and changes after a missing version. It
// returns the version that the store then holds. The error is of KindBadRequest
// when a change cannot be decoded.
func (s *Store) ApplyEncoded(changes [][]byte) (galenalatch.Version, error) {
	for _, data := range changes {
		if err := s.applyEncoded(data); err != nil {
			return s.Current().Version, err
		}
	}
	return s.Current().Version, nil
}

// applyEncoded applies an encoded change, or adds a part of a catalogue.
func (s *Store) applyEncoded(data []byte) error {
	e, err := decode(data)
	if err != nil {
		return err
	}
	if e.Parts == 0 {
		s.applyNext(data, e.Change)
		return nil
	}
	if e.Version > s.Current().Version {
		s.mu.Lock()
		c, complete := s.received.add(e)
		s.mu.Unlock()
		if complete {
			s.replace(c)
		}
	}
	return nil
}

// applyNext applies a change if its version follows that of the current
// catalogue.
func (s *Store) applyNext(encoded []byte, ch galenalatch.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Current()
	if ch.Version != old.Version+1 {
		return
	}
	next := old.WithChange(ch)
	s.current.Store(&next)
	s.log.add(ch.Version, encoded)
	s.notify(next)
}

// replace replaces the current catalogue if c is newer.
func (s *Store) replace(c galenalatch.Catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version <= s.Current().Version {
		return
	}
	s.current.Store(&c)
	s.log = changeLog{}
	s.notify(c)
}

// EncodedChangesAfter returns encoded changes after version v for a peer, up to
// the size of a message; the peer asks again for more. A peer that is too far
// behind gets the whole catalogue, in several parts if that is larger than a
// message. The result is nil when v is the current version or newer.
func (s *Store) EncodedChangesAfter(v galenalatch.Version) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.Current()
	if v >= c.Version {
		return nil
	}
	if _, ok := s.log.at(v + 1); ok {
		return s.log.after(v, maxChangeBytes)
	}
	if s.parts.version != c.Version {
		ps, err := splitCatalogue(c)
		if err != nil {
			return nil
		}
		s.parts = ps
	}
	return s.parts.take(maxChangeBytes)
}

// History returns the newest n changes, newest first. Changes that are not in
// memory are read from the table; with an error it returns the changes read so
// far.
func (s *Store) History(ctx context.Context, n int) ([]galenalatch.Change, error) {
	var list []galenalatch.Change
	for v := s.Current().Version; v > 0 && len(list) < n; v-- {
		s.mu.Lock()
		encoded, ok := s.log.at(v)
		s.mu.Unlock()
		if !ok {
			older, err := s.readChangesUpTo(ctx, v, n-len(list))
			return append(list, older...), err
		}
		e, err := decode(encoded)
		if err != nil {
			return list, err
		}
		list = append(list, e.Change)
	}
	return list, nil
}

// readChangesUpTo reads up to n changes from the table, newest first, starting
// with version v.
func (s *Store) readChangesUpTo(ctx context.Context, v galenalatch.Version, n int) ([]galenalatch.Change, error) {
	var list []galenalatch.Change
	for v > 0 && len(list) < n {
		rows, err := s.table.List(ctx, changePrefix(v))
		if err != nil {
			return list, err
		}
		for _, r := range slices.Backward(rows) {
			if r.Key > changeKey(v) || len(list) == n {
				continue
			}
			e, err := decode(r.Value)
			if err != nil {
				return list, err
			}
			list = append(list, e.Change)
		}
		if v < changesPerGroup {
			break
		}
		v = v/changesPerGroup*changesPerGroup - 1
	}
	return list, nil
}
