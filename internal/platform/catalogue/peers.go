package catalogue

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/galenalatch/galenalatch"
)

// envelope is an encoded change, or a part of a whole catalogue for a peer
// that is too far behind. Parts count from 1.
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

// Learn applies encoded changes that a peer sent. Changes that are older than
// the current catalogue are ignored, and so is everything after a gap. It
// returns the version that the store then holds.
func (s *Store) Learn(changes [][]byte) (galenalatch.Version, error) {
	for _, data := range changes {
		if err := s.learn(data); err != nil {
			return s.Current().Version, err
		}
	}
	return s.Current().Version, nil
}

func (s *Store) learn(data []byte) error {
	e, err := decode(data)
	if err != nil {
		return err
	}
	if e.Parts == 0 {
		s.put(data, e.Change)
		return nil
	}
	if e.Version > s.Current().Version {
		s.mu.Lock()
		c, complete := s.received.add(e)
		s.mu.Unlock()
		if complete {
			s.putSnapshot(c)
		}
	}
	return nil
}

// put applies a change if it follows the current catalogue.
func (s *Store) put(encoded []byte, ch galenalatch.Change) {
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

// putSnapshot takes over a catalogue if it is newer than the current one.
func (s *Store) putSnapshot(c galenalatch.Catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version <= s.Current().Version {
		return
	}
	s.current.Store(&c)
	s.log = changeLog{}
	s.notify(c)
}

// ChangesAfter returns the encoded changes after version v for a peer, up to
// the size of a message. The peer asks again for more. A peer that is too far
// behind gets the whole catalogue, in parts if that is larger than a message.
func (s *Store) ChangesAfter(v galenalatch.Version) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.Current()
	if v >= c.Version {
		return nil
	}
	if _, ok := s.log.at(v + 1); ok {
		return s.log.after(v, maxChange)
	}
	if s.parts.version != c.Version {
		ps, err := split(c)
		if err != nil {
			return nil
		}
		s.parts = ps
	}
	return s.parts.take(maxChange)
}

// History returns the newest n changes, newest first.
func (s *Store) History(ctx context.Context, n int) ([]galenalatch.Change, error) {
	var list []galenalatch.Change
	for v := s.Current().Version; v > 0 && len(list) < n; v-- {
		s.mu.Lock()
		encoded, ok := s.log.at(v)
		s.mu.Unlock()
		if !ok {
			older, err := s.stored(ctx, v, n-len(list))
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

// stored reads up to n changes from the table, from version v downwards.
func (s *Store) stored(ctx context.Context, v galenalatch.Version, n int) ([]galenalatch.Change, error) {
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
		if v < group {
			break
		}
		v = v/group*group - 1
	}
	return list, nil
}
