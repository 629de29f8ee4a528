package cell

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/warmup"
)

// maxPrefixes bounds the prompt prefixes whose last server is remembered. At
// the target size a cell has about 70 backlogged workspaces with a few
// prefixes each.
const maxPrefixes = 1024

// prefixes remembers the server that last ran a prompt prefix. Engines tell
// of their caches late and with gaps, so the last grant is the better guess.
type prefixes struct {
	servers *simplelru.LRU[uint64, galenalatch.ServerID]
}

func newPrefixes() prefixes {
	// The only error is that of a size below one.
	l, _ := simplelru.NewLRU[uint64, galenalatch.ServerID](maxPrefixes, nil)
	return prefixes{l}
}

// choose returns the server that last ran the request's prefix when it has a
// free slot, and t otherwise: no slot stays idle for the sake of a cache.
func (p prefixes) choose(now time.Time, s *warmup.Servers, w galenalatch.Waiting, t warmup.Target) warmup.Target {
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
