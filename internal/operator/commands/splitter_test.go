package commands

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// Guards against parts that the store refuses for their size, and against items
// that are lost, duplicated or put before items that they depend on.
func TestSplitChange(t *testing.T) {
	ch := galenalatch.Change{
		DefaultLimits: &galenalatch.Entry{Weight: 1},
		RemoveEntries: []galenalatch.EntryKey{{Workspace: "gone", Class: galenalatch.Batch}},
		PutOut:        []galenalatch.DataCentre{"a"},
	}
	const n = 3000
	for i := range n {
		name := galenalatch.WorkspaceName(fmt.Sprint("w", i))
		ch.PutWorkspaces = append(ch.PutWorkspaces, galenalatch.Workspace{Name: name, KeyHashes: []string{strings.Repeat("0", 64)}})
		ch.PutEntries = append(ch.PutEntries, galenalatch.Entry{Workspace: name, Class: galenalatch.Batch, Weight: 1})
	}
	list, err := splitChange(ch)
	assert.NilError(t, err)
	assert.Assert(t, len(list) > 3)
	assert.Assert(t, list[0].DefaultLimits != nil)
	workspaces, entries := 0, 0
	for _, p := range list {
		data, err := json.Marshal(p)
		assert.NilError(t, err)
		assert.Assert(t, len(data) < 192<<10)
		workspaces += len(p.PutWorkspaces)
		assert.Assert(t, len(p.PutEntries) == 0 || workspaces == n)
		entries += len(p.PutEntries)
	}
	assert.Equal(t, entries, n)
	assert.Equal(t, len(list[0].RemoveEntries), 1)
	assert.DeepEqual(t, list[len(list)-1].PutOut, ch.PutOut)
	none, err := splitChange(galenalatch.Change{})
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)
}
