package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// submit starts a caller's request at the entry.
func (n *fakeRouter) submit(k *fakeRequest) {
	k.router, k.arrived, k.highestSerials = n, n.sim.now, map[galenalatch.CellID]uint64{}
	n.requests[k.id] = k
	n.enqueue(k)
}

func (n *fakeRouter) enqueue(k *fakeRequest) {
	n.askLease(k.home)
	n.send(n.holders[k.home].Router, galenalatch.Enqueue{Cell: k.home, Waiting: n.waiting(k)})
}

// moveRequest makes another cell the home of a waiting request.
func (n *fakeRouter) moveRequest(k *fakeRequest, to galenalatch.CellID) {
	if k.server != nil || k.home == to {
		return
	}
	n.send(n.holders[k.home].Router, galenalatch.Withdraw{Cell: k.home, Request: k.id})
	k.home = to
	n.enqueue(k)
}

// handleGrant follows the rules of an entry: a grant is used only once, in the
// order of serial numbers, under valid leases of the newest known epochs, and
// only while the server has the boot identity that the grant names.
func (n *fakeRouter) handleGrant(from galenalatch.RouterID, g galenalatch.Grant) {
	w := n.sim
	k := n.requests[g.Request]
	if k != nil && k.server != nil && k.serial == g.Serial {
		if g.StatusQuery {
			n.send(from, galenalatch.Progress{Cell: g.Cell, Used: []galenalatch.Used{{Request: k.id, Units: k.units(), Serial: k.serial}}})
		}
		return
	}
	refuse := galenalatch.Finish{Cell: g.Cell, Request: g.Request, Serial: g.Serial, Outcome: galenalatch.NotRun}
	if k == nil || k.server != nil || g.Serial <= k.highestSerials[g.Cell] {
		n.send(from, refuse)
		return
	}
	valid := n.leaseConfirmed(g.Cell, g.Epoch) && n.leaseConfirmed(g.ServerCell, g.ServerEpoch)
	if !g.StatusQuery && !valid && k.leaseChecks < maxLeaseChecks {
		// Like an entry, the fake waits until both holders confirm their
		// leases before it uses a grant.
		k.leaseChecks++
		for _, c := range []galenalatch.CellID{g.Cell, g.ServerCell} {
			if h, ok := n.holders[c]; ok {
				n.send(h.Router, galenalatch.LeaseRequest{Cell: c, Stamp: w.now.Sub(start).Milliseconds()})
			}
		}
		w.after(leaseCheckPeriod, func() { n.runUnpaused(func() { n.handleGrant(from, g) }) })
		return
	}
	k.leaseChecks = 0
	k.highestSerials[g.Cell] = g.Serial
	if g.StatusQuery || k.home != g.Cell || !valid || g.Epoch < n.holders[g.Cell].Epoch || g.ServerEpoch < n.holders[g.ServerCell].Epoch {
		n.send(from, refuse)
		if k.home == g.Cell {
			n.askLease(g.Cell)
			n.enqueue(k)
		}
		return
	}
	s := w.servers[g.Server]
	if s.down || s.bootID() != g.Boot {
		refuse.Failed = true
		n.send(from, refuse)
		n.enqueue(k)
		return
	}
	k.grant, k.serial = g, g.Serial
	s.startRequest(k)
}

// maxLeaseChecks and leaseCheckPeriod bound the wait for the confirmation of
// leases to one second, as in an entry.
const (
	maxLeaseChecks   = 10
	leaseCheckPeriod = 100 * time.Millisecond
)

// leaseConfirmed reports whether the lease of a cell is known to be valid. A
// confirmation by a lapsed holder is valid for a second.
func (n *fakeRouter) leaseConfirmed(c galenalatch.CellID, e galenalatch.Epoch) bool {
	w := n.sim
	v := n.leases[c]
	return !w.simulateLeases || v.epoch == e && (w.now.Before(v.validUntil) || v.lapsed && w.now.Sub(v.confirmedAt) < time.Second)
}

// runEnded reports the end of a run to the cell. A request is run again after
// a failure, at most twice.
func (n *fakeRouter) runEnded(k *fakeRequest, o galenalatch.Outcome, failed bool) {
	if k.ended {
		return
	}
	done := galenalatch.Finish{Cell: k.grant.Cell, Request: k.id, Serial: k.serial, Units: k.cost, Outcome: o, Failed: failed, Completed: !failed}
	n.send(n.holders[k.grant.Cell].Router, done)
	k.attempts++
	if failed && k.attempts < 3 {
		n.enqueue(k)
		return
	}
	n.endRequest(k)
}

func (n *fakeRouter) endRequest(k *fakeRequest) {
	k.ended = true
	delete(n.requests, k.id)
	n.sim.onRequestEnd(k)
}

// sendProgress reports the cost so far of the running requests.
func (n *fakeRouter) sendProgress() {
	if n.paused {
		return
	}
	used := map[galenalatch.CellID][]galenalatch.Used{}
	for _, q := range slices.Sorted(maps.Keys(n.requests)) {
		if k := n.requests[q]; k.server != nil {
			used[k.grant.Cell] = append(used[k.grant.Cell], galenalatch.Used{Units: k.units(), Serial: k.serial})
		} else {
			n.askLease(k.home)
		}
	}
	for _, id := range sortedCells(used) {
		n.send(n.holders[id].Router, galenalatch.Progress{Cell: id, Used: used[id]})
	}
}
