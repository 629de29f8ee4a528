package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

// Guards against lists that stay different: after all messages have arrived, in
// whatever order, all routers hold the same requests back.
func TestListsBecomeEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		lists := []*List{newList(false), newList(false), newList(false)}
		ids := []string{"a", "b", "x", "y"}
		var inFlight []galenalatch.PromptSuspects
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			l := lists[rapid.IntRange(0, 2).Draw(t, "router")]
			prompt := []string{rapid.SampledFrom(ids).Draw(t, "first"), rapid.SampledFrom(ids).Draw(t, "second")}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				l.RecordCrash(now, begun(rapid.IntRange(0, 5).Draw(t, "server"), prompt...))
			case 1:
				l.RecordCrash(now, waiting(rapid.IntRange(0, 5).Draw(t, "server"), prompt...))
			case 2:
				l.RecordFirstEvent(model, parts(prompt...))
			case 3:
				inFlight = append(inFlight, l.Changes(now))
			}
			now = now.Add(time.Second)
		}
		for _, m := range rapid.Permutation(inFlight).Draw(t, "order") {
			for _, l := range lists {
				l.Merge(now, m, false)
			}
		}
		for range 3 {
			exchange(now, lists)
			now = now.Add(resendInterval)
		}
		for _, first := range ids {
			for _, second := range ids {
				_, held := lists[0].Check(now, model, parts(first, second))
				for _, l := range lists[1:] {
					_, other := l.Check(now, model, parts(first, second))
					assert.Equal(t, other, held, "%s %s", first, second)
				}
			}
		}
	})
}

// exchange sends the changes of each router to all others.
func exchange(now time.Time, lists []*List) {
	for _, from := range lists {
		m := from.Changes(now)
		for _, to := range lists {
			if to != from {
				to.Merge(now, m, false)
			}
		}
	}
}

// fleet is a simulation of routers whose requests end servers. Messages between
// routers take delay steps.
type fleet struct {
	lists    []*List
	delay    int
	messages [][]galenalatch.PromptSuspects
	crashes  int
	// sent are the steps at which requests with the deadly part were sent, ended
	// the first steps at which five servers had ended.
	sent        []int
	fifth       int
	sound, kept int
}

const (
	step = 50 * time.Millisecond
	// contactSteps is the time that the fleet has after the fifth crash.
	contactSteps = int(3 * time.Second / step)
)

// Guards against more than three requests with a deadly part that are sent later than
// the contact time after the fifth crash, and against sound requests that are held.
func TestFleet(t *testing.T) {
	seeds := uint64(30)
	if testing.Short() {
		seeds = 8
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			f := &fleet{fifth: -1, delay: 2 + random.IntN(29)}
			for range []int{1, 8, 91}[random.IntN(3)] {
				f.lists = append(f.lists, newList(false))
			}
			headSeen, share := random.IntN(2) == 0, 1+random.IntN(20)
			now := time.Unix(0, 0)
			for i := range 800 {
				now = now.Add(step)
				f.deliver(now, i)
				for range random.IntN(4) {
					l := f.lists[random.IntN(len(f.lists))]
					first := fmt.Sprint("first", random.IntN(4))
					if random.IntN(100) < share {
						f.sendDeadly(now, i, l, headSeen, first)
						continue
					}
					f.sendSound(now, l, first, fmt.Sprint("topic", random.IntN(30)))
				}
			}
			late := slices.DeleteFunc(f.sent, func(i int) bool { return f.fifth < 0 || i <= f.fifth+contactSteps })
			t.Logf("%d routers, delay %d, heads %t, share %d: %d crashes, %d late, %d of %d held", len(f.lists), f.delay, headSeen, share, f.crashes, len(late), f.kept, f.sound)
			assert.Assert(t, len(late) <= 3, "%d requests after the bound, %d crashes", len(late), f.crashes)
			assert.Assert(t, 20*f.kept <= f.sound, "%d of %d sound requests are held", f.kept, f.sound)
		})
	}
}

// deliver delivers the messages that are due and sends new ones.
func (f *fleet) deliver(now time.Time, i int) {
	var out []galenalatch.PromptSuspects
	for _, l := range f.lists {
		if m := l.Changes(now); len(m.Parts) > 0 {
			out = append(out, m)
		}
	}
	f.messages = append(f.messages, out)
	if i < f.delay {
		return
	}
	for _, m := range f.messages[i-f.delay] {
		for _, l := range f.lists {
			l.Merge(now, m, false)
		}
	}
}

// sendDeadly sends a request that ends its server, with one innocent request waiting
// there.
func (f *fleet) sendDeadly(now time.Time, i int, l *List, headSeen bool, first string) {
	if _, held := l.Check(now, model, parts(first, "deadly")); held {
		return
	}
	f.sent = append(f.sent, i)
	f.crashes++
	if f.crashes == 5 {
		f.fifth = i
	}
	c := waiting(f.crashes, first, "deadly")
	c.Begun = headSeen
	l.RecordCrash(now, c)
	l.RecordCrash(now, waiting(f.crashes, first, fmt.Sprint("topic", f.crashes%30)))
}

func (f *fleet) sendSound(now time.Time, l *List, first, topic string) {
	f.sound++
	if _, held := l.Check(now, model, parts(first, topic)); held {
		f.kept++
		return
	}
	l.RecordFirstEvent(model, parts(first, topic))
}
