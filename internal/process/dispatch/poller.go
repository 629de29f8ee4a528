package dispatch

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// pollEvery is how often a server's load report is read.
	pollEvery = 500 * time.Millisecond
	// pollTimeout bounds one read.
	pollTimeout = time.Second
)

// poller reads the load reports of one backend server.
type poller struct {
	host    *Host
	cell    galenalatch.CellID
	server  galenalatch.ServerID
	address string
	stop    context.CancelFunc
}

func (h *Host) startPoller(ctx context.Context, c galenalatch.CellID, s galenalatch.Instance) poller {
	ctx, stop := context.WithCancel(ctx)
	p := poller{host: h, cell: c, server: galenalatch.ServerID(s.ID), address: s.Address, stop: stop}
	go p.loop(ctx)
	return p
}

func (p poller) loop(ctx context.Context) {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		p.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (p poller) read(ctx context.Context) {
	sampled := time.Now()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := p.host.options.Reporter.Report(ctx, p.address)
	if context.Cause(ctx) == context.Canceled {
		return
	}
	p.host.put(event{load: &loadEvent{cell: p.cell, server: p.server, sampled: sampled, report: r, err: err}})
}
