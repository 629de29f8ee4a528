// Package commands defines the operators' commands of the command line. They
// call the operators' API of the routers.
package commands

import (
	"context"
	"encoding/json"
	"errors"
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
	"github.com/galenalatch/galenalatch/internal/exit"
	"github.com/galenalatch/galenalatch/internal/operator/client"
	"github.com/galenalatch/galenalatch/internal/operator/message"
)

// tokenEnv is the environment variable with the operator's token. There is no
// flag for the token: other users could read it in the process list.
const tokenEnv = "GALENALATCH_OPERATOR_TOKEN"

// Commands holds the values of the flags and arguments. Create it with Register.
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
	interval  time.Duration
	gateways  []string
}

// Register adds the commands to app. They run when app parses a command line
// and print to out. The errors of a command that ran are of type *exit.Error.
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
	c.serviceCommand(dc.Command("out", "Take a data centre out of service."), "data centre", (*client.Client).SetDataCentreService, true)
	c.serviceCommand(dc.Command("in", "Bring a data centre back into service."), "data centre", (*client.Client).SetDataCentreService, false)
	server := c.command(app, "server", "Take backend servers out of service and back in.")
	changeServer := func(cl *client.Client, ctx context.Context, d galenalatch.DataCentre, out bool, s message.ServiceRequest) (message.ApplyResult, error) {
		return cl.SetServerService(ctx, galenalatch.ServerID(d), out, s)
	}
	c.serviceCommand(server.Command("out", "Take a backend server out of service."), "backend server", changeServer, true)
	c.serviceCommand(server.Command("in", "Bring a backend server back into service."), "backend server", changeServer, false)

	c.registerRollout(app)
	st := c.command(app, "status", "Print the status of routers.")
	st.Flag("watch", "Print it again and again until the command is interrupted.").BoolVar(&c.watch)
	st.Flag("every", "Time between two prints.").Default("2s").DurationVar(&c.interval)
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

// action runs f with the timeout of the command line.
func (c *Commands) action(cmd *kingpin.CmdClause, f func(context.Context) error) *kingpin.CmdClause {
	return cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		defer cancel()
		return exit.Wrap(f(ctx))
	})
}

// serviceCommand defines a command that takes something out of service or back
// in. The noun is used in the help text. The call takes the name as a
// DataCentre, also for backend servers.
func (c *Commands) serviceCommand(cmd *kingpin.CmdClause, noun string,
	call func(*client.Client, context.Context, galenalatch.DataCentre, bool, message.ServiceRequest) (message.ApplyResult, error), out bool) {
	cmd.Arg("name", "Name of the "+noun+".").Required().StringVar(&c.name)
	c.authorFlag(cmd)
	if out {
		cmd.Flag("force", "Accept a name that is not in the instance list.").BoolVar(&c.force)
	}
	c.action(cmd, func(ctx context.Context) error {
		s := message.ServiceRequest{ID: uuid.NewString(), Author: c.author, Force: c.force}
		var res message.ApplyResult
		err := c.callFirst(ctx, func(cl *client.Client) (err error) {
			res, err = call(cl, ctx, galenalatch.DataCentre(c.name), out, s)
			return err
		})
		return c.printResult(res, s.ID, err)
	})
}

// clients returns a client for each router of the command line.
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

// statusTimeout bounds the status request that checks a router before it is
// used. After it the next router is tried.
const statusTimeout = 2 * time.Second

// callFirst calls the first router that responds. It checks each router with a
// read before the call: a router that accepts connections without responding,
// such as a suspended process, could apply a change that was sent to it when it
// resumes.
func (c *Commands) callFirst(ctx context.Context, call func(*client.Client) error) error {
	list, err := c.clients()
	if err != nil {
		return err
	}
	var errs []error
	for _, cl := range list {
		if err := checkReachable(ctx, cl); err != nil {
			errs = append(errs, err)
			continue
		}
		err := call(cl)
		if galenalatch.KindOf(err) != galenalatch.KindServerUnreachable || ctx.Err() != nil {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// checkReachable returns an error if the router does not respond within
// statusTimeout. A response with an error counts as a response.
func checkReachable(ctx context.Context, cl *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, err := cl.Status(ctx)
	switch {
	case err != nil && ctx.Err() != nil:
		return galenalatch.KindServerUnreachable.Errorf("no answer within %s: %w", statusTimeout, err)
	case galenalatch.KindOf(err) == galenalatch.KindServerUnreachable:
		return err
	}
	return nil
}

func (c *Commands) printJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
