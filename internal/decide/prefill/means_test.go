package prefill

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a mean that follows single requests, or that mixes the prompts of
// routes.
func TestMeans(t *testing.T) {
	m := New()
	assert.Equal(t, m.Add("long", 200*time.Millisecond), 200*time.Millisecond)
	assert.Equal(t, m.Add("short", 10*time.Millisecond), 10*time.Millisecond)
	assert.Equal(t, m.Add("long", 520*time.Millisecond), 210*time.Millisecond)
	for range 200 {
		m.Add("long", 100*time.Millisecond)
	}
	assert.Equal(t, m.Add("long", 100*time.Millisecond).Round(time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, m.Add("short", 10*time.Millisecond), 10*time.Millisecond)
}

// Guards against memory that grows with the routes of all configurations.
func TestMeansAreBounded(t *testing.T) {
	m := New()
	for i := range 2 * maxRoutes {
		m.Add(fmt.Sprint("route-", i), time.Millisecond)
	}
	assert.Equal(t, m.routes.Len(), maxRoutes)
}
