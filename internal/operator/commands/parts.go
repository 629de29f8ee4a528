package commands

import (
	"encoding/json"

	"github.com/galenalatch/galenalatch"
)

// maxPart bounds the encoded items of one change. Routers pass changes on in
// messages of at most 256 KB, and the store refuses changes of more than
// 192 KB. A catalogue of 11,000 workspaces has about 5 MB.
const maxPart = 128 << 10

// part collects items of a change until it is full.
type part struct {
	change galenalatch.Change
	bytes  int
}

// parts divides a change that is too large for one version. Items are
// removed before others are put, since a key or model may move, and
// workspaces are put before their entries.
func parts(ch galenalatch.Change) ([]galenalatch.Change, error) {
	s := &splitter{}
	s.item(ch.DefaultLimits, func(c *galenalatch.Change) { c.DefaultLimits = ch.DefaultLimits })
	each(s, ch.RemoveEntries, func(c *galenalatch.Change) *[]galenalatch.EntryKey { return &c.RemoveEntries })
	each(s, ch.RemoveWorkspaces, func(c *galenalatch.Change) *[]galenalatch.WorkspaceName { return &c.RemoveWorkspaces })
	each(s, ch.RemovePools, func(c *galenalatch.Change) *[]galenalatch.PoolName { return &c.RemovePools })
	each(s, ch.PutPools, func(c *galenalatch.Change) *[]galenalatch.Pool { return &c.PutPools })
	each(s, ch.PutWorkspaces, func(c *galenalatch.Change) *[]galenalatch.Workspace { return &c.PutWorkspaces })
	each(s, ch.PutEntries, func(c *galenalatch.Change) *[]galenalatch.Entry { return &c.PutEntries })
	each(s, ch.PutOut, func(c *galenalatch.Change) *[]galenalatch.DataCentre { return &c.PutOut })
	each(s, ch.RemoveOut, func(c *galenalatch.Change) *[]galenalatch.DataCentre { return &c.RemoveOut })
	each(s, ch.PutServersOut, func(c *galenalatch.Change) *[]galenalatch.ServerID { return &c.PutServersOut })
	each(s, ch.RemoveServersOut, func(c *galenalatch.Change) *[]galenalatch.ServerID { return &c.RemoveServersOut })
	var list []galenalatch.Change
	for _, p := range s.parts {
		list = append(list, p.change)
	}
	return list, s.err
}

type splitter struct {
	parts []part
	err   error
}

// item adds an item with the encoded form of v to the last part, or to a new
// one when the last is full.
func (s *splitter) item(v any, add func(*galenalatch.Change)) {
	data, err := json.Marshal(v)
	if err != nil {
		s.err = err
		return
	}
	if string(data) == "null" {
		return
	}
	n := len(s.parts)
	if n == 0 || s.parts[n-1].bytes+len(data) > maxPart {
		s.parts = append(s.parts, part{})
		n++
	}
	p := &s.parts[n-1]
	p.bytes += len(data) + 1
	add(&p.change)
}

func each[T any](s *splitter, list []T, field func(*galenalatch.Change) *[]T) {
	for _, v := range list {
		s.item(v, func(c *galenalatch.Change) {
			f := field(c)
			*f = append(*f, v)
		})
	}
}
