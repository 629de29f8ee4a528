package dispatch

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// minPollInterval is the time between two reads of a server's load report
	// while the router polls few servers, maxPollInterval the longest such time.
	// A server counts as suspect after 3 s without a report.
	minPollInterval = 500 * time.Millisecond
	maxPollInterval = time.Second
	// maxPollsPerSecond bounds the reads of all servers of the router, unless
	// the interval is at maxPollInterval already.
	maxPollsPerSecond = 8
	// pollTimeout bounds one read.
	pollTimeout = time.Second
)

// poller reads the load reports of one backend server.
type poller struct {
	dispatcher *Dispatcher
	cell       galenalatch.CellID
	server     galenalatch.ServerID
	address    string
	stop       context.CancelFunc
}

func (d *Dispatcher) startPoller(ctx context.Context, c galenalatch.CellID, s galenalatch.Instance) poller {
	ctx, stop := context.WithCancel(ctx)
	p := poller{dispatcher: d, cell: c, server: galenalatch.ServerID(s.ID), address: s.Address, stop: stop}
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
		next.Reset(max(0, pollInterval(int(p.dispatcher.polledServers.Load()))-time.Since(began)))
	}
}

// pollInterval returns the time between two reads of a server's load report when
// the router polls n servers.
func pollInterval(n int) time.Duration {
	return max(minPollInterval, min(maxPollInterval, time.Duration(n)*time.Second/maxPollsPerSecond))
}

func (p poller) read(ctx context.Context) {
	sampled := time.Now()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := p.dispatcher.options.Reporter.Report(ctx, p.address)
	if context.Cause(ctx) == context.Canceled {
		return
	}
	p.dispatcher.queueEvent(event{load: &loadEvent{cell: p.cell, server: p.server, sampled: sampled, report: r, err: err}})
}
