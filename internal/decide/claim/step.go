package claim

import (
	"encoding/json"
	"time"

	"github.com/galenalatch/galenalatch"
)

// Next returns what to do at the time now.
func (c *Claim) Next(now time.Time) Action {
	if c.verdict == Open && !now.Before(c.deadline) {
		c.giveUp()
	}
	if c.verdict != Open && (c.final == nil || c.settled) {
		return Action{}
	}
	switch {
	case now.Before(c.at):
		if c.verdict == Open && c.deadline.Before(c.at) {
			return Action{Until: c.deadline}
		}
		return Action{Until: c.at}
	case c.needRead:
		return Action{Read: true}
	}
	v := Value{State: Claimed, Claim: c.config.ID, Fingerprint: c.config.Fingerprint, At: c.started.UTC()}
	if c.final != nil {
		v = *c.final
	}
	data, err := json.Marshal(v)
	if err != nil {
		// No field of the value can cause an error.
		c.settled = true
		return Action{}
	}
	return Action{Write: &galenalatch.Write{Key: c.config.Key, Value: data, IfTag: c.tag, IfAbsent: !c.exists}}
}

// giveUp ends a claim that could not be decided.
func (c *Claim) giveUp() {
	c.verdict = PlatformDown
	if c.other {
		c.verdict = InProgress
	}
}

// Result tells the result of the write that Next returned.
func (c *Claim) Result(now time.Time, row galenalatch.Row, err error) {
	if err == nil {
		c.worked()
		c.exists, c.tag = true, row.Tag
		c.unclear = false
		if c.final != nil {
			c.settled = true
			return
		}
		c.verdict = Run
		return
	}
	switch galenalatch.KindOf(err) {
	case galenalatch.KindConflict:
		// There is a row, of another process or from an earlier write of
		// this one whose response was lost.
		c.other = c.final == nil
		c.needRead, c.at = true, now
	case galenalatch.KindPlatformDown:
		if c.final == nil && !c.unclear {
			c.giveUp()
			return
		}
		c.needRead = c.final == nil
		c.failed(now)
	default:
		c.failed(now)
		if c.final == nil {
			c.unclear, c.pending = true, c.tag
			c.needRead, c.at = true, now
		}
	}
}

// failed notes a failed call and gives up when calls have failed for too
// long. The writing of a result goes on.
func (c *Claim) failed(now time.Time) {
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	if c.verdict == Open && now.Sub(c.failingSince) >= c.config.Resolve {
		c.giveUp()
	}
	c.at = now.Add(c.retry)
	c.retry = min(2*c.retry, c.config.MaxRetry)
}

// worked notes a call that did not fail.
func (c *Claim) worked() {
	c.failingSince, c.retry = time.Time{}, c.config.Retry
}

// Observe tells the result of a read of the row.
func (c *Claim) Observe(now time.Time, row galenalatch.Row, err error) {
	missing := galenalatch.KindOf(err) == galenalatch.KindNotFound
	if err != nil && !missing {
		c.failed(now)
		return
	}
	c.worked()
	c.exists, c.tag = !missing, row.Tag
	if missing {
		c.tag = ""
	}
	if c.tag != c.pending {
		// A claiming write that is still on its way has no effect any more.
		c.unclear = false
	}
	var v Value
	if !missing {
		if v, err = decode(row.Value); err != nil {
			v = Value{State: Claimed, Fingerprint: c.config.Fingerprint}
		}
	}
	mine := !missing && v.Claim == c.config.ID
	if c.final != nil {
		c.observeFinal(now, v, mine)
		return
	}
	c.other = false
	switch {
	case missing, v.State == Released && v.Fingerprint == c.config.Fingerprint:
		c.needRead, c.at = false, now
	case mine && v.State == Claimed:
		c.verdict = Run
	case v.Fingerprint != c.config.Fingerprint:
		c.verdict = KeyReused
	case v.State == Finished:
		c.verdict, c.answer = Replay, v.Answer
	case c.config.NoWait:
		c.verdict = InProgress
	default:
		c.other = true
		c.at = now.Add(c.poll)
		c.poll = min(c.poll*3/2, c.config.MaxPoll)
	}
}

// observeFinal decides how the writing of the result goes on.
func (c *Claim) observeFinal(now time.Time, v Value, mine bool) {
	switch {
	case mine && v.State == c.final.State:
		c.settled = true
	case mine && v.State == Claimed:
		c.needRead, c.at = false, now
	default:
		// The row belongs to another claim, or was removed. The write that
		// met it has failed because its tag has changed, so a claiming write
		// that is still on its way will fail too.
		c.settled = true
	}
}
