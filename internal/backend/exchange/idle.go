package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// takeIdle removes and returns the most recently used idle connection that the
// request may use, or nil.
func (c *Client) takeIdle(r *Request) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := c.idle[r.Server]
	for len(list) > 0 {
		k := list[len(list)-1]
		if r.MaxIdleAge > 0 && now.Sub(k.idleSince) > r.MaxIdleAge {
			break
		}
		list = list[:len(list)-1]
		if k.address == r.Address && now.Before(k.idleUntil) && k.isReusable() {
			c.idle[r.Server] = list
			return k
		}
		k.abort()
	}
	c.idle[r.Server] = list
	return nil
}

func (c *Client) putIdle(server galenalatch.ServerID, k *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := append(c.idle[server], k)
	if len(list) > c.MaxIdle {
		list[0].abort()
		list = list[1:]
	}
	c.idle[server] = list
}

// Expire closes the idle connections that have reached their timeout and those
// to servers for which known returns false. It calls known without holding a
// lock.
func (c *Client) Expire(now time.Time, known func(galenalatch.ServerID) bool) {
	knownServers := make(map[galenalatch.ServerID]bool)
	for _, s := range c.idleServers() {
		knownServers[s] = known(s)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, list := range c.idle {
		isKnown, checked := knownServers[server]
		kept := list[:0]
		for _, k := range list {
			if (isKnown || !checked) && now.Before(k.idleUntil) {
				kept = append(kept, k)
				continue
			}
			k.abort()
		}
		if len(kept) == 0 {
			delete(c.idle, server)
			continue
		}
		c.idle[server] = kept
	}
}

func (c *Client) idleServers() []galenalatch.ServerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.idle))
}

// HasIdle reports whether the pool holds an idle connection to the server. It
// may have expired.
func (c *Client) HasIdle(s galenalatch.ServerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[s]) > 0
}

// Idle returns the number of idle connections.
func (c *Client) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, list := range c.idle {
		n += len(list)
	}
	return n
}
