// Command 1 shows that a gateway which got SIGTERM takes a request on a kept
// connection later than 3 s after the signal, passes it on, and cuts its answer.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/galenalatch/galenalatch/review/harness"
)

const (
	// firstIdle and secondIdle are the idle timeouts before and after the operator's
	// change of the configuration.
	firstIdle  = 15 * time.Second
	secondIdle = 20 * time.Second
	// afterStart is the time from the readiness of the gateways to the first connection.
	afterStart = time.Second
	// afterChange is longer than configApplyMs + 1 s, for which the change excuses
	// cut answers.
	afterChange = 5 * time.Second
	// lateRequest is when the late request is sent, counted from the signal.
	lateRequest = 4 * time.Second
	// slowAt is when a client, with SLOW=1, sends a part of a head on a new connection,
	// counted from the signal. headerTimeoutMs allows 3 s for a head.
	slowAt = 2300 * time.Millisecond
	// earlyDeadline and lateDeadline are the timeouts of the routes.
	earlyDeadline = 12 * time.Second
	lateDeadline  = 6 * time.Second
	// The answer to the early request takes 6 s, that to the late one 5.2 s.
	earlyEvents = 31
	lateEvents  = 27
)

func main() { harness.Main(run) }

func run(c *harness.Case) error {
	f, err := c.StartFleet(2, 2, c.Store.Address(), firstIdle)
	if err != nil {
		return err
	}
	g := f.Gateways[0]
	// By now the limits of the first configuration are in force for new connections.
	time.Sleep(afterStart)
	old, err := connect(c, g, "first")
	if err != nil {
		return err
	}
	defer old.Close()
	if os.Getenv("CHANGE") != "0" {
		if err := c.Configure(4, secondIdle); err != nil {
			return err
		}
	}
	time.Sleep(afterChange)
	kept, err := connect(c, g, "second")
	if err != nil {
		return err
	}
	defer kept.Close()
	early := make(chan harness.Answer, 1)
	go func() { early <- old.Do("early", "POST", "/ask/2?events=31&gap=200", earlyDeadline) }()
	time.Sleep(300 * time.Millisecond)
	if c.Trouble {
		c.Record("SIGTERM to %s", g.ID)
		if err := g.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	time.Sleep(slowAt)
	if os.Getenv("SLOW") == "1" {
		slow, err := c.Connect(g)
		if err != nil {
			return err
		}
		defer slow.Close()
		c.Record("client: sends the first line of a request on a new connection")
		if err := slow.Write("POST /ask/4 HTTP/1.1\r\n"); err != nil {
			return err
		}
	}
	time.Sleep(lateRequest - slowAt)
	late := kept.Do("late", "POST", "/summary/3?events=27&gap=200", lateDeadline)
	if e := <-early; !e.Complete() || e.Events() != earlyEvents {
		c.Broken("LOST: the stream that began before the signal ended after %d of %d events: %s", e.Events(), earlyEvents, e)
	}
	switch {
	case late.Status == 0 && !f.Workers[0].Ran("late") && !f.Workers[1].Ran("late"):
		c.Record("the late request was not read: its connection was closed before")
	case !late.Complete() || late.Events() != lateEvents:
		c.Broken("LOST: the request that was sent %s after the signal was passed on, and its connection ended after %d of %d events: %s", lateRequest, late.Events(), lateEvents, late)
	}
	return nil
}

// connect opens a connection to a gateway, and makes a short request on it.
func connect(c *harness.Case, g *harness.Gateway, id string) (*harness.Connection, error) {
	k, err := c.Connect(g)
	if err != nil {
		return nil, err
	}
	if a := k.Do(id, "POST", "/ask/1?events=2&gap=50", earlyDeadline); !a.Complete() {
		return nil, fmt.Errorf("%w: %s", harness.ErrSetup, a)
	}
	return k, nil
}
