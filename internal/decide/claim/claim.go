// Package claim decides whether a request that may run at most once is run,
// is answered from the stored answer, or is rejected. It does no I/O: the
// caller passes in times, rows and ids.
//
// A claim is a row of the platform's table that is written before the
// request is sent. Only the process that wrote a claimed row changes it
// again.
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

// The states of a claim's row.
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
	// Object is the key of the object that holds the whole answer. It is
	// empty if the answer fits into the row.
	Object string `json:"object,omitempty"`
}

// Value is the stored value of a claim's row. Answer is nil unless State is
// Finished.
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

// Decision says how a claimed request continues.
type Decision string

// The decisions on a claim.
const (
	// Undecided means that there is no decision yet.
	Undecided Decision = ""
	// Run means that this process may send the request, and no other process
	// may.
	Run Decision = "run"
	// Replay means that the request has run and its answer is stored.
	Replay Decision = "replay"
	// KeyReused means that the key belongs to a request with another body.
	KeyReused Decision = "keyReused"
	// InProgress means that another process may have sent the request and
	// that its answer is not known.
	InProgress Decision = "inProgress"
	// PlatformDown means that the claim was given up or abandoned. This
	// process will not send the request.
	PlatformDown Decision = "platformDown"
)

// Config describes one claim.
type Config struct {
	// Key is the key of the row, ID the unique id of the claim. Fingerprint
	// tells requests with the same key but another body apart.
	Key, ID     string
	Fingerprint string
	// Wait is the time after which an undecided claim is given up, also while
	// another process holds the row. Resolve is how long calls to the
	// platform may fail before the claim is given up.
	Wait, Resolve time.Duration
	// NoWait ends the claim with InProgress as soon as the row is found to be
	// claimed by another process.
	NoWait bool
	// Poll is the first interval between reads of a row that another process
	// has claimed; it grows up to MaxPoll. Retry is the delay after the first
	// failed call; it grows up to MaxRetry.
	Poll, MaxPoll, Retry, MaxRetry time.Duration
}

// Claim is the attempt of one process to run a request and, after the
// decision, to write the result. It must not be used concurrently.
type Claim struct {
	config   Config
	started  time.Time
	deadline time.Time
	decision Decision
	answer   *Answer

	// exists and tag are the last known state of the row. unresolved is set
	// while the outcome of a claiming write is unknown. pendingTag is the tag
	// that this write is conditional on: it may still take effect while the
	// row has this tag, or is absent for "".
	exists     bool
	tag        string
	unresolved bool
	pendingTag string
	// mayRunElsewhere is set when another process may have sent the request.
	mayRunElsewhere bool
	// finalValue is the value to write after the decision.
	finalValue *Value
	settled    bool

	needRead              bool
	nextCall              time.Time
	pollDelay, retryDelay time.Duration
	failingSince          time.Time
}

// New starts a claim at the time now.
func New(c Config, now time.Time) *Claim {
	return &Claim{config: c, started: now, deadline: now.Add(c.Wait), nextCall: now, pollDelay: c.Poll, retryDelay: c.Retry}
}

// Decision returns the decision, or Undecided if there is none yet.
func (c *Claim) Decision() Decision { return c.decision }

// Answer returns the stored answer if the decision is Replay, and nil
// otherwise.
func (c *Claim) Answer() *Answer { return c.answer }

// MustRelease reports whether the claim's row may exist, now or later,
// although this process will not send the request. The caller must then call
// Release.
func (c *Claim) MustRelease() bool {
	return c.decision != Run && c.unresolved
}

// Abandon ends a claim whose caller has disconnected. The result of the last
// write must have been passed to WriteDone. It has no effect after the
// decision.
func (c *Claim) Abandon() {
	if c.decision == Undecided {
		c.decision = PlatformDown
	}
}

// Finish starts to write the answer. It has no effect before the decision or
// after another call of Finish or Release.
func (c *Claim) Finish(now time.Time, a Answer) {
	c.settle(now, Value{State: Finished, Answer: &a})
}

// Release starts to write the released state, which means that the request
// was not sent. It has no effect before the decision or after another call of
// Finish or Release.
func (c *Claim) Release(now time.Time) {
	c.settle(now, Value{State: Released})
}

func (c *Claim) settle(now time.Time, v Value) {
	if c.finalValue != nil || c.decision == Undecided {
		return
	}
	v.Claim, v.Fingerprint, v.At = c.config.ID, c.config.Fingerprint, c.started.UTC()
	c.finalValue = &v
	// The write is conditional on the last known state. A conflict leads to a
	// read; without one, writes are enough, and those are batched.
	c.needRead, c.nextCall = false, now
}

// Settled reports whether the write that Finish or Release started is done.
func (c *Claim) Settled() bool { return c.settled }

// Action is what the caller must do next: read the row and call ReadDone,
// carry out the write and call WriteDone, or wait until the given time. It is
// zero when there is nothing to do.
type Action struct {
	Read      bool
	Write     *galenalatch.Write
	WaitUntil time.Time
}

// Key returns the key of the claim's row.
func (c *Claim) Key() string { return c.config.Key }
