package process

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Run is the execution of one request.
type Run struct {
	// CloseWithoutResponse says that the handler must close the connection
	// without a response when the run is complete.
	CloseWithoutResponse bool
	// BreakAfter and BreakBytes truncate the response after that many tokens
	// or body bytes. 0 means that it is not truncated.
	BreakAfter int
	BreakBytes int

	process         *Process
	generation      *generation
	ctx             context.Context
	cancel          context.CancelFunc
	stopRestartHook func() bool
	ended           bool
}

// Accept counts an incoming request before its body is read and checks its
// fencing epoch. When it returns false, it has written the response or closed
// the connection.
func (p *Process) Accept(w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	p.mu.Lock()
	if !isCurrentConnection(r, p.current) {
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

// Begin starts the run of a request whose body has been read. A resumed request
// is not counted as another run. When Begin returns false, it has closed the
// connection. Otherwise the caller must call Complete or End.
func (p *Process) Begin(w http.ResponseWriter, r *http.Request, resumed bool) (*Run, bool) {
	id := r.Header.Get("X-Request-Id")
	p.mu.Lock()
	g := p.current
	if !isCurrentConnection(r, g) {
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
			p.stats.LastRunWhileLeavingMillis = time.Since(p.leavingSince).Milliseconds()
		}
	}
	g.running++
	p.stats.MaxRunning = max(p.stats.MaxRunning, g.running)
	if p.isColdLocked() {
		p.stats.MaxRunningCold = max(p.stats.MaxRunningCold, g.running)
		if g.running > p.settings.ColdLimit+g.completed {
			p.stats.ColdOverloads++
			if p.settings.CrashOnColdOverload {
				p.stats.ColdOverloadCrashes++
				old := p.replaceGenerationLocked(nil)
				p.mu.Unlock()
				old.shutDown()
				Abort(w)
				return nil, false
			}
		}
	}
	n := &Run{process: p, generation: g}
	if p.failures.CloseAfterRun > 0 {
		p.failures.CloseAfterRun--
		n.CloseWithoutResponse = true
	}
	if p.failures.BreakTimes > 0 {
		p.failures.BreakTimes--
		n.BreakAfter = p.failures.BreakAfter
		n.BreakBytes = p.failures.BreakBytes
	}
	p.recordLoadLocked()
	p.mu.Unlock()
	n.ctx, n.cancel = context.WithCancel(r.Context())
	n.stopRestartHook = context.AfterFunc(g.ctx, n.cancel)
	return n, true
}

func (p *Process) isColdLocked() bool {
	return p.settings.ColdLimit > 0 && p.current.completed < p.settings.ColdRequests
}

// Context returns a context that ends when the client disconnects, the process
// restarts or the run ends.
func (n *Run) Context() context.Context {
	return n.ctx
}

// AddWaiting changes the number of requests that wait for a slot by delta.
func (n *Run) AddWaiting(delta int) {
	n.process.mu.Lock()
	defer n.process.mu.Unlock()
	n.generation.waiting += delta
	n.process.recordLoadLocked()
}

// Complete ends a run whose whole response has been produced. It must be called
// before the last byte is written, so that the run no longer counts once the
// client has read the whole response.
func (n *Run) Complete() {
	n.finish(true)
}

// End ends a run without a complete response. It does nothing if the run has
// already ended.
func (n *Run) End() {
	n.finish(false)
}

func (n *Run) finish(complete bool) {
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
	n.stopRestartHook()
	n.cancel()
	p.recordLoadLocked()
}

// SimulateWork waits for the working time d, multiplied by Failures.Slow, and
// for the end of Failures.Hang. It returns the error of ctx if that ends first.
func (p *Process) SimulateWork(ctx context.Context, d time.Duration) error {
	for {
		p.mu.Lock()
		f, failuresChanged := p.failures, p.failuresChanged
		p.mu.Unlock()
		if !f.Hang {
			if f.Slow > 0 {
				d = time.Duration(float64(d) * f.Slow)
			}
			break
		}
		select {
		case <-failuresChanged:
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

// Cancel ends the context of the run.
func (n *Run) Cancel() {
	n.cancel()
}
