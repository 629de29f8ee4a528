// Command rig3 plays the cases of the third review. It starts gateways as separate
// processes, with stand-ins of the platform's store, of backend servers and of clients,
// and writes what was sent, answered and run to record.txt in the folder of the case.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if
// the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a case, in which all processes must have ended.
const maxDuration = 110 * time.Second

// cases are the cases by the name in the command line. Each returns the number of times
// that its rule was broken.
var cases = map[string]func(ctx context.Context, r *rig) (int, error){
	"restored-store": restoredStore,
	"lost-report":    lostReport,
	"other-writer":   otherWriter,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	r, err := newRig(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	broken, err := cases[os.Args[1]](ctx, r)
	if err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		r.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken > 0:
		r.record("RESULT: the rule was broken %d times", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.record("RESULT: the rule held")
	fmt.Println("held")
	return exitHeld
}
