package galenalatch

// Outcome says what is certain about a request that has ended.
type Outcome string

// The closed list of outcomes.
const (
	// Answered means that the caller received the whole answer.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request reached a backend server.
	NotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "outcomeUnknown"
	// Broken means that a stream ended early with an explicit error.
	Broken Outcome = "broken"
	// Cancelled means that the caller went away.
	Cancelled Outcome = "cancelled"
)
