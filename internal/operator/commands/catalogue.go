package commands

import (
	"context"
	"fmt"
	"os"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/strict"
	"github.com/galenalatch/galenalatch/internal/operator/client"
	"github.com/galenalatch/galenalatch/internal/operator/message"
)

// get always prints JSON, also without --json: a table would leave out most
// fields of a catalogue, and JSON can be edited and applied.
func (c *Commands) get(ctx context.Context) error {
	var v galenalatch.Catalogue
	err := c.callFirst(ctx, func(cl *client.Client) (err error) {
		v, err = cl.Catalogue(ctx)
		return err
	})
	if err != nil {
		return err
	}
	return c.printJSON(v)
}

func (c *Commands) apply(ctx context.Context) error {
	if c.whole {
		return c.applyWhole(ctx)
	}
	var ch galenalatch.Change
	if err := c.readFile(&ch); err != nil {
		return err
	}
	ch.ID, ch.Author = uuid.NewString(), c.author
	var res message.ApplyResult
	err := c.callFirst(ctx, func(cl *client.Client) (err error) {
		base := galenalatch.Version(max(0, c.base))
		if c.base < 0 {
			now, err := cl.Catalogue(ctx)
			if err != nil {
				return err
			}
			base = now.Version
		}
		res, err = cl.Apply(ctx, base, ch)
		return err
	})
	return c.printResult(res, ch.ID, err)
}

// applyWhole applies the difference between the current catalogue and a whole
// one. A difference that is too large for one version is applied in several.
func (c *Commands) applyWhole(ctx context.Context) error {
	var whole galenalatch.Catalogue
	if err := c.readFile(&whole); err != nil {
		return err
	}
	base := whole.Version
	if c.base >= 0 {
		base = galenalatch.Version(c.base)
	}
	var d message.ApplyRequest
	err := c.callFirst(ctx, func(cl *client.Client) (err error) {
		d, err = cl.Diff(ctx, whole)
		return err
	})
	if err != nil {
		return err
	}
	// A file made from an older version would undo later changes.
	if *d.Base != base {
		return galenalatch.KindConflict.Errorf("the file is based on version %d, the current version is %d", base, *d.Base)
	}
	list, err := splitChange(d.Change)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		_, err := fmt.Fprintln(c.out, "no difference")
		return err
	}
	for i, ch := range list {
		ch.ID, ch.Author = uuid.NewString(), c.author
		var res message.ApplyResult
		err := c.callFirst(ctx, func(cl *client.Client) (err error) {
			res, err = cl.Apply(ctx, base, ch)
			return err
		})
		err = c.printResult(res, ch.ID, err)
		if err != nil && len(list) > 1 {
			return fmt.Errorf("part %d of %d: %w", i+1, len(list), err)
		}
		if err != nil {
			return err
		}
		base = res.Version
	}
	return nil
}

func (c *Commands) diff(ctx context.Context) error {
	var whole galenalatch.Catalogue
	if err := c.readFile(&whole); err != nil {
		return err
	}
	var d message.ApplyRequest
	err := c.callFirst(ctx, func(cl *client.Client) (err error) {
		d, err = cl.Diff(ctx, whole)
		return err
	})
	if err != nil {
		return err
	}
	if c.asJSON {
		return c.printJSON(d.Change)
	}
	return c.printChange(d.Change)
}

func (c *Commands) history(ctx context.Context) error {
	var list []galenalatch.Change
	err := c.callFirst(ctx, func(cl *client.Client) (err error) {
		list, err = cl.History(ctx, c.count)
		return err
	})
	if err != nil {
		return err
	}
	if c.asJSON {
		return c.printJSON(list)
	}
	return c.printHistory(list)
}

func (c *Commands) readFile(v any) error {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return err
	}
	if err := strict.Decode(data, v); err != nil {
		return fmt.Errorf("%s: %w", c.file, err)
	}
	return nil
}

// printResult prints the result of a change. A pending change is also an error,
// so that scripts do not continue before the change is in force.
func (c *Commands) printResult(r message.ApplyResult, id string, err error) error {
	switch kind := galenalatch.KindOf(err); {
	case err != nil && kind == galenalatch.KindWriteUnknown:
		return fmt.Errorf("change %s may be stored, look for it in the history: %w", id, err)
	case err != nil:
		return err
	}
	if c.asJSON {
		err = c.printJSON(r)
	} else {
		_, err = fmt.Fprintf(c.out, "version %d %s, held by %d of %d routers\n", r.Version, r.State, r.Holders, r.Total)
	}
	if err == nil && r.State == message.Pending {
		return galenalatch.KindPending.Errorf("version %d is stored, but not yet held by more than half of the routers", r.Version)
	}
	return err
}
