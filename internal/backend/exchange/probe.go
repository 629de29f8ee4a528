package exchange

import (
	"context"
	"errors"
	"syscall"

	"github.com/galenalatch/galenalatch"
)

// Refuses reports whether nothing listens at the address of a server any more, so
// that its process has ended. A connection that is opened is pooled. Calls for the
// same server at the same time open one connection.
func (c *Client) Refuses(ctx context.Context, server galenalatch.ServerID, address string) bool {
	refused, _, _ := c.probes.Do(string(server), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.ProbeTimeout)
		defer cancel()
		n, err := c.Dial(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), nil
		}
		if c.OnDial != nil {
			c.OnDial()
		}
		c.putIdle(server, newConnection(n, address))
		return false, nil
	})
	return refused.(bool)
}
