package harness

import (
	"fmt"
	"time"
)

// Fleet is a small deployment: gateways in front of the workers of its services.
type Fleet struct {
	Gateways []*Gateway
	Workers  []*Worker
}

// StartFleet starts gateways, which reach the store at an address, and workers of the
// service pool, with the first version of the configuration.
func (c *Case) StartFleet(gateways, workers int, store string, idleTimeout time.Duration, workerArgs ...string) (*Fleet, error) {
	if err := c.Configure(1, idleTimeout); err != nil {
		return nil, err
	}
	f := &Fleet{}
	for i := range workers {
		w, err := c.StartWorker(numbered("w", i), "pool", "a", workerArgs...)
		if err != nil {
			return nil, err
		}
		f.Workers = append(f.Workers, w)
		if err := c.Register(w, "ready", 0); err != nil {
			return nil, err
		}
	}
	for i := range gateways {
		g, err := c.StartGateway(numbered("g", i), "a", store)
		if err != nil {
			return nil, err
		}
		f.Gateways = append(f.Gateways, g)
	}
	for _, g := range f.Gateways {
		if err := c.AwaitReady(g); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func numbered(prefix string, i int) string { return prefix + string(rune('1'+i)) }

// Warm makes short, sound requests on a new connection to a gateway, n for each worker, so
// that a disruption of one answer is a small share of the answers.
func (c *Case) Warm(f *Fleet, g *Gateway, n int) error {
	k, err := c.Connect(g)
	if err != nil {
		return err
	}
	defer k.Close()
	for i := range n * len(f.Workers) {
		if a := k.Do(fmt.Sprint("warm", i), "POST", "/ask/0?events=1", 5*time.Second); !a.Complete() {
			return fmt.Errorf("%w: %s", ErrSetup, a)
		}
	}
	return nil
}

// Answers returns how many requests a worker began to run.
func (w *Worker) Answers() int {
	n := 0
	for _, r := range w.Runs() {
		if r.What == "runs" {
			n++
		}
	}
	return n
}
