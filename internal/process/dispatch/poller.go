package dispatch

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// pollEvery is how often a server's load report is read while the router
	// has few servers, pollRarely how often at least. A server counts as
	// suspect after 3 s without a report.
	pollEvery  = 500 * time.Millisecond
	pollRarely = time.Second
	// pollsPerSecond bounds the reads of a router until pollRarely.
	pollsPerSecond = 8
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
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
		}
		began := time.Now()
		p.read(ctx)
		next.Reset(max(0, pollInterval(int(p.host.polled.Load()))-time.Since(began)))
	}
}

// pollInterval returns the time between two reports of a server when the
// router polls n servers.
func pollInterval(n int) time.Duration {
	return max(pollEvery, min(pollRarely, time.Duration(n)*time.Second/pollsPerSecond))
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
