package commands

import (
	"context"
	"fmt"
	"time"
)

// minInterval is the shortest time between two prints of the status, since each
// print sends a request to all routers.
const minInterval = 100 * time.Millisecond

// watchStatus prints the status once, or with --watch repeatedly until ctx ends.
// Routers without a status do not end a watch.
func (c *Commands) watchStatus(ctx context.Context) error {
	if !c.watch {
		return c.statusOnce(ctx)
	}
	tick := time.NewTicker(max(minInterval, c.interval))
	defer tick.Stop()
	for {
		if !c.asJSON {
			if _, err := fmt.Fprintf(c.out, "%s\n", time.Now().Format(time.TimeOnly)); err != nil {
				return err
			}
		}
		if err := c.statusOnce(ctx); err != nil && ctx.Err() == nil {
			if _, err := fmt.Fprintln(c.out, err); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if !c.asJSON {
			if _, err := fmt.Fprintln(c.out); err != nil {
				return err
			}
		}
	}
}

func (c *Commands) statusOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.status(ctx)
}
