package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"

	settings "github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/process/gateway"
	"github.com/galenalatch/galenalatch/internal/telemetry/logwriter"
)

// settingsVariable is the environment variable with the path of a gateway's
// settings file. It is used when the flag is not given.
const settingsVariable = "GALENALATCH_BOOT"

// gateway runs a gateway until ctx ends. Another goroutine writes its log to
// standard output.
func (c *Commands) gateway(ctx context.Context) error {
	// Without Notify, SIGHUP ends the process. It may arrive right after the
	// start, so Notify comes first, and right before the end, so that there is no
	// Stop.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if c.path == "" {
		return fmt.Errorf("no settings file: give --settings or set %s", settingsVariable)
	}
	if c.check {
		s, err := settings.Load(c.path)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.out, "%s: settings of gateway %q are valid\n", c.path, s.ID)
		return err
	}
	lines := logwriter.New(os.Stdout)
	g, err := gateway.New(c.path, lines, reload)
	if err != nil {
		return err
	}
	writing, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return lines.Run(writing) })
	err = g.Run(ctx)
	stop()
	return errors.Join(err, group.Wait())
}
