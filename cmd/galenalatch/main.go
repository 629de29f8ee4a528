// Command galenalatch runs routers and gateways, the operators' commands, load
// plans, and the stand-ins for the platform and the backend servers.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/galenalatch/galenalatch/internal/exit"
	"github.com/galenalatch/galenalatch/internal/operator/commands"
	"github.com/galenalatch/galenalatch/internal/process/command"
)

const version = "0.1.0"

func main() {
	app := kingpin.New("galenalatch", "Router fleet with fair shares for workspaces.")
	app.Version(version)
	command.Register(app, os.Stdout)
	commands.Register(app, os.Stdout)
	_, err := app.Parse(os.Args[1:])
	if err == nil {
		return
	}
	hint := ""
	if run := (*exit.Error)(nil); !errors.As(err, &run) {
		hint = ", try --help"
	}
	fmt.Fprintf(os.Stderr, "galenalatch: error: %v%s\n", err, hint)
	os.Exit(exit.Code(err))
}
