package process

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Run is one request that the process has admitted.
type Run struct {
	// CloseAfter says that the connection is to be closed without an
	// answer when the run is complete.
	CloseAfter bool
	// BreakAfter and BreakBytes cut the answer after so many tokens or
	// bytes. 0 means that it is not cut.
	BreakAfter int
	BreakBytes int

	process    *Process
	generation *generation
	ctx        context.Context
	cancel     context.CancelFunc
	release    func() bool
	ended      bool
}

// Accept counts an incoming request before its body is read. When it returns
// false, the request has been dealt with.
func (p *Process) Accept(w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	p.mu.Lock()
	if !alive(r, p.current) {
		p.mu.Unlock()
		Abort(w)
		return false
	}
	p.stats.Received[id]++
	if p.failures.CloseBeforeRead > 0 {
		p.failures.CloseBeforeRead--
		p.mu.Unlock()
		Abort(w)
		return false
	}
	stale := false
	if p.settings.ChecksFencing {
		epoch, err := strconv.ParseUint(r.Header.Get("X-Fencing-Epoch"), 10, 64)
		stale = err != nil || epoch < p.current.epoch
		p.current.epoch = max(epoch, p.current.epoch)
	}
	if stale {
		p.stats.Fenced++
	}
	p.mu.Unlock()
	if stale {
		http.Error(w, `{"error":{"message":"older fencing epoch"}}`, http.StatusPreconditionFailed)
		return false
	}
	return true
}

// Begin admits a request whose body has been read. A resumed request is not
// counted as another run. When Begin returns false, the connection is broken.
func (p *Process) Begin(w http.ResponseWriter, r *http.Request, resumed bool) (*Run, bool) {
	id := r.Header.Get("X-Request-Id")
	p.mu.Lock()
	g := p.current
	if !alive(r, g) {
		p.mu.Unlock()
		Abort(w)
		return nil, false
	}
	if resumed {
		p.stats.Resumes++
	} else {
		p.stats.Runs[id]++
		p.stats.RunBoots[id] = append(p.stats.RunBoots[id], g.boot())
		if k := r.Header.Get("Idempotency-Key"); k != "" {
			p.stats.Keys[k]++
		}
		if p.failures.Leaving {
			p.stats.RunsWhileLeaving++
			p.stats.LastRunWhileLeavingMillis = time.Since(p.leavesAt).Milliseconds()
		}
	}
	g.running++
	p.stats.MaxRunning = max(p.stats.MaxRunning, g.running)
	if p.coldLocked() {
		p.stats.MaxRunningCold = max(p.stats.MaxRunningCold, g.running)
		if g.running > p.settings.ColdLimit+g.completed {
			p.stats.Overruns++
			if p.settings.FallOver {
				p.stats.FallOvers++
				old := p.restart(nil)
				p.mu.Unlock()
				old.end()
				Abort(w)
				return nil, false
			}
		}
	}
	n := &Run{process: p, generation: g}
	if p.failures.CloseAfterRun > 0 {
		p.failures.CloseAfterRun--
		n.CloseAfter = true
	}
	if p.failures.BreakTimes > 0 {
		p.failures.BreakTimes--
		n.BreakAfter = p.failures.BreakAfter
		n.BreakBytes = p.failures.BreakBytes
	}
	p.sampleLocked()
	p.mu.Unlock()
	n.ctx, n.cancel = context.WithCancel(r.Context())
	n.release = context.AfterFunc(g.ctx, n.cancel)
	return n, true
}

func (p *Process) coldLocked() bool {
	return p.settings.ColdLimit > 0 && p.current.completed < p.settings.ColdRequests
}

// Context ends when the client goes away or the process restarts.
func (n *Run) Context() context.Context {
	return n.ctx
}

// Waiting changes the number of admitted requests without a slot.
func (n *Run) Waiting(delta int) {
	n.process.mu.Lock()
	defer n.process.mu.Unlock()
	n.generation.waiting += delta
	n.process.sampleLocked()
}

// Complete ends a run that has its whole answer. It is called before the last
// byte is written, so that a client that has read the whole answer finds the
// slot free.
func (n *Run) Complete() {
	n.end(true)
}

// End ends a run that is not complete. It does nothing after Complete.
func (n *Run) End() {
	n.end(false)
}

func (n *Run) end(complete bool) {
	p := n.process
	p.mu.Lock()
	defer p.mu.Unlock()
	if n.ended {
		return
	}
	n.ended = true
	n.generation.running--
	switch {
	case complete:
		n.generation.completed++
		p.stats.Completed++
	case n.ctx.Err() != nil && n.generation == p.current:
		p.stats.Cancels++
	}
	n.release()
	n.cancel()
	p.sampleLocked()
}

// Wait lets the server work for d, longer when it is slow, and without end
// while it hangs.
func (p *Process) Wait(ctx context.Context, d time.Duration) error {
	for {
		p.mu.Lock()
		f, changed := p.failures, p.changed
		p.mu.Unlock()
		if !f.Hang {
			if f.Slow > 0 {
				d = time.Duration(float64(d) * f.Slow)
			}
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop makes the run's context end.
func (n *Run) Stop() {
	n.cancel()
}
