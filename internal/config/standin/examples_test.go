package standin_test

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/catalogue"
	"github.com/galenalatch/galenalatch/internal/config/settings"
	"github.com/galenalatch/galenalatch/internal/config/standin"
)

// TestExamples guards against example settings that no longer load or that are
// inconsistent: a router that is not in the instance list, a pool without
// servers, or an engine without the models of its pool.
func TestExamples(t *testing.T) {
	for _, fleet := range []string{"bayambang", "federkiel"} {
		dir := filepath.Join("..", "..", "..", "examples", fleet)
		in, err := standin.Load(filepath.Join(dir, "standin.json"))
		assert.NilError(t, err)
		_, err = standin.Parse([]byte(in.String()))
		assert.NilError(t, err)
		c, err := in.Platform.ReadCatalogue()
		assert.NilError(t, err)
		assert.NilError(t, catalogue.New().Check(c))
		assert.Equal(t, len(c.Workspaces), 16)

		servers := make(map[galenalatch.PoolName]int)
		centres := make(map[galenalatch.DataCentre]bool)
		peers := make(map[string]galenalatch.Instance)
		for _, i := range in.Instances {
			servers[i.Pool]++
			centres[i.DataCentre] = true
			if i.Role == galenalatch.RouterRole {
				peers[i.ID] = i
			}
		}
		assert.Equal(t, len(centres), 4)
		assert.Equal(t, len(peers), 8)
		for _, p := range c.Pools {
			want := map[galenalatch.PoolKind]int{galenalatch.ModelPool: 12, galenalatch.PlainPool: 4}[p.Kind]
			assert.Equal(t, servers[p.Name], want)
			if p.Kind == galenalatch.ModelPool {
				assert.DeepEqual(t, in.Engines[p.Name].Models, p.Models)
				assert.Equal(t, in.Engines[p.Name].ChecksFencing, p.ChecksFencing)
			}
		}
		files, err := filepath.Glob(filepath.Join(dir, "*-router-*.json"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), 8)
		for _, f := range files {
			s, err := settings.Load(f)
			assert.NilError(t, err)
			assert.Equal(t, s.Listen.Peer, peers[string(s.ID)].Address)
			assert.Equal(t, s.DataCentre, peers[string(s.ID)].DataCentre)
			assert.Assert(t, strings.HasSuffix(s.Platform.Address, in.Platform.Listen))
		}
	}
}
