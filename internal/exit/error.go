// Package exit maps the errors of the commands to exit codes.
package exit

import (
	"errors"

	"github.com/galenalatch/galenalatch"
)

// The exit codes of all commands.
const (
	// Failed means that the command ran and failed, or that a check that it
	// ran found a violation.
	Failed = 1
	// Usage means that the command line is invalid.
	Usage = 2
	// NotRun means that a router refused the request and that nothing was
	// changed.
	NotRun = 3
	// Unknown means that a change may be stored, or is stored and not yet in
	// force.
	Unknown = 4
)

// Error is the error of a command that ran. Code takes all other errors for
// errors of the command line.
type Error struct {
	Err error
}

// Wrap returns err as an Error, or nil for nil.
func Wrap(err error) error {
	if err == nil {
		return nil
	}
	return &Error{err}
}

// Error implements error.
func (e *Error) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Code returns the exit code for err: 0 for nil, Usage if there is no *Error in
// its tree, and otherwise the code for the outcome of the *galenalatch.Error in
// its tree, or Failed.
func Code(err error) int {
	var run *Error
	var kind *galenalatch.Error
	switch {
	case err == nil:
		return 0
	case !errors.As(err, &run):
		return Usage
	case !errors.As(err, &kind):
		return Failed
	}
	switch galenalatch.OutcomeOf(err) {
	case galenalatch.NotRun:
		return NotRun
	case galenalatch.OutcomeUnknown:
		return Unknown
	}
	return Failed
}
