// Package plan defines the plan of a load run: its callers, the calls that they
// make and the routers that receive the calls.
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

// Caller describes calls of one workspace that differ only in their text. Chat
// calls go to a model, plain calls to a path of a pool.
type Caller struct {
	Workspace galenalatch.WorkspaceName `json:"workspace" validate:"required,max=64"`
	Key       string                    `json:"key" validate:"required,max=1024"`
	Class     galenalatch.Class         `json:"class" validate:"required,oneof=interactive batch"`
	// Model is set for chat calls, Pool for plain calls. Exactly one is set.
	Model string `json:"model,omitempty" validate:"required_without=Pool,excluded_with=Pool,max=128"`
	// SystemWords is the number of words of the system message with which all
	// calls of the caller begin; 0 means no system message.
	SystemWords int `json:"systemWords,omitempty" validate:"min=0,max=100000"`
	// PromptWords is the number of words of the user message; less than 2 means
	// 2.
	PromptWords int `json:"promptWords,omitempty" validate:"min=0,max=100000"`
	MaxTokens   int `json:"maxTokens,omitempty" validate:"min=0,max=100000"`
	// Stream requests the response as server-sent events.
	Stream bool `json:"stream,omitempty"`

	Pool   galenalatch.PoolName `json:"pool,omitempty" validate:"max=64"`
	Method string               `json:"method,omitempty" validate:"required_with=Pool,omitempty,oneof=GET POST"`
	Path   string               `json:"path,omitempty" validate:"required_with=Pool,omitempty,startswith=/"`
	// IdempotencyKeys gives each call an idempotency key. If RepeatCalls is set,
	// each call is made once more with the same key through the next router.
	IdempotencyKeys bool `json:"keyed,omitempty"`
	RepeatCalls     bool `json:"repeats,omitempty"`

	// Concurrency is the number of concurrent calls, Calls the total number of
	// calls; 0 calls means until the run ends.
	Concurrency int `json:"concurrency" validate:"min=1,max=10000"`
	Calls       int `json:"calls,omitempty" validate:"min=0,max=1000000"`
	// Pause is the time between successive calls in each of the concurrent
	// series of calls.
	Pause duration.Duration `json:"pause,omitempty" validate:"between=0s:1h"`
}

// Plan is one load run.
type Plan struct {
	// Routers are the addresses of the routers, which receive calls in turn.
	Routers []string `json:"routers" validate:"min=1,max=1000,dive,addrport"`
	// Servers are the addresses of the stand-ins whose counters are checked at
	// the end.
	Servers []string `json:"servers,omitempty" validate:"max=2000,dive,addrport"`
	// Duration is the time after which no call is begun. Calls that have begun
	// are completed.
	Duration duration.Duration `json:"duration" validate:"between=100ms:1h"`
	// Timeout bounds one call with its retries.
	Timeout duration.Duration `json:"timeout" validate:"between=100ms:1h"`
	// Retries is how often a call is made again that was not run or that is
	// safe to repeat.
	Retries int      `json:"retries" validate:"min=0,max=1000"`
	Callers []Caller `json:"callers" validate:"min=1,max=10000,dive"`
}

// Load reads the plan in the JSON file at path and checks it.
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

// maxFaults bounds the number of faults in one error.
const maxFaults = 20

// Check returns an error that lists the faults of p, at most maxFaults of them.
func (p Plan) Check() error {
	faults, total := check.New("key").Faults(p, maxFaults)
	if total == 0 {
		return nil
	}
	return errors.New(strings.Join(faults, "; "))
}
