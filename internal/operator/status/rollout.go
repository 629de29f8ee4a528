package status

import "github.com/galenalatch/galenalatch"

// Rollout is what one gateway knows of a roll-out.
type Rollout struct {
	Router  galenalatch.RouterID     `json:"router"`
	Service string                   `json:"service"`
	Target  string                   `json:"to"`
	State   galenalatch.RolloutState `json:"state"`
	Step    string                   `json:"step"`
	// SecondsLeft is the time to the deadline, negative after it.
	SecondsLeft float64 `json:"secondsLeft"`
	// Verdict is what the answers show of the new version, and Why the reason.
	Verdict string `json:"verdict"`
	Why     string `json:"why"`
	// Stopped is why this gateway sends nothing to the new version any more, if it does
	// not.
	Stopped string `json:"stopped,omitempty"`
	// Requests were sent to the service since the order, Exposed of them to the new
	// version, by all routers that report.
	Requests int `json:"requests"`
	Exposed  int `json:"exposed"`
	// Routers are listed, Known have a report in this step, and Settled have left the
	// old version.
	Routers int `json:"routers"`
	Known   int `json:"known"`
	Settled int `json:"settled"`
	// StatusAge is the age of the newest answer of the status table in seconds, or -1 if
	// there was none.
	StatusAge float64 `json:"statusAge"`
}
