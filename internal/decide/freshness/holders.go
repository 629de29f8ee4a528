package freshness

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
)

const (
	// spreadTime is how long a changed holder is included in gossip messages.
	// At 4 rounds a second it covers the rounds that a change needs to reach
	// a fleet of 400.
	spreadTime = 2500 * time.Millisecond
	// repairDelay is how long no holder must have changed before a router
	// whose checksum differs from that of a peer sends holders again.
	repairDelay = spreadTime + time.Second
	// maxHoldersPerQuestion limits the holders in a question.
	maxHoldersPerQuestion = 8
	// maxHoldersPerAnswer limits the holders in an answer.
	maxHoldersPerAnswer = 64
)

type cellHolder struct {
	galenalatch.Holder
	sum     uint64
	changed time.Time
}

// holderTable holds the newest known holder of each cell.
type holderTable struct {
	byCell map[galenalatch.CellID]cellHolder
	// order lists the cells by the time of their last change, oldest first.
	order       []galenalatch.CellID
	sum         uint64
	changed     time.Time
	repairIndex int
	// relayFrom is when the router starts to pass on the holders that it
	// receives. Before that it receives the holders of all cells page by
	// page, which other routers already have.
	relayFrom      time.Time
	changedHolders []galenalatch.Holder
}

func newHolderTable(started time.Time) holderTable {
	return holderTable{byCell: make(map[galenalatch.CellID]cellHolder), relayFrom: started.Add(repairDelay)}
}

// mergeFromPeer records a holder that another router sent.
func (h *holderTable) mergeFromPeer(now time.Time, n galenalatch.Holder) {
	if !h.set(now, n) || !now.Before(h.relayFrom) {
		return
	}
	c := h.byCell[n.Cell]
	c.changed = time.Time{}
	h.byCell[n.Cell] = c
}

// set records a holder unless a newer one is known. It reports whether the
// holder changed.
func (h *holderTable) set(now time.Time, n galenalatch.Holder) bool {
	old, ok := h.byCell[n.Cell]
	// Two holders with the same epoch can only result from a fault. The order
	// of their names makes all routers choose the same one.
	if ok && cmp.Or(cmp.Compare(old.Epoch, n.Epoch), cmp.Compare(old.Router, n.Router)) >= 0 {
		return false
	}
	c := cellHolder{n, xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", n.Cell, n.Router, n.Epoch)), now}
	h.sum ^= old.sum ^ c.sum
	h.byCell[n.Cell] = c
	if ok {
		h.order = slices.DeleteFunc(h.order, func(c galenalatch.CellID) bool { return c == n.Cell })
	}
	h.order = append(h.order, n.Cell)
	h.changed = now
	h.changedHolders = append(h.changedHolders, n)
	return true
}

// recent returns up to limit holders that changed within spreadTime, newest
// first.
func (h *holderTable) recent(now time.Time, limit int) []galenalatch.Holder {
	var list []galenalatch.Holder
	if now.Sub(h.changed) > spreadTime {
		return nil
	}
	for _, c := range slices.Backward(h.order) {
		e := h.byCell[c]
		if len(list) == limit {
			break
		}
		if now.Sub(e.changed) <= spreadTime {
			list = append(list, e.Holder)
		}
	}
	return list
}

// answerHolders returns the recently changed holders, or the next page of
// all holders when the peer's checksum differs although nothing has changed
// for repairDelay.
func (h *holderTable) answerHolders(now time.Time, sum uint64) []galenalatch.Holder {
	if sum == h.sum {
		return nil
	}
	if list := h.recent(now, maxHoldersPerAnswer); len(list) > 0 || len(h.order) == 0 {
		return list
	}
	if now.Sub(h.changed) < repairDelay {
		return nil
	}
	var list []galenalatch.Holder
	for range min(maxHoldersPerAnswer, len(h.order)) {
		h.repairIndex = (h.repairIndex + 1) % len(h.order)
		list = append(list, h.byCell[h.order[h.repairIndex]].Holder)
	}
	return list
}

// SetHolder records the holder of a cell unless a newer one is known. It
// reports whether the holder changed.
func (v *View) SetHolder(now time.Time, h galenalatch.Holder) bool {
	return v.holders.set(now, h)
}

// Holder returns the newest known holder of a cell. It reports false if none
// is known.
func (v *View) Holder(c galenalatch.CellID) (galenalatch.Holder, bool) {
	h, ok := v.holders.byCell[c]
	return h.Holder, ok
}

// ChangedHolders returns the holders that changed since the last call.
func (v *View) ChangedHolders() []galenalatch.Holder {
	changed := v.holders.changedHolders
	v.holders.changedHolders = nil
	return changed
}

// Holders returns the newest known holders, in the order of their changes.
func (v *View) Holders() []galenalatch.Holder {
	list := make([]galenalatch.Holder, 0, len(v.holders.order))
	for _, c := range v.holders.order {
		list = append(list, v.holders.byCell[c].Holder)
	}
	return list
}
