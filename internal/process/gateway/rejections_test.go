package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/host"
)

// Guards against a line on rejected requests that leaves out the workspaces which lost most,
// or counts a request twice.
func TestRejectionsByWorkspace(t *testing.T) {
	var r rejections
	for i, w := range []galenalatch.WorkspaceName{"a", "b", "b", "c", "d", "e"} {
		r.add(host.Rejected{Workspace: w, Tokens: float64(100 * i)}, true)
	}
	r.add(host.Rejected{}, false)
	count, unknown := r.take()
	assert.Equal(t, unknown, 1)
	assert.Equal(t, formatRejections(count), "e:1:500,d:1:400,b:2:300,c:1:300")
	count, unknown = r.take()
	assert.Equal(t, len(count)+unknown, 0)
}
