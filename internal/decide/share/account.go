package share

import (
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/window"
)

// account is the usage of one or all workspaces on this router.
type account struct {
	// name is empty for all workspaces.
	name galenalatch.WorkspaceName
	// since is the time of the first request.
	since  time.Time
	window *window.Ring[Usage]
	recent recent
	// fresh is the usage since the last call of Ledger.TakeUsage.
	fresh Usage
}

func newAccount(now time.Time, name galenalatch.WorkspaceName, length time.Duration) *account {
	return &account{name: name, since: now, window: window.New[Usage](length/buckets, buckets)}
}

func (a *account) add(now time.Time, u Usage) {
	a.recent.add(now, u)
	a.fresh.Requested += u.Requested
	a.fresh.Started += u.Started
	bucket := a.window.Bucket(now)
	bucket.Requested += u.Requested
	bucket.Started += u.Started
}

// takeBack undoes the start of tokens at an earlier time.
func (a *account) takeBack(now, at time.Time, tokens float64) {
	a.recent.takeBack(now, at, tokens)
	a.fresh.Started -= tokens
	if bucket := a.window.At(now, at); bucket != nil {
		bucket.Started = max(bucket.Started-tokens, 0)
	}
}

// usage returns the usage within the window.
func (a *account) usage(now time.Time) Usage {
	var u Usage
	for bucket := range a.window.All(now) {
		u.Requested += bucket.Requested
		u.Started += bucket.Started
	}
	return u
}

// growth returns the rate of started tokens in about the last second, relative to
// the rate within a window of the given length. It is 1 in the first recentPeriod.
func (a *account) growth(now time.Time, length time.Duration) float64 {
	age := now.Sub(a.since)
	if age < recentPeriod || a.recent.requests == 0 {
		return 1
	}
	prior := growthPriorRequests * a.recent.usage.Requested / a.recent.requests
	rate := a.recent.usage.Started / recentPeriod.Seconds()
	former := a.usage(now).Started / min(age, length).Seconds()
	return (rate + prior) / (former + prior)
}
