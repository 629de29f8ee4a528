package cell

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// maxPrefixes is the number of prompt prefixes whose last server is kept. In a
// deployment of the target size a cell has about 70 backlogged workspaces with
// a few prefixes each.
const maxPrefixes = 1024

// prefixAffinity maps prompt prefixes to the servers that were last granted
// for them. Engines report the contents of their caches late and incompletely,
// so the last grant is the better estimate.
type prefixAffinity struct {
	servers *simplelru.LRU[uint64, galenalatch.ServerID]
}

func newPrefixAffinity() prefixAffinity {
	// NewLRU fails only for a size below one.
	l, _ := simplelru.NewLRU[uint64, galenalatch.ServerID](maxPrefixes, nil)
	return prefixAffinity{l}
}

// chooseServer returns the server that was last granted for the request's
// prefix if it has a free slot, and t otherwise. No slot stays idle to wait
// for a cache hit.
func (p prefixAffinity) chooseServer(now time.Time, s *warmup.Servers, w galenalatch.Waiting, t warmup.Target) warmup.Target {
	if w.Prefix == 0 {
		return t
	}
	if id, ok := p.servers.Get(w.Prefix); ok {
		if known, free := s.PickServer(now, id); free {
			t = known
		}
	}
	p.servers.Add(w.Prefix, t.Server)
	return t
}
