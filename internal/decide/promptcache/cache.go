// Package promptcache estimates which prompt parts a model engine still keeps, so
// that requests go where the beginning of their prompt need not be read again.
//
// An engine keeps parts in the memory that its running requests leave, and drops
// those that were not used for longest. A part that was used when the engine had read
// a number of tokens is therefore lost once it has read as many more as fit the
// memory. A cache holds that number for each part instead of the whole order, which
// other routers change too. The package reads no clock.
package promptcache

import "math"

// maxParts bounds the parts of one cache.
const maxParts = 256

// Cache is the estimate for one engine. The zero value is one that has read nothing.
type Cache struct {
	// read is the number of tokens that the engine has read.
	read float64
	// used holds, for the key of each part, what had been read at its last use. The
	// key covers all parts before it.
	used map[uint64]float64
}

// Read counts tokens that the engine has read for any router.
func (c *Cache) Read(tokens float64) {
	c.read += tokens
}

// Use records that the engine has the parts of a prompt in its memory now. The keys
// are in the order of the prompt, and memory is as for Parts.
func (c *Cache) Use(keys []uint64, memory int) {
	if c.used == nil {
		c.used = make(map[uint64]float64)
	}
	for _, k := range keys {
		if _, ok := c.used[k]; !ok && len(c.used) >= maxParts {
			c.makeRoom(memory)
		}
		c.used[k] = c.read
	}
}

// Parts returns how many parts at the start of a prompt the engine still keeps. A
// part counts only with all parts before it. Memory is the number of tokens that
// running requests leave for parts; 0 or less means that nothing is kept.
func (c *Cache) Parts(keys []uint64, memory int) int {
	if len(c.used) == 0 {
		return 0
	}
	for i, k := range keys {
		if used, ok := c.used[k]; !ok || c.lost(used, memory) {
			return i
		}
	}
	return len(keys)
}

func (c *Cache) lost(used float64, memory int) bool {
	return c.read-used >= float64(memory)
}

// makeRoom removes the lost parts, or the one that was not used for longest if there
// are none.
func (c *Cache) makeRoom(memory int) {
	var oldest uint64
	least := math.Inf(1)
	for k, used := range c.used {
		if c.lost(used, memory) {
			delete(c.used, k)
		} else if used < least || used == least && k > oldest {
			oldest, least = k, used
		}
	}
	if len(c.used) >= maxParts {
		delete(c.used, oldest)
	}
}
