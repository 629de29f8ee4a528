// Command galenalatch runs a router, the operators' commands and the
// stand-ins.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("galenalatch", "Router fleet with fair shares for workspaces.")
	app.Version("0.1.0")
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
