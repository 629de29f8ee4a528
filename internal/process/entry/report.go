package entry

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// homeCheckInterval is how often the home cells of waiting requests are
	// determined.
	homeCheckInterval = 100 * time.Millisecond
	// progressInterval is how often the cost of running requests is reported.
	progressInterval = time.Second
)

// reportRetryInterval is the time after which a report that its holder has not
// confirmed is sent again.
const reportRetryInterval = 500 * time.Millisecond

// sentReport is the last report of a cell: its holder, the time and whether the
// holder has confirmed it.
type sentReport struct {
	holder    galenalatch.Holder
	sent      time.Time
	confirmed bool
}

// Run assigns waiting requests to their home cells and sends reports and
// progress to dispatchers until ctx ends. It always returns nil.
func (e *Entry) Run(ctx context.Context) error {
	return e.loop(ctx)
}

func (e *Entry) loop(ctx context.Context) error {
	tick := time.NewTicker(homeCheckInterval)
	defer tick.Stop()
	var lastProgress time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		e.mu.Lock()
		e.sendDueReports(now)
		e.assignHomes(now)
		e.resendFinishes(now)
		e.expireEndedGrants(now)
		if now.Sub(lastProgress) >= progressInterval {
			lastProgress = now
			e.sendProgress(now)
		}
		e.mu.Unlock()
	}
}

// RouterConnected records a new connection to a router. Messages sent before may
// be lost, so the reports to this router are sent again.
func (e *Entry) RouterConnected(r galenalatch.RouterID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c, t := range e.sentReports {
		if t.holder.Router == r {
			delete(e.sentReports, c)
		}
	}
}

// sendDueReports sends a report to each holder that has not confirmed one. Empty
// reports are sent too, since a new holder waits for the reports of all routers.
// A report that arrives before the holder has opened its cell is lost, so it is
// repeated until the holder confirms it.
func (e *Entry) sendDueReports(now time.Time) {
	for _, c := range e.options.Directory().AllCells() {
		h, ok := e.options.Holder(c)
		if !ok {
			continue
		}
		t := e.sentReports[c]
		if t.holder == h && (t.confirmed || now.Sub(t.sent) < reportRetryInterval) {
			continue
		}
		e.sendReport(now, c)
	}
}

// sendReport sends the waiting and running requests of a cell to its holder.
func (e *Entry) sendReport(now time.Time, c galenalatch.CellID) {
	h, ok := e.options.Holder(c)
	if !ok {
		return
	}
	var all galenalatch.Report
	for _, p := range e.pending {
		if p.holder.Cell == c {
			all.Waiting = append(all.Waiting, p.waiting(now))
		}
	}
	for _, r := range e.running {
		if r.grant.Cell == c || r.grant.ServerCell == c {
			all.Running = append(all.Running, r.report())
		}
	}
	sent := true
	for _, m := range splitReport(all) {
		m.Cell, m.Epoch = c, h.Epoch
		sent = sent && e.options.Send(h.Router, m)
	}
	if sent {
		e.sentReports[c] = sentReport{holder: h, sent: now}
		e.options.Send(h.Router, galenalatch.LeaseRequest{Cell: c, Stamp: int64(now.Sub(e.base))})
	}
}

// maxReportRecords bounds the records in one part of a report. A record has at
// most about 400 bytes, so a part stays below the limit of 256 KB for a message.
const maxReportRecords = 400

// splitReport divides a report into messages. An empty report is one message.
func splitReport(all galenalatch.Report) []galenalatch.Report {
	var list []galenalatch.Report
	for {
		var m galenalatch.Report
		n := min(maxReportRecords, len(all.Running))
		m.Running, all.Running = all.Running[:n], all.Running[n:]
		n = min(maxReportRecords-n, len(all.Waiting))
		m.Waiting, all.Waiting = all.Waiting[:n], all.Waiting[n:]
		m.More = len(all.Running)+len(all.Waiting) > 0
		list = append(list, m)
		if !m.More {
			return list
		}
	}
}

func (e *Entry) assignHomes(now time.Time) {
	for _, p := range e.pending {
		e.assignHome(now, p)
	}
}

func (e *Entry) resendFinishes(now time.Time) {
	old := e.unsentFinishes
	e.unsentFinishes = nil
	for _, f := range old {
		if now.After(f.until) {
			continue
		}
		if h, ok := e.options.Holder(f.message.Cell); ok && e.options.Send(h.Router, f.message) {
			continue
		}
		e.unsentFinishes = append(e.unsentFinishes, f)
	}
}

func (e *Entry) expireEndedGrants(now time.Time) {
	for k, f := range e.endedGrants {
		if now.After(f.until) {
			delete(e.endedGrants, k)
		}
	}
}

// sendProgress sends the cost of running requests to the cells that need it, and
// asks for the leases of the cells in which requests wait. A message to a cell
// also covers the requests that would otherwise need one of their own soon:
// those last reported at least half of maxProgressInterval ago.
func (e *Entry) sendProgress(now time.Time) {
	due := make(map[galenalatch.CellID]bool)
	for _, r := range e.running {
		due[r.grant.Cell] = due[r.grant.Cell] || r.needsProgress(now)
	}
	used := make(map[galenalatch.CellID][]galenalatch.Used)
	for _, r := range e.running {
		if c := r.grant.Cell; due[c] && (r.needsProgress(now) || now.Sub(r.reportedAt) >= maxProgressInterval/2) {
			r.reportedAt, r.reportedUnits = now, r.units.Load()
			used[c] = append(used[c], galenalatch.Used{Serial: r.grant.Serial, Units: r.reportedUnits})
		}
	}
	for _, p := range e.pending {
		if p.holder.Router != "" {
			e.askLease(now, p.holder)
		}
	}
	for c, list := range used {
		if h, ok := e.options.Holder(c); ok {
			e.options.Send(h.Router, galenalatch.Progress{Cell: c, Used: list})
		}
	}
}
