package catalogue_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/catalogue"
)

const rawKey = "a-key-in-place-of-its-hash"

func validCatalogue() galenalatch.Catalogue {
	limits := galenalatch.Entry{Weight: 1, MaxWaiting: 10, MaxWaitingBytes: 4096, MaxRunning: 2}
	a := limits
	a.Workspace, a.Class = "a", galenalatch.Batch
	return galenalatch.Catalogue{
		Pools: []galenalatch.Pool{
			{Name: "m", Kind: galenalatch.ModelPool, Models: []string{"x", "y"}, ColdLimit: 1, WarmLimit: 4, CellsPerDataCentre: 1, OutputWeight: 1, MaxCost: 10},
			{Name: "p", Kind: galenalatch.PlainPool, Routes: []galenalatch.Route{{Method: "POST", PathPrefix: "/status/", Repeatable: true}}, ColdLimit: 1, WarmLimit: 4, CellsPerDataCentre: 1, MaxCost: 10},
		},
		Workspaces:    []galenalatch.Workspace{{Name: "a", KeyHashes: []string{strings.Repeat("0a", 32)}}, {Name: "b", KeyHashes: []string{strings.Repeat("0b", 32)}}},
		Entries:       []galenalatch.Entry{a},
		DefaultLimits: limits,
	}
}

// TestFaults guards against an invalid catalogue that is accepted, and against
// errors that do not name item, field, value and what is allowed, or that contain
// a key.
func TestFaults(t *testing.T) {
	v := catalogue.New()
	assert.NilError(t, v.Check(galenalatch.Catalogue{}))
	assert.NilError(t, v.Check(validCatalogue()))
	assert.NilError(t, v.Check(validCatalogue().WithDataCentre("a", true)))
	var b strings.Builder
	for _, c := range []struct {
		name   string
		change func(c *galenalatch.Catalogue)
	}{
		{"limits of a pool", func(c *galenalatch.Catalogue) { c.Pools[0].ColdLimit, c.Pools[1].WarmLimit = 0, 0 }},
		{"warm below cold", func(c *galenalatch.Catalogue) { c.Pools[0].ColdLimit = 5 }},
		{"cells", func(c *galenalatch.Catalogue) { c.Pools[0].CellsPerDataCentre = 65 }},
		{"kind", func(c *galenalatch.Catalogue) { c.Pools[0].Kind = "modle" }},
		{"two pools of one name", func(c *galenalatch.Catalogue) { c.Pools[1].Name = "m" }},
		{"name with a slash", func(c *galenalatch.Catalogue) { c.Pools[0].Name = "m/a" }},
		{"model in two pools", func(c *galenalatch.Catalogue) {
			c.Pools = append(c.Pools, c.Pools[0])
			c.Pools[2].Name, c.Pools[2].Models = "n", []string{"z", "y"}
		}},
		{"no model", func(c *galenalatch.Catalogue) { c.Pools[0].Models = nil }},
		{"empty model", func(c *galenalatch.Catalogue) { c.Pools[0].Models = []string{"x", ""} }},
		{"models of a plain pool", func(c *galenalatch.Catalogue) { c.Pools[1].Models = []string{"z"} }},
		{"routes of a model pool", func(c *galenalatch.Catalogue) { c.Pools[0].Routes = c.Pools[1].Routes }},
		{"work without cost", func(c *galenalatch.Catalogue) { c.Pools[0].OutputWeight = 0 }},
		{"method", func(c *galenalatch.Catalogue) { c.Pools[1].Routes[0].Method = "post" }},
		{"path prefix", func(c *galenalatch.Catalogue) { c.Pools[1].Routes[0].PathPrefix = "status" }},
		{"path prefix with dots", func(c *galenalatch.Catalogue) { c.Pools[1].Routes[0].PathPrefix = "/status/../book" }},
		{"route twice", func(c *galenalatch.Catalogue) { c.Pools[1].Routes = append(c.Pools[1].Routes, c.Pools[1].Routes[0]) }},
		{"key in place of a hash", func(c *galenalatch.Catalogue) { c.Workspaces[0].KeyHashes[0] = rawKey }},
		{"upper case hash", func(c *galenalatch.Catalogue) { c.Workspaces[0].KeyHashes[0] = strings.Repeat("0A", 32) }},
		{"no hash", func(c *galenalatch.Catalogue) { c.Workspaces[0].KeyHashes = nil }},
		{"hash of two workspaces", func(c *galenalatch.Catalogue) { c.Workspaces[1].KeyHashes = c.Workspaces[0].KeyHashes }},
		{"two workspaces of one name", func(c *galenalatch.Catalogue) { c.Workspaces[1].Name = "a" }},
		{"unknown workspace", func(c *galenalatch.Catalogue) { c.Entries[0].Workspace = "c" }},
		{"unknown class", func(c *galenalatch.Catalogue) { c.Entries[0].Class = "urgent" }},
		{"entry twice", func(c *galenalatch.Catalogue) { c.Entries = append(c.Entries, c.Entries[0]) }},
		{"limits of an entry", func(c *galenalatch.Catalogue) { c.Entries[0].Weight, c.Entries[0].MaxWaitingBytes = -1, 1 }},
		{"no default limits", func(c *galenalatch.Catalogue) { c.DefaultLimits = galenalatch.Entry{} }},
		{"default limits of a workspace", func(c *galenalatch.Catalogue) { c.DefaultLimits.Workspace = "a" }},
		{"data centre twice", func(c *galenalatch.Catalogue) { c.OutOfService = []galenalatch.DataCentre{"a", "a"} }},
		{"empty server", func(c *galenalatch.Catalogue) { c.ServersOut = []galenalatch.ServerID{""} }},
		{"many faults", func(c *galenalatch.Catalogue) {
			for range 30 {
				c.Entries = append(c.Entries, galenalatch.Entry{Workspace: "a", Class: galenalatch.Interactive, Weight: 1, MaxWaiting: 1, MaxWaitingBytes: 1024})
			}
		}},
	} {
		changed := validCatalogue()
		c.change(&changed)
		err := v.Check(changed)
		assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindInvalidCatalogue, c.name)
		assert.Assert(t, !strings.Contains(err.Error(), rawKey))
		fmt.Fprintf(&b, "%s:\n  %s\n", c.name, strings.ReplaceAll(err.Error(), "\n", "\n  "))
	}
	golden.Assert(t, b.String(), "faults.golden")
}
