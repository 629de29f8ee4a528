package host

import (
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
)

// recordLimit records the limit that a server names in an answer. An answer without
// one ends the limit if the service itself produced it.
func (t *transaction) recordLimit(p *placement.Reservation, head galenalatch.ResponseHead) {
	if head.Misdirected || !head.Limited && !head.Sealed || !t.h.Table.RecordLimit(time.Now(), p, head) {
		return
	}
	if head.InvalidLimit != "" {
		t.h.Events.LimitInvalid(p.Server, head.InvalidLimit)
		return
	}
	t.h.Events.LimitChanged(p.Server, head.Limited, head.Limit)
}
