package host

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// Guards against a stream that is resumed at another service than the one that began it, on a
// route with several.
func TestResumedStreamKeepsService(t *testing.T) {
	route := &galenalatch.HostRoute{Targets: []galenalatch.Target{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	chosen := make(map[string]int)
	for i := range 100 {
		first := galenalatch.RequestID(fmt.Sprint("r-", i))
		begin := transaction{route: route, call: galenalatch.Call{ID: first}}
		resume := transaction{route: route, call: galenalatch.Call{ID: first + ".1", LastEvent: "3", FirstAttempt: first}}
		assert.Equal(t, resume.service(), begin.service())
		chosen[begin.service()]++
	}
	assert.Assert(t, chosen["a"] > 20 && chosen["b"] > 20, "%v", chosen)
}
