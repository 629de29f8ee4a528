package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/exit"
	"github.com/galenalatch/galenalatch/internal/http1/transport"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

// maxRollouts bounds the bytes of the response of a gateway.
const maxRollouts = 1 << 20

// registerRollout adds the commands about roll-outs. They ask gateways, whose metrics
// listeners need no token.
func (c *Commands) registerRollout(app *kingpin.Application) {
	r := app.Command("rollout", "Examine roll-outs of new versions of services.")
	st := r.Command("status", "Print what gateways know of the roll-out of a service.")
	st.Arg("service", "Name of the service.").Required().StringVar(&c.name)
	st.Flag("gateway", "Address of a gateway's metrics listener; repeatable. All are asked.").
		Short('g').Envar("GALENALATCH_GATEWAYS").Default("127.0.0.1:7401").StringsVar(&c.gateways)
	st.Flag("json", "Print JSON.").BoolVar(&c.asJSON)
	st.Flag("timeout", "Bound of the whole command.").Default("10s").DurationVar(&c.timeout)
	st.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		defer cancel()
		return exit.Wrap(c.rolloutStatus(ctx))
	})
}

// rolloutStatus prints what the gateways know of a roll-out. It fails if a gateway does not
// respond, or none knows of a roll-out.
func (c *Commands) rolloutStatus(ctx context.Context) error {
	var all []status.Rollout
	var errs []error
	for _, g := range c.gateways {
		list, err := rollouts(ctx, g)
		errs = append(errs, err)
		all = append(all, slices.DeleteFunc(list, func(r status.Rollout) bool { return r.Service != c.name })...)
	}
	err := errors.Join(errs...)
	if len(all) == 0 && err == nil {
		return galenalatch.KindNotFound.Errorf("no gateway knows of a roll-out of service %q", c.name)
	}
	if c.asJSON {
		return errors.Join(c.printJSON(all), err)
	}
	return errors.Join(c.printRollouts(all), err)
}

// rolloutClient asks gateways for their roll-outs.
var rolloutClient = &http.Client{Transport: transport.New(&http.Transport{DisableKeepAlives: true})}

// rollouts asks a gateway for its roll-outs.
func rollouts(ctx context.Context, address string) (list []status.Rollout, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/rollouts", nil)
	if err != nil {
		return nil, err
	}
	response, err := rolloutClient.Do(r)
	if err != nil {
		return nil, galenalatch.KindServerUnreachable.Errorf("%w", err)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %s", address, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRollouts)).Decode(&list); err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return list, nil
}

// printRollouts prints a line for each gateway, with the reasons below.
func (c *Commands) printRollouts(all []status.Rollout) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GATEWAY\tTO\tSTATE\tSTEP\tLEFT\tVERDICT\tEXPOSED\tREQUESTS\tSETTLED\tKNOWN\tROUTERS")
	for _, r := range all {
		left := time.Duration(r.SecondsLeft * float64(time.Second)).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n",
			r.Router, r.Target, r.State, r.Step, left, r.Verdict, r.Exposed, r.Requests, r.Settled, r.Known, r.Routers)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range all {
		if _, err := fmt.Fprintf(c.out, "%s: %s\n", r.Router, r.Why); err != nil {
			return err
		}
		if r.Stopped == "" {
			continue
		}
		if _, err := fmt.Fprintf(c.out, "%s has stopped: %s\n", r.Router, r.Stopped); err != nil {
			return err
		}
	}
	return nil
}
