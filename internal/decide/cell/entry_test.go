package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

// submit starts a caller's request at the entry.
func (n *node) submit(k *call) {
	k.node, k.arrived, k.seen = n, n.world.now, map[galenalatch.CellID]uint64{}
	n.calls[k.id] = k
	n.enqueue(k)
}

func (n *node) enqueue(k *call) {
	n.askLease(k.home)
	n.send(n.holders[k.home].Router, galenalatch.Enqueue{Cell: k.home, Waiting: n.waiting(k)})
}

// move makes another cell the home of a waiting request.
func (n *node) move(k *call, to galenalatch.CellID) {
	if k.server != nil || k.home == to {
		return
	}
	n.send(n.holders[k.home].Router, galenalatch.Withdraw{Cell: k.home, Request: k.id})
	k.home = to
	n.enqueue(k)
}

// granted follows the rules of an entry: a grant is used only once, in the
// order of serial numbers, under a valid lease of the newest known epochs,
// and only at the named boot identity.
func (n *node) granted(from galenalatch.RouterID, g galenalatch.Grant) {
	w := n.world
	k := n.calls[g.Request]
	if k != nil && k.server != nil && k.serial == g.Serial {
		if g.Ask {
			n.send(from, galenalatch.Progress{Cell: g.Cell, Used: []galenalatch.Used{{Request: k.id, Units: k.units(), Serial: k.serial}}})
		}
		return
	}
	refuse := galenalatch.Finish{Cell: g.Cell, Request: g.Request, Serial: g.Serial, Outcome: galenalatch.NotRun}
	if k == nil || k.server != nil || g.Serial <= k.seen[g.Cell] {
		n.send(from, refuse)
		return
	}
	valid := n.confirmed(g.Cell, g.Epoch) && n.confirmed(g.ServerCell, g.ServerEpoch)
	if !g.Ask && !valid && k.confirms < maxConfirms {
		// Like the entry, the fake waits for the word of both holders before
		// it uses a grant.
		k.confirms++
		for _, c := range []galenalatch.CellID{g.Cell, g.ServerCell} {
			if h, ok := n.holders[c]; ok {
				n.send(h.Router, galenalatch.LeaseAsk{Cell: c, Stamp: w.now.Sub(start).Milliseconds()})
			}
		}
		w.after(confirmPause, func() { n.do(func() { n.granted(from, g) }) })
		return
	}
	k.confirms = 0
	k.seen[g.Cell] = g.Serial
	if g.Ask || k.home != g.Cell || !valid || g.Epoch < n.holders[g.Cell].Epoch || g.ServerEpoch < n.holders[g.ServerCell].Epoch {
		n.send(from, refuse)
		if k.home == g.Cell {
			n.askLease(g.Cell)
			n.enqueue(k)
		}
		return
	}
	s := w.servers[g.Server]
	if s.down || s.boot() != g.Boot {
		refuse.Failed = true
		n.send(from, refuse)
		n.enqueue(k)
		return
	}
	k.grant, k.serial = g, g.Serial
	s.begin(k)
}

// maxConfirms and confirmPause bound the wait for a lender to one second, as
// in the entry.
const (
	maxConfirms  = 10
	confirmPause = 100 * time.Millisecond
)

// confirmed reports whether the lease of a cell is known to be valid. The
// word of a lapsed holder counts for a second.
func (n *node) confirmed(c galenalatch.CellID, e galenalatch.Epoch) bool {
	w := n.world
	v := n.leases[c]
	return !w.leases || v.epoch == e && (w.now.Before(v.until) || v.lapsed && w.now.Sub(v.heard) < time.Second)
}

// finished ends a run. A broken run is repeated twice.
func (n *node) finished(k *call, o galenalatch.Outcome, failed bool) {
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
	n.over(k)
}

func (n *node) over(k *call) {
	k.ended = true
	delete(n.calls, k.id)
	n.world.onEnd(k)
}

// progress reports the cost so far of the running requests.
func (n *node) progress() {
	if n.paused {
		return
	}
	used := map[galenalatch.CellID][]galenalatch.Used{}
	for _, q := range slices.Sorted(maps.Keys(n.calls)) {
		if k := n.calls[q]; k.server != nil {
			used[k.grant.Cell] = append(used[k.grant.Cell], galenalatch.Used{Units: k.units(), Serial: k.serial})
		} else {
			n.askLease(k.home)
		}
	}
	for _, id := range sortedCells(used) {
		n.send(n.holders[id].Router, galenalatch.Progress{Cell: id, Used: used[id]})
	}
}
