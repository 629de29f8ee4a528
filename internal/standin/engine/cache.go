package engine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the unit in which prefixes are cached.
const blockTokens = 16

// prefixCache remembers the blocks of the most recently used prompts. A block
// is identified by all tokens up to its end.
type prefixCache struct {
	blocks int

	mu sync.Mutex
	// generation is the start of the process to which the blocks belong.
	generation int
	recent     *list.List
	known      map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		blocks: tokens / blockTokens,
		recent: list.New(),
		known:  make(map[uint64]*list.Element),
	}
}

// use returns the number of leading tokens that were cached and caches the
// whole blocks of the prompt.
func (c *prefixCache) use(words []string, generation int) int {
	if c.blocks == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != generation {
		c.generation = generation
		c.recent.Init()
		clear(c.known)
	}
	d := xxhash.New()
	cached, hit := 0, true
	for i, w := range words {
		// A digest never returns an error.
		_, _ = d.WriteString(w)
		_, _ = d.WriteString("\x00")
		if (i+1)%blockTokens != 0 {
			continue
		}
		key := d.Sum64()
		el, ok := c.known[key]
		if ok {
			c.recent.MoveToFront(el)
		} else {
			c.known[key] = c.recent.PushFront(key)
		}
		hit = hit && ok
		if hit {
			cached = i + 1
		}
	}
	for c.recent.Len() > c.blocks {
		el := c.recent.Back()
		c.recent.Remove(el)
		key, _ := el.Value.(uint64)
		delete(c.known, key)
	}
	return cached
}
