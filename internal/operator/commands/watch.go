package commands

import (
	"context"
	"fmt"
	"time"
)

// shortest is the least time between two prints of the status: each asks all
// routers.
const shortest = 100 * time.Millisecond

// watchStatus prints the status once, or until ctx ends. Routers that give no
// status do not end a watch.
func (c *Commands) watchStatus(ctx context.Context) error {
	if !c.watch {
		return c.statusOnce(ctx)
	}
	tick := time.NewTicker(max(shortest, c.every))
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
