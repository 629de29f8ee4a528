package catalogue

import (
	"encoding/json"

	"github.com/galenalatch/galenalatch"
)

// maxPartBytes bounds the items of a part as JSON, unless a single item is
// larger. Several parts fit into one message.
const maxPartBytes = 48 << 10

// parts is a catalogue as changes to the empty catalogue, each small enough for
// a message. Equal catalogues have equal parts, so the parts of a version may
// come from several peers.
type parts struct {
	version galenalatch.Version
	encoded [][]byte
	// next is the index of the part that is sent next, so that a peer that asks
	// again gets other parts.
	next int
}

// splitCatalogue returns the parts of a catalogue.
func splitCatalogue(c galenalatch.Catalogue) (parts, error) {
	all := galenalatch.Diff(galenalatch.Catalogue{}, c)
	pieces := []galenalatch.Change{{Version: c.Version, DefaultLimits: all.DefaultLimits}}
	size := 0
	// pieceFor returns the piece to which an item is added. It starts a new
	// piece when the item does not fit.
	pieceFor := func(item any) *galenalatch.Change {
		data, err := json.Marshal(item)
		if size += len(data) + 1; err != nil || size > maxPartBytes {
			size = len(data)
			pieces = append(pieces, galenalatch.Change{Version: c.Version})
		}
		return &pieces[len(pieces)-1]
	}
	for _, p := range all.PutPools {
		ch := pieceFor(p)
		ch.PutPools = append(ch.PutPools, p)
	}
	for _, w := range all.PutWorkspaces {
		ch := pieceFor(w)
		ch.PutWorkspaces = append(ch.PutWorkspaces, w)
	}
	for _, e := range all.PutEntries {
		ch := pieceFor(e)
		ch.PutEntries = append(ch.PutEntries, e)
	}
	for _, d := range all.PutOut {
		ch := pieceFor(d)
		ch.PutOut = append(ch.PutOut, d)
	}
	for _, s := range all.PutServersOut {
		ch := pieceFor(s)
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

// take returns the next parts with at most size bytes in total, but at least
// one.
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

// partCollector collects the parts of one version.
type partCollector struct {
	version galenalatch.Version
	changes map[int]galenalatch.Change
}

// add adds a part. It returns the catalogue, and true, when it has all parts. A
// part of a newer version discards the parts of an older one.
func (c *partCollector) add(e envelope) (galenalatch.Catalogue, bool) {
	switch {
	case e.Version < c.version:
		return galenalatch.Catalogue{}, false
	case e.Version > c.version:
		*c = partCollector{version: e.Version, changes: map[int]galenalatch.Change{}}
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
	*c = partCollector{}
	return whole, true
}
