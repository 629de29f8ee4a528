package load

import (
	"reflect"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
)

const (
	// resendInterval is the interval of messages while the load does not
	// change and is not zero.
	resendInterval = 500 * time.Millisecond
	// idleResendInterval is the interval of messages while there is no load.
	idleResendInterval = 10 * time.Second
)

// changeFilter suppresses messages that are equal to the previous one.
type changeFilter struct {
	last galenalatch.RouterLoad
	at   time.Time
}

// shouldSend reports whether the message must be sent now, because it differs
// from the last one or that is too old. If so, it records the message as sent.
func (f *changeFilter) shouldSend(now time.Time, m galenalatch.RouterLoad) bool {
	limit := resendInterval
	if len(m.Servers)+len(m.Workspaces)+len(m.Limits)+len(m.Cold)+len(m.Rollouts)+len(m.Streams) == 0 {
		limit = idleResendInterval
	}
	same := slices.Equal(m.Servers, f.last.Servers) && slices.Equal(m.Workspaces, f.last.Workspaces) &&
		reflect.DeepEqual(m.Others, f.last.Others) && slices.EqualFunc(m.Limits, f.last.Limits, sameLimit) &&
		slices.EqualFunc(m.Cold, f.last.Cold, func(a, b galenalatch.ColdServer) bool { return a.Server == b.Server }) &&
		reflect.DeepEqual(m.Rollouts, f.last.Rollouts) && slices.Equal(m.Streams, f.last.Streams) && slices.EqualFunc(m.Speeds, f.last.Speeds, sameSpeed)
	if same && now.Sub(f.at) < limit {
		return false
	}
	f.last, f.at = m, now
	return true
}

// sameSpeed reports whether two entries differ at most in their age.
func sameSpeed(a, b galenalatch.ServerSpeed) bool {
	return a.Server == b.Server && a.SlowdownTenths == b.SlowdownTenths
}

// sameLimit reports whether two entries differ at most in their age.
func sameLimit(a, b galenalatch.ServerLimit) bool {
	return a.Server == b.Server && a.Named == b.Named && a.MilliRate == b.MilliRate
}
