package result

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against calls without an answer whose cause nobody can tell.
func TestReasons(t *testing.T) {
	r := New()
	r.Add(Call{Outcome: "answered", Tries: 1, Err: errors.New("none")})
	r.Add(Call{Outcome: "unreached", Tries: 1, Err: errors.New("connection refused")})
	r.Add(Call{Outcome: "unreached", Tries: 1, Err: errors.New("reset")})
	r.Add(Call{Outcome: "notRun", Tries: 1})
	assert.DeepEqual(t, r.Reasons(), []string{"first unreached: connection refused"})
}
