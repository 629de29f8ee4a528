package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// engine is an engine that reads one prompt after the other.
type engine struct {
	// readRate is in prompt tokens per millisecond.
	readRate float64
	first    time.Duration
	free     time.Time
}

// run returns when the first token comes of a prompt with fresh tokens at its
// end.
func (e *engine) run(now time.Time, total, fresh int) time.Time {
	begin := now
	if e.free.After(begin) {
		begin = e.free
	}
	// Pairs of tokens take as much longer as tokens do.
	t := &Table{Options: Options{ReadRate: 50}}
	e.free = begin.Add(time.Duration(float64(t.reading(total, fresh)) * 50 / e.readRate))
	return e.free.Add(e.first)
}

// learn lets a router send prompts to one engine. It returns the predicted
// time to the first token as a multiple of the true one, for the last quarter
// of the requests together.
func learn(t *testing.T, table *Table, e *engine, pause time.Duration, requests int) float64 {
	t.Helper()
	type running struct {
		place *Place
		until time.Time
	}
	var open []running
	var predicted, took time.Duration
	now := start
	for i := range requests {
		now = now.Add(pause)
		for len(open) > 0 && !open[0].until.After(now) {
			table.First(open[0].until, open[0].place)
			table.Done(open[0].until, open[0].place, Served)
			open = open[1:]
		}
		table.Expire(now)
		// Every other request is a short one.
		a := prompt(i)
		if i%2 == 0 {
			a.PromptTokens, a.Prompt = 400, a.Prompt[:1]
			a.Prompt[0].Tokens = 400
		}
		p, ok := table.Choose(now, a)
		assert.Assert(t, ok)
		until := e.run(now, a.size(), a.size()-p.Cached)
		open = append(open, running{p, until})
		if i >= requests*3/4 {
			predicted += p.Wait
			took += until.Sub(now)
		}
	}
	return float64(predicted) / float64(took)
}

// Guards against predictions by the configured rate for engines that read more
// slowly or more quickly: too much work is sent to the ones, too little to the
// others.
func TestPaceFollowsEngines(t *testing.T) {
	tests := []struct {
		name   string
		engine engine
		pause  time.Duration
		// idle says that requests find the engine idle.
		idle bool
	}{
		{"as configured", engine{readRate: 50, first: 50 * time.Millisecond}, 400 * time.Millisecond, true},
		{"slow", engine{readRate: 22, first: 100 * time.Millisecond}, 500 * time.Millisecond, true},
		{"slow and busy", engine{readRate: 22, first: 100 * time.Millisecond}, 120 * time.Millisecond, false},
		{"quick", engine{readRate: 130, first: 20 * time.Millisecond}, 400 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable("r1", 1)
			predicted := learn(t, table, &tt.engine, tt.pause, 4*paceSamples)
			factor, first := table.Pace(pool)
			want := 50 / tt.engine.readRate
			assert.Assert(t, factor > 0.85*want && factor < 1.15*want, "factor %.2f of %.2f", factor, want)
			assert.Assert(t, !tt.idle || first > tt.engine.first*8/10 && first < tt.engine.first*12/10, "%s of %s", first, tt.engine.first)
			p, ok := table.Choose(start.Add(time.Hour), prompt(1000))
			assert.Assert(t, ok)
			assert.Equal(t, p.Overhead, max(first-50*time.Millisecond, 0))
			assert.Assert(t, predicted > 0.85 && predicted < 1.15, "predicted %.2f of what it took", predicted)
		})
	}
}

// Guards against a pace from a few samples, from old ones, from waits for a
// slot, and beyond its bounds.
func TestPaceSamples(t *testing.T) {
	table := newTable("r1", 1)
	for range pacePrior / 4 {
		table.pace(pool).observe(start, 100*time.Millisecond, time.Second)
	}
	table.Expire(start)
	factor, first := table.Pace(pool)
	assert.Equal(t, factor, 1.0)
	assert.Equal(t, first, 50*time.Millisecond)
	for range paceSamples {
		table.pace(pool).observe(start, 100*time.Millisecond, time.Hour)
		table.pace(pool).observe(start, 10*time.Millisecond, 0)
	}
	table.Expire(start)
	factor, first = table.Pace(pool)
	assert.Equal(t, factor, float64(slowest))
	assert.Equal(t, first, time.Duration(0))
	// They count for the whole memory, and for no longer: a router that sends
	// nothing learns nothing.
	table.Expire(start.Add(paceMemory))
	factor, _ = table.Pace(pool)
	assert.Equal(t, factor, float64(slowest))
	table.Expire(start.Add(paceMemory + 1))
	factor, first = table.Pace(pool)
	assert.Equal(t, factor, 1.0)
	assert.Equal(t, first, 50*time.Millisecond)

	// A service that is gone leaves nothing behind.
	table.SetServices(nil)
	assert.Equal(t, len(table.paces), 0)

	full := newTable("r2", 1)
	for range 64 {
		mustChoose(t, full, start)
	}
	for range paceSamples {
		p := mustChoose(t, full, start)
		assert.Equal(t, p.nominal, time.Duration(0))
		full.First(start.Add(time.Second), p)
	}
	full.Expire(start.Add(time.Second))
	_, first = full.Pace(pool)
	assert.Equal(t, first, 50*time.Millisecond)

	// Reading times at the bounds count.
	edge := newTable("r3", 1)
	for range paceSamples {
		edge.pace(pool).observe(start, longReading, 50*time.Millisecond+2*longReading)
		edge.pace(pool).observe(start, shortReading, shortReading+80*time.Millisecond)
	}
	edge.Expire(start)
	factor, first = edge.Pace(pool)
	assert.Equal(t, factor, 2.0)
	assert.Equal(t, first, 80*time.Millisecond)
}
