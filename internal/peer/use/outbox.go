package use

import (
	"reflect"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// repeatAfter is the longest time without a message while nothing
	// changes but something is under way.
	repeatAfter = 500 * time.Millisecond
	// idleAfter is the longest time without a message.
	idleAfter = 10 * time.Second
)

// outbox holds back messages that say what the one before said.
type outbox struct {
	last galenalatch.RouterUse
	at   time.Time
}

// due reports whether a message should be sent now, and notes that it is.
func (o *outbox) due(now time.Time, m galenalatch.RouterUse) bool {
	limit := repeatAfter
	if len(m.Servers)+len(m.Workspaces) == 0 {
		limit = idleAfter
	}
	same := slices.Equal(m.Servers, o.last.Servers) && slices.Equal(m.Workspaces, o.last.Workspaces) &&
		reflect.DeepEqual(m.Others, o.last.Others)
	if same && now.Sub(o.at) < limit {
		return false
	}
	o.last, o.at = m, now
	return true
}
