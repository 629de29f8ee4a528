package command

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/galenalatch/galenalatch/internal/process/demo"
)

// demoFlags holds the flags of the demo command.
type demoFlags struct {
	duration time.Duration
	seed     uint64
	quiet    bool
	log      string
}

func (c *Commands) registerDemo(app *kingpin.Application) {
	d := app.Command("demo", "Run a whole fleet in this process, inject failures and check its guarantees.")
	d.Flag("duration", "Time for which calls are made.").Default("20s").DurationVar(&c.demo.duration)
	d.Flag("seed", "Seed that chooses which parts fail and how large requests are.").Default("1").Uint64Var(&c.demo.seed)
	d.Flag("quiet", "Print the result only.").BoolVar(&c.demo.quiet)
	d.Flag("log", "File for the events of the routers.").StringVar(&c.demo.log)
	d.Action(c.action(c.runDemo))
}

func (c *Commands) runDemo(ctx context.Context) error {
	o := demo.Options{Duration: c.demo.duration, Seed: c.demo.seed, Quiet: c.demo.quiet, Log: io.Discard}
	if c.demo.log != "" {
		f, err := os.Create(c.demo.log)
		if err != nil {
			return err
		}
		o.Log = f
		return errors.Join(demo.New(c.out, o).Run(ctx), f.Close())
	}
	return demo.New(c.out, o).Run(ctx)
}
