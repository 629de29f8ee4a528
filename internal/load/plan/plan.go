// Package plan holds what a load run does: who calls what, how often and
// through which routers.
package plan

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/check"
	"github.com/galenalatch/galenalatch/internal/config/duration"
	"github.com/galenalatch/galenalatch/internal/config/strict"
)

// Caller describes the calls of one workspace of one sort. Chat calls go to a
// model, plain calls to a path of a pool.
type Caller struct {
	Workspace galenalatch.WorkspaceName `json:"workspace" validate:"required,max=64"`
	Key       string                    `json:"key" validate:"required,max=1024"`
	Class     galenalatch.Class         `json:"class" validate:"required,oneof=interactive batch"`
	// Model selects chat calls, Pool plain calls.
	Model string `json:"model,omitempty" validate:"required_without=Pool,excluded_with=Pool,max=128"`
	// SystemWords is the length of a system message that all calls of the
	// caller begin with.
	SystemWords int  `json:"systemWords,omitempty" validate:"min=0,max=100000"`
	PromptWords int  `json:"promptWords,omitempty" validate:"min=0,max=100000"`
	MaxTokens   int  `json:"maxTokens,omitempty" validate:"min=0,max=100000"`
	Stream      bool `json:"stream,omitempty"`

	Pool   galenalatch.PoolName `json:"pool,omitempty" validate:"max=64"`
	Method string               `json:"method,omitempty" validate:"required_with=Pool,omitempty,oneof=GET POST"`
	Path   string               `json:"path,omitempty" validate:"required_with=Pool,omitempty,startswith=/"`
	// Keyed gives each call an idempotency key. When Repeats is set, each
	// call is made once more with the same key through another router.
	Keyed   bool `json:"keyed,omitempty"`
	Repeats bool `json:"repeats,omitempty"`

	// Concurrency is the number of calls at once, Calls the number of calls
	// in all; 0 means until the run ends.
	Concurrency int `json:"concurrency" validate:"min=1,max=10000"`
	Calls       int `json:"calls,omitempty" validate:"min=0,max=1000000"`
	// Pause is the time between the calls of one connection.
	Pause duration.Duration `json:"pause,omitempty" validate:"between=0s:1h"`
}

// Plan is one load run.
type Plan struct {
	// Routers are the addresses to which calls go in turn.
	Routers []string `json:"routers" validate:"min=1,max=1000,dive,addrport"`
	// Servers are the stand-ins whose own counts are checked at the end.
	Servers []string `json:"servers,omitempty" validate:"max=2000,dive,addrport"`
	// Duration ends the run; calls that have begun are completed.
	Duration duration.Duration `json:"duration" validate:"between=100ms:1h"`
	// Timeout bounds one call with its retries.
	Timeout duration.Duration `json:"timeout" validate:"between=100ms:1h"`
	// Retries is how often a call that was not run, or that may be repeated,
	// is made again.
	Retries int      `json:"retries" validate:"min=0,max=1000"`
	Callers []Caller `json:"callers" validate:"min=1,max=10000,dive"`
}

// Load reads and checks the document in the file at path.
func Load(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("plan: %w", err)
	}
	var p Plan
	if err := strict.Decode(data, &p); err != nil {
		return Plan{}, fmt.Errorf("plan %s: %w", path, err)
	}
	if err := p.Check(); err != nil {
		return Plan{}, fmt.Errorf("plan %s: %w", path, err)
	}
	return p, nil
}

// maxFaults bounds the faults in one error.
const maxFaults = 20

// Check returns an error that lists the faults of p.
func (p Plan) Check() error {
	faults, total := check.New("key").Faults(p, maxFaults)
	if total == 0 {
		return nil
	}
	return errors.New(strings.Join(faults, "; "))
}
