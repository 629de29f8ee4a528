package claim

import (
	"encoding/json"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Next returns what to do at the time now. It ends an undecided claim whose
// waiting time is over.
func (c *Claim) Next(now time.Time) Action {
	if c.decision == Undecided && !now.Before(c.deadline) {
		c.giveUp()
	}
	if c.decision != Undecided && (c.finalValue == nil || c.settled) {
		return Action{}
	}
	switch {
	case now.Before(c.nextCall):
		if c.decision == Undecided && c.deadline.Before(c.nextCall) {
			return Action{WaitUntil: c.deadline}
		}
		return Action{WaitUntil: c.nextCall}
	case c.needRead:
		return Action{Read: true}
	}
	v := Value{State: Claimed, Claim: c.config.ID, Fingerprint: c.config.Fingerprint, At: c.started.UTC()}
	if c.finalValue != nil {
		v = *c.finalValue
	}
	data, err := json.Marshal(v)
	if err != nil {
		// No field of a Value can make the encoding fail.
		c.settled = true
		return Action{}
	}
	return Action{Write: &galenalatch.Write{Key: c.config.Key, Value: data, IfTag: c.tag, IfAbsent: !c.exists}}
}

// giveUp ends an undecided claim.
func (c *Claim) giveUp() {
	c.decision = PlatformDown
	if c.mayRunElsewhere {
		c.decision = InProgress
	}
}

// WriteDone records the result of the write that Next returned.
func (c *Claim) WriteDone(now time.Time, row galenalatch.Row, err error) {
	if err == nil {
		c.callSucceeded()
		c.exists, c.tag = true, row.Tag
		c.unresolved = false
		if c.finalValue != nil {
			c.settled = true
			return
		}
		c.decision = Run
		return
	}
	switch galenalatch.KindOf(err) {
	case galenalatch.KindConflict:
		// The row was written by another process, or by an earlier write of
		// this one whose response was lost.
		c.mayRunElsewhere = c.finalValue == nil
		c.needRead, c.nextCall = true, now
	case galenalatch.KindPlatformDown:
		if c.finalValue == nil && !c.unresolved {
			c.giveUp()
			return
		}
		c.needRead = c.finalValue == nil
		c.callFailed(now)
	default:
		c.callFailed(now)
		if c.finalValue == nil {
			c.unresolved, c.pendingTag = true, c.tag
			c.needRead, c.nextCall = true, now
		}
	}
}

// callFailed records a failed call and gives up an undecided claim when
// calls have failed for too long. The final value is written again until
// that succeeds.
func (c *Claim) callFailed(now time.Time) {
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	if c.decision == Undecided && now.Sub(c.failingSince) >= c.config.Resolve {
		c.giveUp()
	}
	c.nextCall = now.Add(c.retryDelay)
	c.retryDelay = min(2*c.retryDelay, c.config.MaxRetry)
}

// callSucceeded records a call that did not fail.
func (c *Claim) callSucceeded() {
	c.failingSince, c.retryDelay = time.Time{}, c.config.Retry
}

// ReadDone records the result of a read of the row.
func (c *Claim) ReadDone(now time.Time, row galenalatch.Row, err error) {
	missing := galenalatch.KindOf(err) == galenalatch.KindNotFound
	if err != nil && !missing {
		c.callFailed(now)
		return
	}
	c.callSucceeded()
	c.exists, c.tag = !missing, row.Tag
	if missing {
		c.tag = ""
	}
	if c.tag != c.pendingTag {
		// A claiming write that is still under way can no longer take effect.
		c.unresolved = false
	}
	var v Value
	if !missing {
		if v, err = decode(row.Value); err != nil {
			v = Value{State: Claimed, Fingerprint: c.config.Fingerprint}
		}
	}
	own := !missing && v.Claim == c.config.ID
	if c.finalValue != nil {
		c.observeFinal(now, v, own)
		return
	}
	c.mayRunElsewhere = false
	switch {
	case missing, v.State == Released && v.Fingerprint == c.config.Fingerprint:
		c.needRead, c.nextCall = false, now
	case own && v.State == Claimed:
		c.decision = Run
	case v.Fingerprint != c.config.Fingerprint:
		c.decision = KeyReused
	case v.State == Finished:
		c.decision, c.answer = Replay, v.Answer
	case c.config.NoWait:
		c.decision = InProgress
	default:
		c.mayRunElsewhere = true
		c.nextCall = now.Add(c.pollDelay)
		c.pollDelay = min(c.pollDelay*3/2, c.config.MaxPoll)
	}
}

// observeFinal decides whether the final value must be written again.
func (c *Claim) observeFinal(now time.Time, v Value, own bool) {
	switch {
	case own && v.State == c.finalValue.State:
		c.settled = true
	case own && v.State == Claimed:
		c.needRead, c.nextCall = false, now
	default:
		// The row belongs to another claim, or was removed. The write of the
		// final value failed because the tag had changed, so a claiming write
		// that is still under way will fail too.
		c.settled = true
	}
}
