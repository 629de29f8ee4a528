package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an interval that does not grow with the number of servers of a
// router, and against one so long that one lost report makes a server suspect.
func TestPollInterval(t *testing.T) {
	for n, want := range map[int]time.Duration{
		0: minPollInterval, 4: minPollInterval, 6: 750 * time.Millisecond, 8: maxPollInterval, 1000: maxPollInterval,
	} {
		assert.Equal(t, pollInterval(n), want, "%d servers", n)
	}
}
