package galenalatch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// TestNewRequestID guards against ids whose length is not that of 96 random bits
// in base64, and against ids that repeat.
func TestNewRequestID(t *testing.T) {
	seen := make(map[galenalatch.RequestID]bool)
	for range 1000 {
		id := galenalatch.NewRequestID()
		assert.Equal(t, len(id), 16)
		assert.Assert(t, !seen[id])
		seen[id] = true
	}
}
