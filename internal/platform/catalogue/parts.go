package catalogue

import (
	"encoding/json"

	"github.com/galenalatch/galenalatch"
)

// partSize is the size of a part of a catalogue. Several parts fit into one
// message.
const partSize = 48 << 10

// parts is a whole catalogue as changes to the empty one, in pieces that fit
// into messages. Equal catalogues have equal parts, so the parts of a version
// can come from several peers.
type parts struct {
	version galenalatch.Version
	encoded [][]byte
	// next is the part that is sent next. A peer that asks again gets other
	// parts.
	next int
}

// split returns the parts of a catalogue.
func split(c galenalatch.Catalogue) (parts, error) {
	all := galenalatch.Diff(galenalatch.Catalogue{}, c)
	pieces := []galenalatch.Change{{Version: c.Version, DefaultLimits: all.DefaultLimits}}
	size := 0
	// room returns the piece to which an item is added.
	room := func(item any) *galenalatch.Change {
		data, err := json.Marshal(item)
		if size += len(data) + 1; err != nil || size > partSize {
			size = len(data)
			pieces = append(pieces, galenalatch.Change{Version: c.Version})
		}
		return &pieces[len(pieces)-1]
	}
	for _, p := range all.PutPools {
		ch := room(p)
		ch.PutPools = append(ch.PutPools, p)
	}
	for _, w := range all.PutWorkspaces {
		ch := room(w)
		ch.PutWorkspaces = append(ch.PutWorkspaces, w)
	}
	for _, e := range all.PutEntries {
		ch := room(e)
		ch.PutEntries = append(ch.PutEntries, e)
	}
	for _, d := range all.PutOut {
		ch := room(d)
		ch.PutOut = append(ch.PutOut, d)
	}
	for _, s := range all.PutServersOut {
		ch := room(s)
		ch.PutServersOut = append(ch.PutServersOut, s)
	}
	ps := parts{version: c.Version}
	for i, ch := range pieces {
		data, err := json.Marshal(envelope{Part: i + 1, Parts: len(pieces), Change: ch})
		if err != nil {
			return parts{}, err
		}
		ps.encoded = append(ps.encoded, data)
	}
	return ps, nil
}

// take returns the next parts that together have at most the given size, but
// at least one.
func (p *parts) take(size int) [][]byte {
	var list [][]byte
	for range p.encoded {
		part := p.encoded[p.next]
		if size -= len(part); size < 0 && len(list) > 0 {
			break
		}
		list = append(list, part)
		p.next = (p.next + 1) % len(p.encoded)
	}
	return list
}

// collection gathers the parts of one version.
type collection struct {
	version galenalatch.Version
	changes map[int]galenalatch.Change
}

// add adds a part. It returns the catalogue when all parts are there. Parts of
// a newer version replace those of an older one.
func (c *collection) add(e envelope) (galenalatch.Catalogue, bool) {
	switch {
	case e.Version < c.version:
		return galenalatch.Catalogue{}, false
	case e.Version > c.version:
		*c = collection{version: e.Version, changes: map[int]galenalatch.Change{}}
	}
	if e.Part < 1 || e.Part > e.Parts {
		return galenalatch.Catalogue{}, false
	}
	c.changes[e.Part] = e.Change
	if len(c.changes) < e.Parts {
		return galenalatch.Catalogue{}, false
	}
	var whole galenalatch.Catalogue
	for _, ch := range c.changes {
		whole = whole.WithChange(ch)
	}
	*c = collection{}
	return whole, true
}
