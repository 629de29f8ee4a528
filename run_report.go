package galenalatch

// RunReports translates the reports of backend servers on the requests that they run.
type RunReports interface {
	// Target is the request target of a report.
	Target() string
	// Runs returns the requests that a report lists as running. It reports false if
	// the report does not list them.
	Runs(report []byte) ([]RequestID, bool)
}
