package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPollInterval guards against reports that grow with the servers of a
// router without a bound, and against an interval at which one lost report
// makes a server suspect.
func TestPollInterval(t *testing.T) {
	for n, want := range map[int]time.Duration{
		0: pollEvery, 4: pollEvery, 6: 750 * time.Millisecond, 8: pollRarely, 1000: pollRarely,
	} {
		assert.Equal(t, pollInterval(n), want, "%d servers", n)
	}
}
