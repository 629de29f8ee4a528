package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

var (
	down    = galenalatch.KindPlatformDown.Errorf("down")
	unclear = galenalatch.KindUnclear.Errorf("lost")
	missing = galenalatch.KindNotFound.Errorf("no row")
)

// world is the model: processes that claim one key over one table row, in
// which every call can be delayed, refused or lost.
type world struct {
	now    time.Time
	exists bool
	row    galenalatch.Row
	writes int
	up     bool
	late   []galenalatch.Write
	// calls are the attempts whose process is alive.
	calls []*attempt
	made  int
	// sent says for each fingerprint how often the request was sent, killed
	// that a process was killed in the middle.
	sent   map[string]int
	killed bool
}

// attempt is one attempt of a process: it claims, sends if it may, and
// settles.
type attempt struct {
	claim       *Claim
	fingerprint string
	write       *galenalatch.Write
	done        func()
	settling    bool
}

func (w *world) read() (galenalatch.Row, error) {
	if !w.exists {
		return galenalatch.Row{}, missing
	}
	return w.row, nil
}

func (w *world) put(x galenalatch.Write) (galenalatch.Row, error) {
	if x.IfAbsent && w.exists || x.IfTag != "" && (!w.exists || x.IfTag != w.row.Tag) {
		return galenalatch.Row{}, galenalatch.KindConflict.Errorf("condition does not hold")
	}
	w.writes++
	w.exists, w.row = true, galenalatch.Row{Key: x.Key, Value: x.Value, Tag: fmt.Sprint(w.writes)}
	return w.row, nil
}

func (w *world) start(fingerprint string) *attempt {
	w.made++
	a := &attempt{fingerprint: fingerprint, claim: New(Config{
		Key: "k", ID: fmt.Sprint("claim", w.made), Fingerprint: fingerprint,
		Wait: 10 * time.Second, Resolve: 3 * time.Second,
		Poll: 100 * time.Millisecond, MaxPoll: time.Second, Retry: 300 * time.Millisecond, MaxRetry: 5 * time.Second,
	}, w.now)}
	w.calls = append(w.calls, a)
	return a
}

// step lets an attempt take one step. fate says what happens to its call.
func (w *world) step(t *rapid.T, a *attempt, fate string) {
	c := a.claim
	switch {
	case a.done != nil:
		a.done()
		a.done = nil
	case a.write != nil:
		x := *a.write
		a.write = nil
		var row galenalatch.Row
		var err error
		switch {
		case !w.up || fate == "refused":
			err = down
		case fate == "late":
			w.late = append(w.late, x)
			err = unclear
		default:
			if row, err = w.put(x); fate == "lost" {
				err = unclear
			}
		}
		a.done = func() { c.Result(w.now, row, err) }
	case c.Verdict() != Open && !a.settling:
		a.settling = true
		w.decided(t, a)
	default:
		switch action := c.Next(w.now); {
		case action.Read:
			row, err := w.read()
			if !w.up || fate == "refused" || fate == "lost" {
				err = down
			}
			a.done = func() { c.Observe(w.now, row, err) }
		case action.Write != nil:
			a.write = action.Write
		}
	}
}

// decided acts on a verdict as a router does.
func (w *world) decided(t *rapid.T, a *attempt) {
	c := a.claim
	switch c.Verdict() {
	case Run:
		if !rapid.Bool().Draw(t, "send") {
			c.Release(w.now)
			return
		}
		w.sent[a.fingerprint]++
		if len(w.sent) > 1 || w.sent[a.fingerprint] > 1 {
			t.Fatalf("the request was sent more than once: %v", w.sent)
		}
		c.Finish(w.now, Answer{Status: 200, Body: []byte(a.fingerprint)})
	case Replay:
		if string(c.Answer().Body) != a.fingerprint || w.sent[a.fingerprint] != 1 {
			t.Fatalf("a request with body %s got the answer to %s", a.fingerprint, c.Answer().Body)
		}
	}
	if c.MustRelease() {
		c.Release(w.now)
	}
}

func (a *attempt) over() bool {
	return a.settling && a.done == nil && a.write == nil && a.claim.Next(time.Time{}) == Action{}
}

// settleAll lets all attempts end on a platform without failures.
func (w *world) settleAll(t *rapid.T) {
	w.up = true
	for range 400 {
		for _, a := range w.calls {
			w.step(t, a, "")
		}
		w.now = w.now.Add(50 * time.Millisecond)
	}
	for _, a := range w.calls {
		if !a.over() {
			t.Fatalf("claim %s is not settled 20 s after the platform is back", a.claim.config.ID)
		}
	}
}

// TestHistories guards against histories in which a request is sent twice,
// gets the answer to another one, or cannot run although it was not sent.
// Processes are killed between any two steps, calls are late, lost or
// refused, and callers go away.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(0, 0), up: true, sent: map[string]int{}}
		fates := rapid.SampledFrom([]string{"", "", "", "refused", "lost", "late"})
		pick := func(t *rapid.T) *attempt {
			if len(w.calls) == 0 {
				return w.start("body")
			}
			return w.calls[rapid.IntRange(0, len(w.calls)-1).Draw(t, "attempt")]
		}
		step := func(t *rapid.T) {
			a := pick(t)
			for range rapid.SampledFrom([]int{1, 2, 3, 5, 8}).Draw(t, "steps") {
				w.step(t, a, fates.Draw(t, "fate"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": step, "step2": step, "step3": step,
			"race": func(t *rapid.T) {
				a, b := w.start("body"), w.start("body")
				for range 20 {
					w.step(t, a, fates.Draw(t, "fate"))
					w.step(t, b, fates.Draw(t, "fate"))
					w.now = w.now.Add(100 * time.Millisecond)
				}
			},
			"start": func(t *rapid.T) {
				w.start(rapid.SampledFrom([]string{"body", "body", "body", "other"}).Draw(t, "fingerprint"))
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{50, 300, 1000, 4000, 11000}).Draw(t, "millis")) * time.Millisecond)
			},
			"outage": func(*rapid.T) { w.up = !w.up },
			"arrive": func(t *rapid.T) {
				if len(w.late) > 0 {
					_, _ = w.put(w.late[0])
					w.late = w.late[1:]
				}
			},
			"leave": func(t *rapid.T) { pick(t).claim.Abandon() },
			"kill": func(t *rapid.T) {
				if i := len(w.calls); i > 0 && rapid.SampledFrom([]bool{false, false, true}).Draw(t, "kill") {
					i = rapid.IntRange(0, i-1).Draw(t, "killed")
					w.calls = append(w.calls[:i], w.calls[i+1:]...)
					w.killed = true
				}
			},
		})
		w.settleAll(t)
		for _, x := range w.late {
			_, _ = w.put(x)
		}
		// Another router gets the request again.
		last := w.start("body")
		w.settleAll(t)
		switch v := last.claim.Verdict(); {
		case v == Run, v == Replay, v == KeyReused && w.made > 1:
		case v == InProgress && w.killed:
		default:
			t.Fatalf("verdict %q for a repeated request; killed %v, sent %v, row %s", v, w.killed, w.sent, w.row.Value)
		}
	})
}

// TestLateClaim guards against a claim that is forgotten because a read-back
// did not show it yet: it would block the key when it arrives.
func TestLateClaim(t *testing.T) {
	w := &world{now: time.Unix(0, 0), up: true}
	a := w.start("body")
	assert.Assert(t, a.claim.Next(w.now).Write != nil)
	a.claim.Result(w.now, galenalatch.Row{}, unclear)
	assert.Assert(t, a.claim.Next(w.now).Read)
	a.claim.Observe(w.now, galenalatch.Row{}, missing)
	a.claim.Next(w.now.Add(time.Minute))
	assert.Equal(t, a.claim.Verdict(), PlatformDown)
	assert.Assert(t, a.claim.MustRelease())
}
