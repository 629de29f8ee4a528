// Package command defines the commands of the galenalatch program.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/galenalatch/galenalatch/internal/config/settings"
	"github.com/galenalatch/galenalatch/internal/config/standin"
	"github.com/galenalatch/galenalatch/internal/exit"
	"github.com/galenalatch/galenalatch/internal/process/router"
	"github.com/galenalatch/galenalatch/internal/process/standins"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// Commands holds the values of the flags and arguments of all commands.
type Commands struct {
	out     io.Writer
	path    string
	check   bool
	ids     []string
	demo    demoFlags
	measure measureFlags
}

// Register adds the commands to app. They write their results to out.
func Register(app *kingpin.Application, out io.Writer) *Commands {
	c := &Commands{out: out}
	r := app.Command("router", "Run a router.")
	r.Flag("settings", "File with the router's settings in JSON.").Required().ExistingFileVar(&c.path)
	r.Flag("check", "Check the settings and exit.").BoolVar(&c.check)
	r.Action(c.action(c.router))

	g := app.Command("gateway", "Run a router that serves operators' routes in front of registered backend servers.")
	g.Flag("settings", "File with the gateway's settings in JSON.").Envar(settingsVariable).StringVar(&c.path)
	g.Flag("check", "Check the settings and exit.").BoolVar(&c.check)
	g.Action(c.action(c.gateway))

	s := app.Command("settings", "Print the default settings of a router.")
	s.Action(c.action(c.printSettings))

	d := app.Command("standin", "Run stand-ins for the platform and the backend servers, for tests.")
	d.Flag("settings", "File with the settings of the stand-ins in JSON.").Required().ExistingFileVar(&c.path)
	d.Flag("check", "Check the settings and exit.").BoolVar(&c.check)
	d.Arg("id", `Ids of backend servers, or "platform"; all by default.`).StringsVar(&c.ids)
	d.Action(c.action(c.standins))

	l := app.Command("load", "Make calls to routers and check every answer against the stand-ins.")
	l.Flag("plan", "File with the load plan in JSON.").Required().ExistingFileVar(&c.path)
	l.Flag("check", "Check the plan and exit.").BoolVar(&c.check)
	l.Action(c.action(c.load))
	c.registerDemo(app)
	c.registerMeasure(app)
	return c
}

// action runs f with a context that ends on an interrupt or SIGTERM.
func (c *Commands) action(f func(context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		return exit.Wrap(f(ctx))
	}
}

func (c *Commands) router(ctx context.Context) error {
	s, err := settings.Load(c.path)
	if err != nil {
		return c.logInvalidSettings(err)
	}
	if c.check {
		_, err = fmt.Fprintf(c.out, "%s: settings of router %q are valid\n", c.path, s.ID)
		return err
	}
	log, err := events.New(os.Stderr, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	r, err := router.New(s, log)
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

// logInvalidSettings logs err with the default level and format, since those in
// the settings cannot be used, and returns err. With --check it only returns err.
func (c *Commands) logInvalidSettings(err error) error {
	if c.check {
		return err
	}
	d := settings.Default()
	log, e := events.New(os.Stderr, d.Log.Level, d.Log.Format)
	if e != nil {
		return errors.Join(err, e)
	}
	log.Event(events.SettingsInvalid, "file", c.path, "error", err)
	return err
}

func (c *Commands) printSettings(context.Context) error {
	_, err := fmt.Fprintln(c.out, settings.Default())
	return err
}

func (c *Commands) standins(ctx context.Context) error {
	s, err := standin.Load(c.path)
	if err != nil {
		return err
	}
	if c.check {
		_, err = fmt.Fprintf(c.out, "%s: settings of %d instances are valid\n", c.path, len(s.Instances))
		return err
	}
	return standins.New(s).Run(ctx, c.ids...)
}
