package commands

import (
	"encoding/json"

	"github.com/galenalatch/galenalatch"
)

// maxPartBytes bounds the encoded items of one change. Routers forward changes
// in messages of at most 256 KB, and the store refuses changes of more than
// 192 KB. A catalogue of 11,000 workspaces has about 5 MB.
const maxPartBytes = 128 << 10

// part is one of the changes into which a change is split.
type part struct {
	change galenalatch.Change
	// bytes is the size of the encoded items, with a separator after each.
	bytes int
}

// splitChange splits a change into changes that each fit into one version. They
// have to be applied in order: items are removed before others are put, since a
// key may move to another workspace or a model to another pool, and workspaces
// are put before their entries. An empty change has no parts.
func splitChange(ch galenalatch.Change) ([]galenalatch.Change, error) {
	s := &splitter{}
	s.addItem(ch.DefaultLimits, func(c *galenalatch.Change) { c.DefaultLimits = ch.DefaultLimits })
	addAll(s, ch.RemoveEntries, func(c *galenalatch.Change) *[]galenalatch.EntryKey { return &c.RemoveEntries })
	addAll(s, ch.RemoveWorkspaces, func(c *galenalatch.Change) *[]galenalatch.WorkspaceName { return &c.RemoveWorkspaces })
	addAll(s, ch.RemovePools, func(c *galenalatch.Change) *[]galenalatch.PoolName { return &c.RemovePools })
	addAll(s, ch.PutPools, func(c *galenalatch.Change) *[]galenalatch.Pool { return &c.PutPools })
	addAll(s, ch.PutWorkspaces, func(c *galenalatch.Change) *[]galenalatch.Workspace { return &c.PutWorkspaces })
	addAll(s, ch.PutEntries, func(c *galenalatch.Change) *[]galenalatch.Entry { return &c.PutEntries })
	addAll(s, ch.PutOut, func(c *galenalatch.Change) *[]galenalatch.DataCentre { return &c.PutOut })
	addAll(s, ch.RemoveOut, func(c *galenalatch.Change) *[]galenalatch.DataCentre { return &c.RemoveOut })
	addAll(s, ch.PutServersOut, func(c *galenalatch.Change) *[]galenalatch.ServerID { return &c.PutServersOut })
	addAll(s, ch.RemoveServersOut, func(c *galenalatch.Change) *[]galenalatch.ServerID { return &c.RemoveServersOut })
	var list []galenalatch.Change
	for _, p := range s.parts {
		list = append(list, p.change)
	}
	return list, s.err
}

// splitter distributes the items of a change over parts, in the order in which
// they are added.
type splitter struct {
	parts []part
	err   error
}

// addItem calls appendTo with the last part, or with a new one if the encoded form
// of v does not fit into the last part. A nil v is ignored.
func (s *splitter) addItem(v any, appendTo func(*galenalatch.Change)) {
	data, err := json.Marshal(v)
	if err != nil {
		s.err = err
		return
	}
	if string(data) == "null" {
		return
	}
	n := len(s.parts)
	if n == 0 || s.parts[n-1].bytes+len(data) > maxPartBytes {
		s.parts = append(s.parts, part{})
		n++
	}
	p := &s.parts[n-1]
	p.bytes += len(data) + 1
	appendTo(&p.change)
}

// addAll appends each item of the list to the field of a part.
func addAll[T any](s *splitter, list []T, field func(*galenalatch.Change) *[]T) {
	for _, v := range list {
		s.addItem(v, func(c *galenalatch.Change) {
			f := field(c)
			*f = append(*f, v)
		})
	}
}
