package load

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// Guards against a sum in which the streams of a data centre seem to have begun later than
// those of one of its routers.
func TestStreamSum(t *testing.T) {
	s := make(streamSum)
	s.add([]galenalatch.StreamReport{{Service: 1, Routers: 1, Oldest: 4, Newest: 5, Left: 1}, {Service: 2, Routers: 1, Oldest: 1, Newest: 1}})
	s.add([]galenalatch.StreamReport{{Service: 1, Routers: 3, Oldest: 2, Newest: 4, Left: 6}})
	assert.DeepEqual(t, s.message(), []galenalatch.StreamReport{
		{Service: 1, Routers: 4, Oldest: 2, Newest: 5, Left: 7}, {Service: 2, Routers: 1, Oldest: 1, Newest: 1},
	})
}
