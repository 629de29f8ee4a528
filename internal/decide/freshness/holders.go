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
	// rumourTime is how long a changed holder is sent along. At 4 rounds a
	// second it covers the rounds that a fleet of 400 needs.
	rumourTime = 2500 * time.Millisecond
	// repairAfter is how long the checksums of two routers must differ
	// without a change before holders are sent again.
	repairAfter = rumourTime + time.Second
	// rumours bounds the holders in a question.
	rumours = 8
	// pageSize bounds the holders in an answer.
	pageSize = 64
)

type cellHolder struct {
	galenalatch.Holder
	sum     uint64
	changed time.Time
}

// holders are the newest known holders of cells.
type holders struct {
	byCell map[galenalatch.CellID]cellHolder
	// order lists the cells by the time of their last change, oldest first.
	order   []galenalatch.CellID
	sum     uint64
	changed time.Time
	next    int
	// relay is when the router starts to send along what it learns. Before
	// that it receives all holders page by page, which is no news to others.
	relay time.Time
	news  []galenalatch.Holder
}

func newHolders(started time.Time) holders {
	return holders{byCell: make(map[galenalatch.CellID]cellHolder), relay: started.Add(repairAfter)}
}

// learn records a holder that another router named.
func (h *holders) learn(now time.Time, n galenalatch.Holder) {
	if !h.set(now, n) || !now.Before(h.relay) {
		return
	}
	c := h.byCell[n.Cell]
	c.changed = time.Time{}
	h.byCell[n.Cell] = c
}

// set records a holder unless a newer one is known. It reports a change.
func (h *holders) set(now time.Time, n galenalatch.Holder) bool {
	old, ok := h.byCell[n.Cell]
	// Two holders of one epoch can only come from a fault; choosing by name
	// lets all routers agree.
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
	h.news = append(h.news, n)
	return true
}

// recent returns the holders that changed a short time ago, newest first.
func (h *holders) recent(now time.Time, limit int) []galenalatch.Holder {
	var list []galenalatch.Holder
	if now.Sub(h.changed) > rumourTime {
		return nil
	}
	for _, c := range slices.Backward(h.order) {
		e := h.byCell[c]
		if len(list) == limit {
			break
		}
		if now.Sub(e.changed) <= rumourTime {
			list = append(list, e.Holder)
		}
	}
	return list
}

// missing returns the recent holders, or the next page of all of them when
// the peer's checksum differs although nothing changed for a while.
func (h *holders) missing(now time.Time, sum uint64) []galenalatch.Holder {
	if sum == h.sum {
		return nil
	}
	if list := h.recent(now, pageSize); len(list) > 0 || len(h.order) == 0 {
		return list
	}
	if now.Sub(h.changed) < repairAfter {
		return nil
	}
	var list []galenalatch.Holder
	for range min(pageSize, len(h.order)) {
		h.next = (h.next + 1) % len(h.order)
		list = append(list, h.byCell[h.order[h.next]].Holder)
	}
	return list
}

// SetHolder records the holder of a cell unless a newer one is known. It
// reports whether that was news.
func (v *View) SetHolder(now time.Time, h galenalatch.Holder) bool {
	return v.cells.set(now, h)
}

// Holder returns the newest known holder of a cell.
func (v *View) Holder(c galenalatch.CellID) (galenalatch.Holder, bool) {
	h, ok := v.cells.byCell[c]
	return h.Holder, ok
}

// News returns the holders that changed since the last call.
func (v *View) News() []galenalatch.Holder {
	news := v.cells.news
	v.cells.news = nil
	return news
}

// Holders returns the newest known holders, in the order of their changes.
func (v *View) Holders() []galenalatch.Holder {
	list := make([]galenalatch.Holder, 0, len(v.cells.order))
	for _, c := range v.cells.order {
		list = append(list, v.cells.byCell[c].Holder)
	}
	return list
}
