package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

// Guards against a request that announces an absurd number of tokens, whose predicted
// time overflows: the server with it would look free to all further requests.
func TestHugePrompt(t *testing.T) {
	for _, tokens := range []int{1 << 40, 1 << 53, math.MaxInt64} {
		table := newTable("r1", 4)
		table.SetServices(map[string]galenalatch.Service{pool: {Engine: true, CacheTokens: 400_000}})
		huge, ok := table.Choose(start, Request{
			Service: pool, Model: "m", PromptTokens: tokens, Prompt: []galenalatch.PromptPart{{ID: "a", Tokens: tokens}, {ID: "b", Tokens: tokens}},
		})
		assert.Assert(t, ok)
		assert.Assert(t, huge.Wait >= time.Hour, "%d tokens: predicted after %s", tokens, huge.Wait)
		for i := range 8 {
			p, ok := table.Choose(start, prompt(i))
			assert.Assert(t, ok)
			assert.Assert(t, p.Server != huge.Server, "%d tokens: a queue of %s looks short", tokens, huge.Prefill)
			assert.Assert(t, p.Wait >= 0 && p.Wait < time.Minute, "%s", p.Wait)
		}
		load := table.LocalLoad(start)[huge.server.key()]
		assert.Assert(t, load.Prefill > 0, "%s", load.Prefill)
	}
}
