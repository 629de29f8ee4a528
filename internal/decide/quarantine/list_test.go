package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
)

const model = "m"

func parts(ids ...string) []galenalatch.PromptPart {
	p := make([]galenalatch.PromptPart, len(ids))
	for i, id := range ids {
		p[i] = galenalatch.PromptPart{ID: id, Tokens: 10}
	}
	return p
}

// newList returns a list that may let trials through if owner is set.
func newList(owner bool) *List {
	return New(Options{
		Owner: func(uint64) bool { return owner }, Held: func(uint64, string, int) {}, Released: func(uint64, string) {},
	})
}

func begun(server int, ids ...string) Crash {
	return Crash{Server: galenalatch.ServerID(fmt.Sprint("s", server)), Model: model, Parts: parts(ids...), Begun: true}
}

func waiting(server int, ids ...string) Crash {
	c := begun(server, ids...)
	c.Begun = false
	return c
}

// Guards against parts that are held without need and deadly ones that are not held.
func TestCheck(t *testing.T) {
	now := time.Now()
	type check struct {
		ids  []string
		held bool
	}
	type testCase struct {
		name    string
		crashes []Crash
		cleared [][]string
		checks  []check
	}
	tests := []testCase{
		{"one crash", []Crash{begun(1, "a", "x")}, nil, []check{{[]string{"a", "x"}, false}}},
		{"two requests at one crash", []Crash{begun(1, "a", "x"), begun(1, "b", "x")}, nil, []check{{[]string{"a", "x"}, false}}},
		{"two crashes of one prompt", []Crash{begun(1, "a", "x"), begun(2, "a", "x")}, nil,
			[]check{{[]string{"a", "x"}, true}, {[]string{"a", "y"}, false}, {[]string{"b", "x"}, false}, {[]string{"b"}, false}}},
		{"shared part is cleared", []Crash{begun(1, "a", "x"), begun(2, "a", "x")}, [][]string{{"a", "y"}},
			[]check{{[]string{"a", "x"}, true}, {[]string{"b", "x"}, true}, {[]string{"a", "y"}, false}}},
		{"two crashes of different prompts", []Crash{begun(1, "a", "x"), begun(2, "b", "x")}, nil,
			[]check{{[]string{"a", "x"}, true}, {[]string{"c", "x"}, true}, {[]string{"a"}, false}, {[]string{"b"}, false}}},
		{"waiting requests beside a begun answer", []Crash{begun(1, "x"), begun(2, "x"), waiting(1, "a"), waiting(2, "a"), waiting(3, "a")}, nil,
			[]check{{[]string{"a"}, false}, {[]string{"x"}, true}}},
		{"three crashes without a begun answer", []Crash{waiting(1, "x"), waiting(2, "x"), waiting(3, "x"), waiting(2, "a")}, nil,
			[]check{{[]string{"x"}, true}, {[]string{"a"}, false}}},
		{"innocent answer begun at one of the crashes", []Crash{begun(1, "x"), begun(1, "a"), begun(2, "x")}, nil,
			[]check{{[]string{"x"}, true}, {[]string{"a"}, false}}},
		{"shared part with a crash of its own", []Crash{begun(0, "a"), begun(1, "a", "x"), begun(2, "a", "x")}, nil,
			[]check{{[]string{"a", "y"}, false}, {[]string{"a", "x"}, true}}},
		{"cleared by a request with the part", []Crash{begun(1, "x"), begun(2, "x")}, [][]string{{"x"}}, []check{{[]string{"x"}, false}}},
	}
	var many []Crash
	for i := range 2 * maxCrashes {
		many = append(many, begun(i, "x"))
	}
	for i := range 2 {
		many = append(many, begun(maxCrashes+i, "a", "x"))
	}
	tests = append(tests, testCase{"more crashes than are kept", many, nil, []check{{[]string{"x"}, true}, {[]string{"a"}, false}}})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newList(true)
			for _, c := range tt.crashes {
				l.RecordCrash(now, c)
			}
			for _, ids := range tt.cleared {
				l.RecordFirstEvent(model, parts(ids...))
			}
			for _, c := range tt.checks {
				_, held := l.Check(now, model, parts(c.ids...))
				assert.Equal(t, held, c.held, "%v", c.ids)
			}
			_, held := l.Check(now, "other model", parts("x"))
			assert.Assert(t, !held)
		})
	}
}

// Guards against trials by several routers, before their time or without end, and
// against a trial that releases the part before its first event.
func TestTrials(t *testing.T) {
	now := time.Now()
	owner, other := newList(true), newList(false)
	let := 0
	check := func() {
		for _, l := range []*List{owner, other} {
			f, held := l.Check(now, model, parts("x"))
			assert.Assert(t, held != f.Trial)
			if f.Trial {
				let++
				assert.Assert(t, l == owner)
				l.RecordCrash(now, begun(100+let, "x"))
			}
		}
		other.Merge(now, owner.Changes(now), false)
	}
	for i := range 2 {
		owner.RecordCrash(now, begun(i, "x"))
	}
	other.Merge(now, owner.Changes(now), false)
	for range int(2 * time.Hour / time.Second) {
		check()
		now = now.Add(time.Second)
		owner.Expire(now)
		other.Expire(now)
	}
	assert.Equal(t, let, maxTrials)
	owner.RecordFirstEvent(model, parts("x"))
	_, held := owner.Check(now, model, parts("x"))
	assert.Assert(t, !held)
}

// Guards against a list that callers fill with parts: it is bounded, and what is held
// stays.
func TestBound(t *testing.T) {
	now := time.Now()
	l := newList(false)
	for i := range 2 {
		l.RecordCrash(now, begun(i, "x"))
	}
	for i := range 3 * maxSuspects {
		l.RecordCrash(now.Add(time.Second), waiting(i%7, fmt.Sprint("p", i)))
	}
	for i := range 2 * maxCrashes {
		l.RecordCrash(now, begun(i, "x"))
	}
	assert.Equal(t, len(l.suspects), maxSuspects)
	assert.Equal(t, len(l.suspects[Key(model, "x")].crashes), maxCrashes)
	_, held := l.Check(now, model, parts("x"))
	assert.Assert(t, held)
	l.Expire(now.Add(suspicionTime + 2*time.Second))
	assert.Equal(t, len(l.suspects), 1)
	assert.Equal(t, len(l.begun), maxCrashes, "crashes of removed suspects are counted")
}
