// Package claim decides whether a request that may run at most once runs, is
// answered from the stored answer, or is rejected. It is pure: times, rows and
// ids come from the caller.
//
// A claim is a row of the platform's table that is written before the request
// is sent. Only the process that wrote a claimed row changes it again.
package claim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
)

// State is the state of a claim's row.
type State string

// The states of rows.
const (
	// Claimed means that the request may have been sent.
	Claimed State = "claimed"
	// Finished means that the answer is stored.
	Finished State = "finished"
	// Released means that the request was not sent and will not be.
	Released State = "released"
)

// Answer is a stored answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Object is the key of the object that holds the whole answer, if it is
	// too large for the row.
	Object string `json:"object,omitempty"`
}

// Value is the value of a claim's row.
type Value struct {
	State       State     `json:"state"`
	Claim       string    `json:"claim"`
	Fingerprint string    `json:"fingerprint"`
	At          time.Time `json:"at"`
	Answer      *Answer   `json:"answer,omitempty"`
}

func decode(data []byte) (Value, error) {
	var v Value
	if err := json.Unmarshal(data, &v); err != nil {
		return Value{}, err
	}
	if v.State == Finished && v.Answer == nil {
		return Value{}, fmt.Errorf("finished claim %s has no answer", v.Claim)
	}
	return v, nil
}

// Verdict is the end of a claim.
type Verdict string

// The verdicts.
const (
	// Open means that there is no verdict yet.
	Open Verdict = ""
	// Run means that this process, and no other, may send the request.
	Run Verdict = "run"
	// Replay means that the request has run and its answer is stored.
	Replay Verdict = "replay"
	// KeyReused means that the key belongs to a request with another body.
	KeyReused Verdict = "keyReused"
	// InProgress means that the request may have run elsewhere.
	InProgress Verdict = "inProgress"
	// PlatformDown means that this process will not send the request.
	PlatformDown Verdict = "platformDown"
)

// Config describes one claim.
type Config struct {
	// Key is the key of the row, ID the unique id of the claim.
	Key, ID     string
	Fingerprint string
	// Wait is how long a claim of another process is waited for, Resolve how
	// long the platform may fail before the claim is given up.
	Wait, Resolve time.Duration
	// NoWait ends the claim as soon as another process is seen to hold it.
	NoWait bool
	// Poll is the first time between two reads of a row that another process
	// has claimed; it grows up to MaxPoll. Retry is the time after the first
	// failed call; it grows up to MaxRetry.
	Poll, MaxPoll, Retry, MaxRetry time.Duration
}

// Claim is the attempt of one process to run a request, and then the writing
// of its result.
type Claim struct {
	config   Config
	started  time.Time
	deadline time.Time
	verdict  Verdict
	answer   *Answer

	// exists and tag are the newest known state of the row. pending is the
	// tag that an unclear claiming write is conditional on: it may still
	// take effect while the row has this tag, or is absent for "".
	exists  bool
	tag     string
	unclear bool
	pending string
	// other says that another process may have sent the request.
	other bool
	// final is the value to be written after the verdict.
	final   *Value
	settled bool

	needRead     bool
	at           time.Time
	poll, retry  time.Duration
	failingSince time.Time
}

// New starts a claim at the time now.
func New(c Config, now time.Time) *Claim {
	return &Claim{config: c, started: now, deadline: now.Add(c.Wait), at: now, poll: c.Poll, retry: c.Retry}
}

// Verdict returns the verdict, or Open.
func (c *Claim) Verdict() Verdict { return c.verdict }

// Answer returns the stored answer of the verdict Replay.
func (c *Claim) Answer() *Answer { return c.answer }

// MustRelease reports whether the claim's row may exist, now or later,
// although this process will not send the request. The caller must call
// Release then.
func (c *Claim) MustRelease() bool {
	return c.verdict != Run && c.unclear
}

// Abandon ends a claim whose caller has gone. The result of the last write
// must have been told. It has no effect after the verdict.
func (c *Claim) Abandon() {
	if c.verdict == Open {
		c.verdict = PlatformDown
	}
}

// Finish starts the writing of the answer.
func (c *Claim) Finish(now time.Time, a Answer) {
	c.settle(now, Value{State: Finished, Answer: &a})
}

// Release starts the writing of the released state: the request was not sent.
func (c *Claim) Release(now time.Time) {
	c.settle(now, Value{State: Released})
}

func (c *Claim) settle(now time.Time, v Value) {
	if c.final != nil || c.verdict == Open {
		return
	}
	v.Claim, v.Fingerprint, v.At = c.config.ID, c.config.Fingerprint, c.started.UTC()
	c.final = &v
	// The write is conditional on what was last known. A conflict leads to a
	// read; otherwise writes are enough, and those are batched.
	c.needRead, c.at = false, now
}

// Settled reports whether the writing that Finish or Release started is done.
func (c *Claim) Settled() bool { return c.settled }

// Action is what the caller must do next: read the row and call Observe, carry
// out the write and call Result, or wait. It is zero when there is nothing to
// do.
type Action struct {
	Read  bool
	Write *galenalatch.Write
	Until time.Time
}

// Key returns the key of the claim's row.
func (c *Claim) Key() string { return c.config.Key }
