package command

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/galenalatch/galenalatch/internal/load/slopes"
)

// measureFlags holds the flags of the measure command.
type measureFlags struct {
	only   string
	json   bool
	window time.Duration
}

func (c *Commands) registerMeasure(app *kingpin.Application) {
	m := app.Command("measure", "Measure how state, messages and processor time grow with the size of a small fleet in this process.")
	m.Flag("only", "Name of the only slope to measure.").EnumVar(&c.measure.only, slopes.Names()...)
	m.Flag("json", "Print JSON instead of tables.").BoolVar(&c.measure.json)
	m.Flag("window", "Time for which a running fleet is observed at each size.").Default("4s").DurationVar(&c.measure.window)
	m.Action(c.action(c.runMeasure))
}

func (c *Commands) runMeasure(ctx context.Context) error {
	f := c.measure
	return slopes.New(c.out, slopes.WithName(f.only), slopes.WithJSON(f.json), slopes.WithWindow(f.window)).Run(ctx)
}
