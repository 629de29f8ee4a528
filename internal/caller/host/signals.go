package host

import (
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
)

// recordSignals records what the head of an answer says about its server. A misdirected
// answer is of another server.
func (t *transaction) recordSignals(p *placement.Reservation, head galenalatch.ResponseHead) {
	if head.Misdirected {
		return
	}
	t.recordLimit(p, head)
	now := time.Now()
	// An answer without an id may be of something in front of the server.
	if head.ID != "" && t.h.Table.RecordLoad(now, p.Server, p.Started, head) {
		t.h.Events.LoadInvalid(p.Server, head.InvalidLoad)
	}
	if head.Leaving && head.ID != "" && t.h.Table.RecordLeaving(now, p.Server, p.Started) {
		t.h.Events.LeavingAnnounced(p.Server)
	}
	if head.Pause <= 0 {
		return
	}
	if until, first := t.h.Table.RecordPause(now, p.Server, p.Started, head.Pause); first {
		t.h.Events.PauseRequested(p.Server, head.Pause, until.Sub(now))
	}
}

// recordLimit records the limit that a server names in an answer. An answer without
// one ends the limit if the service itself produced it.
func (t *transaction) recordLimit(p *placement.Reservation, head galenalatch.ResponseHead) {
	if !head.Limited && !head.Sealed || !t.h.Table.RecordLimit(time.Now(), p, head) {
		return
	}
	if head.InvalidLimit != "" {
		t.h.Events.LimitInvalid(p.Server, head.InvalidLimit)
		return
	}
	t.h.Events.LimitChanged(p.Server, head.Limited, head.Limit)
}
