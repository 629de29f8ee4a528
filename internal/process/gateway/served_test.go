package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/share"
)

// Guards against a line that leaves out the workspaces which requested most, or what all got.
func TestServedByWorkspace(t *testing.T) {
	usage := map[galenalatch.WorkspaceName]share.Usage{"a": {Requested: 100}, "b": {Requested: 700, Started: 200}, "c": {Requested: 300, Started: 300}}
	for _, w := range []galenalatch.WorkspaceName{"d", "e", "f", "g"} {
		usage[w] = share.Usage{Requested: 200, Started: 200}
	}
	total, refused := sumUsage(usage)
	assert.Equal(t, total, share.Usage{Requested: 1900, Started: 1300})
	assert.Assert(t, refused)
	fractions := func(w galenalatch.WorkspaceName) share.Fractions {
		return share.Fractions{OfStarted: usage[w].Started / 400}
	}
	assert.Equal(t, formatServed(usage, fractions), "b:700:200:0.50,c:300:300:0.75,d:200:200:0.50,e:200:200:0.50,f:200:200:0.50,g:200:200:0.50")
}
