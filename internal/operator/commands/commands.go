// Package commands defines the operators' commands of the command line.
package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/secret"
	"github.com/galenalatch/galenalatch/internal/config/strict"
	"github.com/galenalatch/galenalatch/internal/exit"
	"github.com/galenalatch/galenalatch/internal/operator/client"
	"github.com/galenalatch/galenalatch/internal/operator/message"
)

// tokenEnv names the variable with the operator's token. There is no flag
// for the token itself: other users could see it in the process list.
const tokenEnv = "GALENALATCH_OPERATOR_TOKEN"

// Commands holds the values of the flags and arguments.
type Commands struct {
	out       io.Writer
	routers   []string
	tokenFile string
	asJSON    bool
	timeout   time.Duration
	author    string
	file      string
	base      int64
	whole     bool
	count     int
	name      string
	force     bool
	watch     bool
	every     time.Duration
}

// Register adds the commands to app. Their output goes to out.
func Register(app *kingpin.Application, out io.Writer) *Commands {
	c := &Commands{out: out}

	cat := c.command(app, "catalogue", "Read and change the catalogue.")
	c.action(cat.Command("get", "Print the catalogue."), c.get)
	apply := c.action(cat.Command("apply", "Apply a change or a whole catalogue."), c.apply)
	apply.Arg("file", "JSON file with the change.").Required().StringVar(&c.file)
	apply.Flag("base", "Version that the change starts from. By default the current one, or that of a whole catalogue.").Default("-1").Int64Var(&c.base)
	apply.Flag("whole", "The file holds a whole catalogue; what differs is changed.").BoolVar(&c.whole)
	c.authorFlag(apply)
	diff := c.action(cat.Command("diff", "Print the change that turns the current catalogue into the one of a file."), c.diff)
	diff.Arg("file", "JSON file with a whole catalogue.").Required().StringVar(&c.file)
	history := c.action(cat.Command("history", "Print the newest changes."), c.history)
	history.Flag("count", "Number of changes.").Short('n').Default("20").IntVar(&c.count)

	dc := c.command(app, "datacentre", "Take data centres out of service and back in.")
	c.service(dc.Command("out", "Take a data centre out of service."), "data centre", (*client.Client).DataCentre, true)
	c.service(dc.Command("in", "Bring a data centre back into service."), "data centre", (*client.Client).DataCentre, false)
	server := c.command(app, "server", "Take backend servers out of service and back in.")
	serverOf := func(cl *client.Client, ctx context.Context, d galenalatch.DataCentre, out bool, s message.Service) (message.Result, error) {
		return cl.Server(ctx, galenalatch.ServerID(d), out, s)
	}
	c.service(server.Command("out", "Take a backend server out of service."), "backend server", serverOf, true)
	c.service(server.Command("in", "Bring a backend server back into service."), "backend server", serverOf, false)

	st := c.command(app, "status", "Print the status of routers.")
	st.Flag("watch", "Print it again and again until the command is interrupted.").BoolVar(&c.watch)
	st.Flag("every", "Time between two prints.").Default("2s").DurationVar(&c.every)
	st.Action(func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		return exit.Wrap(c.watchStatus(ctx))
	})
	return c
}

// command adds a command with the flags that all commands share.
func (c *Commands) command(app *kingpin.Application, name, help string) *kingpin.CmdClause {
	cmd := app.Command(name, help)
	cmd.Flag("router", "Address of a router's operator listener; repeatable. The first one that can be reached is used; status asks all.").
		Short('r').Envar("GALENALATCH_ROUTERS").Default("127.0.0.1:8082").StringsVar(&c.routers)
	cmd.Flag("token-file", "File with the operator's token. By default the token is in "+tokenEnv+".").StringVar(&c.tokenFile)
	cmd.Flag("json", "Print JSON.").BoolVar(&c.asJSON)
	cmd.Flag("timeout", "Bound of the whole command.").Default("30s").DurationVar(&c.timeout)
	return cmd
}

func (c *Commands) authorFlag(cmd *kingpin.CmdClause) {
	cmd.Flag("author", "Name in the history. By default the user's login name.").Default(login()).StringVar(&c.author)
}

func login() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func (c *Commands) action(cmd *kingpin.CmdClause, f func(context.Context) error) *kingpin.CmdClause {
	return cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		defer cancel()
		return exit.Wrap(f(ctx))
	})
}

func (c *Commands) service(cmd *kingpin.CmdClause, what string,
	call func(*client.Client, context.Context, galenalatch.DataCentre, bool, message.Service) (message.Result, error), out bool) {
	cmd.Arg("name", "Name of the "+what+".").Required().StringVar(&c.name)
	c.authorFlag(cmd)
	if out {
		cmd.Flag("force", "Accept a name that is not in the instance list.").BoolVar(&c.force)
	}
	c.action(cmd, func(ctx context.Context) error {
		s := message.Service{ID: uuid.NewString(), Author: c.author, Force: c.force}
		var res message.Result
		err := c.first(ctx, func(cl *client.Client) (err error) {
			res, err = call(cl, ctx, galenalatch.DataCentre(c.name), out, s)
			return err
		})
		return c.result(res, s.ID, err)
	})
}

// clients returns a client for each router.
func (c *Commands) clients() ([]*client.Client, error) {
	s := secret.Secret{File: c.tokenFile}
	if c.tokenFile == "" {
		s.Env = tokenEnv
	}
	token, err := s.Read()
	if err != nil {
		return nil, err
	}
	var list []*client.Client
	for _, r := range c.routers {
		list = append(list, client.New(r, token))
	}
	return list, nil
}

// answerTime is how long a router may take to tell its status before the next
// one is asked.
const answerTime = 2 * time.Second

// first calls the first router that answers. A router that accepts connections
// without answering, such as a suspended process, is recognised by a read:
// a change that it had been sent might take effect when it goes on.
func (c *Commands) first(ctx context.Context, call func(*client.Client) error) error {
	list, err := c.clients()
	if err != nil {
		return err
	}
	var errs []error
	for _, cl := range list {
		if err := answers(ctx, cl); err != nil {
			errs = append(errs, err)
			continue
		}
		err := call(cl)
		if galenalatch.KindOf(err) != galenalatch.KindServerUnreached || ctx.Err() != nil {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// answers returns an error if the router gives no answer in time. Any answer,
// also a refusal, is one.
func answers(ctx context.Context, cl *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	_, err := cl.Status(ctx)
	switch {
	case err != nil && ctx.Err() != nil:
		return galenalatch.KindServerUnreached.Errorf("no answer within %s: %w", answerTime, err)
	case galenalatch.KindOf(err) == galenalatch.KindServerUnreached:
		return err
	}
	return nil
}

// get prints JSON with and without --json: a catalogue in a table would leave
// out most fields, and the output can be edited and applied.
func (c *Commands) get(ctx context.Context) error {
	var v galenalatch.Catalogue
	err := c.first(ctx, func(cl *client.Client) (err error) {
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
	if err := c.read(&ch); err != nil {
		return err
	}
	ch.ID, ch.Author = uuid.NewString(), c.author
	var res message.Result
	err := c.first(ctx, func(cl *client.Client) (err error) {
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
	return c.result(res, ch.ID, err)
}

// applyWhole changes what differs from a whole catalogue, in several versions
// when one would be too large.
func (c *Commands) applyWhole(ctx context.Context) error {
	var whole galenalatch.Catalogue
	if err := c.read(&whole); err != nil {
		return err
	}
	base := whole.Version
	if c.base >= 0 {
		base = galenalatch.Version(c.base)
	}
	var d message.Apply
	err := c.first(ctx, func(cl *client.Client) (err error) {
		d, err = cl.Diff(ctx, whole)
		return err
	})
	if err != nil {
		return err
	}
	// Otherwise a file made from an older version would undo the changes
	// since then.
	if *d.Base != base {
		return galenalatch.KindConflict.Errorf("the file is based on version %d, the current version is %d", base, *d.Base)
	}
	list, err := parts(d.Change)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		_, err := fmt.Fprintln(c.out, "no difference")
		return err
	}
	for i, ch := range list {
		ch.ID, ch.Author = uuid.NewString(), c.author
		var res message.Result
		err := c.first(ctx, func(cl *client.Client) (err error) {
			res, err = cl.Apply(ctx, base, ch)
			return err
		})
		err = c.result(res, ch.ID, err)
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
	if err := c.read(&whole); err != nil {
		return err
	}
	var d message.Apply
	err := c.first(ctx, func(cl *client.Client) (err error) {
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
	err := c.first(ctx, func(cl *client.Client) (err error) {
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

func (c *Commands) read(v any) error {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return err
	}
	if err := strict.Decode(data, v); err != nil {
		return fmt.Errorf("%s: %w", c.file, err)
	}
	return nil
}

// result prints what became of a change. A pending one is an error, so that
// scripts do not go on before the change is in force.
func (c *Commands) result(r message.Result, id string, err error) error {
	switch kind := galenalatch.KindOf(err); {
	case err != nil && kind == galenalatch.KindUnclear:
		return fmt.Errorf("change %s may be stored, look for it in the history: %w", id, err)
	case err != nil:
		return err
	}
	if c.asJSON {
		err = c.printJSON(r)
	} else {
		_, err = fmt.Fprintf(c.out, "version %d %s, held by %d of %d routers\n", r.Version, r.State, r.Held, r.Total)
	}
	if err == nil && r.State == message.Pending {
		return galenalatch.KindPending.Errorf("version %d is stored, but not yet held by more than half of the routers", r.Version)
	}
	return err
}

func (c *Commands) printJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
