package galenalatch

// Outcome states whether a request that has ended was run.
type Outcome string

// The outcomes.
const (
	// Answered means that the whole answer was sent to the caller.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request reached a backend server.
	NotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "outcomeUnknown"
	// StreamBroken means that a stream ended early with an error event.
	StreamBroken Outcome = "broken"
	// Cancelled means that the caller closed the connection before the end of
	// the answer. The request may have run.
	Cancelled Outcome = "cancelled"
)
