package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenalatch/galenalatch"
)

// BenchmarkChooseLargeFleet measures the choice among 320 engines, all of them with requests
// of other routers, on a router without idle connections.
func BenchmarkChooseLargeFleet(b *testing.B) {
	const servers, prompts = 320, 77
	now := time.Unix(1000, 0)
	t := New(Options{Self: "r1", Local: "a", PrefillRate: 50, FirstToken: 50 * time.Millisecond, ColdRateFactor: 1.5, ColdSlack: 5})
	t.SetServices(map[string]galenalatch.Service{"pool": {Engine: true, ColdRate: 10}})
	loads := make(map[uint32]Load)
	for i := range servers {
		t.Put(now, galenalatch.Registration{ID: galenalatch.ServerID(fmt.Sprint("s", i)), Service: "pool", Slots: 16, DataCentre: galenalatch.DataCentre(fmt.Sprint(i % 6))})
	}
	for k := range t.serversByKey {
		loads[k] = Load{Running: 3, Prefill: 20 * time.Millisecond}
	}
	t.SetRemote(now, "r2", loads)
	idle := make(map[galenalatch.ServerID]bool)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		p, ok := t.Choose(now, Request{
			Service: "pool", Model: "m", PromptTokens: 17000,
			Prompt:  []galenalatch.PromptPart{{ID: fmt.Sprint("shared", i%prompts), Tokens: 13000}, {ID: fmt.Sprint(i), Tokens: 4000}},
			HasIdle: func(s galenalatch.ServerID) bool { return idle[s] },
		})
		if !ok {
			b.Fatal("no server was chosen")
		}
		t.Release(now, p, Served)
	}
}
