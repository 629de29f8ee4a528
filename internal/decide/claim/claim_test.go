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
	errDown         = galenalatch.KindPlatformDown.Errorf("down")
	errWriteUnknown = galenalatch.KindWriteUnknown.Errorf("lost")
	errMissing      = galenalatch.KindNotFound.Errorf("no row")
)

// simulation holds several processes that claim the same key in one table
// row. Every call to the table can be delayed, refused or lost.
type simulation struct {
	now     time.Time
	exists  bool
	row     galenalatch.Row
	writes  int
	up      bool
	delayed []galenalatch.Write
	// attempts are those whose process has not been killed.
	attempts   []*attempt
	claimCount int
	// sent counts how often the request was sent, by fingerprint. killed is
	// set once a process was killed.
	sent   map[string]int
	killed bool
}

// attempt is one attempt of a process: it claims the key, sends the request
// if it may, and writes the result.
type attempt struct {
	claim         *Claim
	fingerprint   string
	write         *galenalatch.Write
	deliverResult func()
	decided       bool
}

func (w *simulation) read() (galenalatch.Row, error) {
	if !w.exists {
		return galenalatch.Row{}, errMissing
	}
	return w.row, nil
}

func (w *simulation) put(x galenalatch.Write) (galenalatch.Row, error) {
	if x.IfAbsent && w.exists || x.IfTag != "" && (!w.exists || x.IfTag != w.row.Tag) {
		return galenalatch.Row{}, galenalatch.KindConflict.Errorf("condition does not hold")
	}
	w.writes++
	w.exists, w.row = true, galenalatch.Row{Key: x.Key, Value: x.Value, Tag: fmt.Sprint(w.writes)}
	return w.row, nil
}

func (w *simulation) start(fingerprint string) *attempt {
	w.claimCount++
	a := &attempt{fingerprint: fingerprint, claim: New(Config{
		Key: "k", ID: fmt.Sprint("claim", w.claimCount), Fingerprint: fingerprint,
		Wait: 10 * time.Second, Resolve: 3 * time.Second,
		Poll: 100 * time.Millisecond, MaxPoll: time.Second, Retry: 300 * time.Millisecond, MaxRetry: 5 * time.Second,
	}, w.now)}
	w.attempts = append(w.attempts, a)
	return a
}

// step lets an attempt take one step. outcome is what happens to its call:
// empty for success, refused, lost (carried out, but without an answer) or
// late.
func (w *simulation) step(t *rapid.T, a *attempt, outcome string) {
	c := a.claim
	switch {
	case a.deliverResult != nil:
		a.deliverResult()
		a.deliverResult = nil
	case a.write != nil:
		x := *a.write
		a.write = nil
		var row galenalatch.Row
		var err error
		switch {
		case !w.up || outcome == "refused":
			err = errDown
		case outcome == "late":
			w.delayed = append(w.delayed, x)
			err = errWriteUnknown
		default:
			if row, err = w.put(x); outcome == "lost" {
				err = errWriteUnknown
			}
		}
		a.deliverResult = func() { c.WriteDone(w.now, row, err) }
	case c.Decision() != Undecided && !a.decided:
		a.decided = true
		w.actOnDecision(t, a)
	default:
		switch action := c.Next(w.now); {
		case action.Read:
			row, err := w.read()
			if !w.up || outcome == "refused" || outcome == "lost" {
				err = errDown
			}
			a.deliverResult = func() { c.ReadDone(w.now, row, err) }
		case action.Write != nil:
			a.write = action.Write
		}
	}
}

// actOnDecision does what a router does with the decision: it sends the
// request, replays the answer or releases the claim.
func (w *simulation) actOnDecision(t *rapid.T, a *attempt) {
	c := a.claim
	switch c.Decision() {
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

func (a *attempt) finished() bool {
	return a.decided && a.deliverResult == nil && a.write == nil && a.claim.Next(time.Time{}) == Action{}
}

// settleAll runs all attempts to their ends on a platform without failures.
func (w *simulation) settleAll(t *rapid.T) {
	w.up = true
	for range 400 {
		for _, a := range w.attempts {
			w.step(t, a, "")
		}
		w.now = w.now.Add(50 * time.Millisecond)
	}
	for _, a := range w.attempts {
		if !a.finished() {
			t.Fatalf("claim %s is not settled 20 s after the platform is back", a.claim.config.ID)
		}
	}
}

// TestRequestSentAtMostOnce guards against a request that is sent twice,
// gets the answer to another request, or cannot run although it was never
// sent. Random schedules kill processes between any two steps, delay, lose
// or refuse calls, and make callers go away.
func TestRequestSentAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{now: time.Unix(0, 0), up: true, sent: map[string]int{}}
		outcomes := rapid.SampledFrom([]string{"", "", "", "refused", "lost", "late"})
		pick := func(t *rapid.T) *attempt {
			if len(w.attempts) == 0 {
				return w.start("body")
			}
			return w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(t, "attempt")]
		}
		step := func(t *rapid.T) {
			a := pick(t)
			for range rapid.SampledFrom([]int{1, 2, 3, 5, 8}).Draw(t, "steps") {
				w.step(t, a, outcomes.Draw(t, "outcome"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": step, "step2": step, "step3": step,
			"race": func(t *rapid.T) {
				a, b := w.start("body"), w.start("body")
				for range 20 {
					w.step(t, a, outcomes.Draw(t, "outcome"))
					w.step(t, b, outcomes.Draw(t, "outcome"))
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
				if len(w.delayed) > 0 {
					_, _ = w.put(w.delayed[0])
					w.delayed = w.delayed[1:]
				}
			},
			"leave": func(t *rapid.T) { pick(t).claim.Abandon() },
			"kill": func(t *rapid.T) {
				if i := len(w.attempts); i > 0 && rapid.SampledFrom([]bool{false, false, true}).Draw(t, "kill") {
					i = rapid.IntRange(0, i-1).Draw(t, "killed")
					w.attempts = append(w.attempts[:i], w.attempts[i+1:]...)
					w.killed = true
				}
			},
		})
		w.settleAll(t)
		for _, x := range w.delayed {
			_, _ = w.put(x)
		}
		// Another router receives the same request.
		last := w.start("body")
		w.settleAll(t)
		switch v := last.claim.Decision(); {
		case v == Run, v == Replay, v == KeyReused && w.claimCount > 1:
		case v == InProgress && w.killed:
		default:
			t.Fatalf("decision %q for a repeated request; killed %v, sent %v, row %s", v, w.killed, w.sent, w.row.Value)
		}
	})
}

// TestLateClaim guards against a claim that is not released because a
// read-back did not show its write: the write would block the key when it
// takes effect later.
func TestLateClaim(t *testing.T) {
	w := &simulation{now: time.Unix(0, 0), up: true}
	a := w.start("body")
	assert.Assert(t, a.claim.Next(w.now).Write != nil)
	a.claim.WriteDone(w.now, galenalatch.Row{}, errWriteUnknown)
	assert.Assert(t, a.claim.Next(w.now).Read)
	a.claim.ReadDone(w.now, galenalatch.Row{}, errMissing)
	a.claim.Next(w.now.Add(time.Minute))
	assert.Equal(t, a.claim.Decision(), PlatformDown)
	assert.Assert(t, a.claim.MustRelease())
}
