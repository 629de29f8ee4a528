package connection

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/standin/broken"
)

// Guards against a request that is sent to another process than the one with the boot
// identity: the page with the identity was cut off.
func TestCutStartTime(t *testing.T) {
	s, err := broken.New(broken.CloseWrite, "HTTP/1.1 200 OK\r\n\r\nprocess_start_time_seconds 1")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	p := New()
	defer p.Close()
	c, err := p.Get(t.Context(), s.Address(), "1")
	assert.Assert(t, err != nil, "%+v", c)
	assert.Equal(t, galenalatch.OutcomeOf(err), galenalatch.NotRun)
}
