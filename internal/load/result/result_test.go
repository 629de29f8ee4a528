package result

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a load run that does not report why calls have no answer.
func TestReasons(t *testing.T) {
	r := New()
	r.Add(Call{Outcome: "answered", Attempts: 1, Err: errors.New("none")})
	r.Add(Call{Outcome: "unreached", Attempts: 1, Err: errors.New("connection refused")})
	r.Add(Call{Outcome: "unreached", Attempts: 1, Err: errors.New("reset")})
	r.Add(Call{Outcome: "notRun", Attempts: 1})
	assert.DeepEqual(t, r.FirstErrors(), []string{"first unreached: connection refused"})
}
