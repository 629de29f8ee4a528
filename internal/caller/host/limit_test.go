package host

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a server that gets more requests than the limit that it names.
func TestNamedLimit(t *testing.T) {
	const (
		requests = 60
		// All requests arrive within 4 s of a limit of 1 per second.
		maxArrivals = 1.5*4 + 5
	)
	f := newFixture(t, configuration())
	for _, s := range f.servers {
		s.SetLimit("1")
	}
	var last response
	for i := range requests {
		last = f.call(t.Context(), "GET", "/status/1", fmt.Sprint("r-", i), "")
	}
	for _, s := range f.servers {
		assert.Assert(t, s.Arrivals() <= maxArrivals, "%s got %d requests", s.ID, s.Arrivals())
	}
	assert.Equal(t, last.status, http.StatusServiceUnavailable)
}
