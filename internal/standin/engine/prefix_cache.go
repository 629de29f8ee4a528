package engine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of tokens in a block, the unit of the prefix cache.
const blockTokens = 16

// prefixCache is a least recently used cache of prompt blocks. A block is
// identified by the hash of all tokens up to its end.
type prefixCache struct {
	maxBlocks int

	mu sync.Mutex
	// generation is the process generation that filled the cache. A restart
	// empties the cache.
	generation int
	lru        *list.List
	elements   map[uint64]*list.Element
}

// newPrefixCache returns a cache for the given number of tokens. It caches nothing
// if that is less than one block.
func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		maxBlocks: tokens / blockTokens,
		lru:       list.New(),
		elements:  make(map[uint64]*list.Element),
	}
}

// lookupAndInsert returns the number of leading tokens that were cached, and
// caches the complete blocks of the prompt.
func (c *prefixCache) lookupAndInsert(words []string, generation int) int {
	if c.maxBlocks == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation != generation {
		c.generation = generation
		c.lru.Init()
		clear(c.elements)
	}
	d := xxhash.New()
	cached, contiguous := 0, true
	for i, w := range words {
		// Writing to a digest never returns an error.
		_, _ = d.WriteString(w)
		_, _ = d.WriteString("\x00")
		if (i+1)%blockTokens != 0 {
			continue
		}
		key := d.Sum64()
		el, ok := c.elements[key]
		if ok {
			c.lru.MoveToFront(el)
		} else {
			c.elements[key] = c.lru.PushFront(key)
		}
		contiguous = contiguous && ok
		if contiguous {
			cached = i + 1
		}
	}
	for c.lru.Len() > c.maxBlocks {
		el := c.lru.Back()
		c.lru.Remove(el)
		key, _ := el.Value.(uint64)
		delete(c.elements, key)
	}
	return cached
}
