package exchange

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/galenalatch/galenalatch"
)

// settleTime is how long a connection must stay open to show that a process listens. A
// process that ends closes its connections before its listener, for which the kernel
// still accepts connections until then.
const settleTime = 20 * time.Millisecond

// probeDials bounds the connections of one probe. A server that resets connections
// beyond those that it takes still listens.
const probeDials = 2

// Refuses reports whether nothing listens at the address of a server any more, so
// that its process has ended. A connection that stays open is pooled. Calls for the
// same server at the same time open one connection.
func (c *Client) Refuses(ctx context.Context, server galenalatch.ServerID, address string) bool {
	refused, _, _ := c.probes.Do(string(server), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.ProbeTimeout)
		defer cancel()
		for range probeDials {
			n, err := c.Dial(ctx, "tcp", address)
			if err != nil {
				return errors.Is(err, syscall.ECONNREFUSED), nil
			}
			if c.OnDial != nil {
				c.OnDial()
			}
			k := newConnection(n, address)
			if staysOpen(ctx, k) {
				c.putIdle(server, k)
				break
			}
			k.abort()
		}
		return false, nil
	})
	return refused.(bool)
}

// staysOpen reports whether a new connection is still open after settleTime.
func staysOpen(ctx context.Context, k *connection) bool {
	select {
	case <-ctx.Done():
	case <-time.After(settleTime):
	}
	return k.isReusable()
}
