package host

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/caller/ingress"
	"github.com/galenalatch/galenalatch/internal/decide/budget"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/assignment"
	"github.com/galenalatch/galenalatch/internal/fleet/rollout"
)

// maxConnectFailures bounds the servers to which one request fails to connect.
const maxConnectFailures = 3

// maxOnceIdleAge is the longest idle time of a connection that carries a request
// which must not be repeated: the server may already have closed an older one.
const maxOnceIdleAge = 2 * time.Second

// transaction is the handling of one request of a caller, over all attempts.
type transaction struct {
	h         *Handler
	w         http.ResponseWriter
	r         *http.Request
	arrival   time.Time
	path      string
	call      galenalatch.Call
	timeLimit time.Duration
	// account is what the request holds of the memory for callers.
	account ingress.Account
	// body is the body of the request in pieces. It is kept in firstPiece if it has one
	// piece.
	body       [][]byte
	firstPiece [1][]byte

	configuration *galenalatch.Configuration
	route         *galenalatch.HostRoute
	decision      Decision
	// tried are the servers that were chosen for the request. attempts is the
	// number of them to which the request was sent, connectFailures the number
	// of those to which no connection could be opened.
	tried           []galenalatch.ServerID
	attempts        int
	connectFailures int
	// mayHaveRun is set when a server may have started to run the request.
	mayHaveRun bool
	// failedResponse is a buffered server error (5xx). The caller receives it
	// when no other attempt succeeds.
	failedResponse *bufferedResponse
	// lastEventID is the id of the last event that was sent to the caller.
	lastEventID string
	// begun is set when the head of the answer of the last attempt was received.
	begun bool
	// trial is set when the request is sent although a part of its prompt is held.
	trial bool
	// headSent is set once the head of a response was sent to the caller.
	headSent bool
	// startedAt is when the tokens of the request were counted as started. It is zero
	// for requests that have none.
	startedAt time.Time
	// returnAfter is the time after which the caller of a refused request may retry.
	returnAfter time.Duration
	// reservation is the place at a server that the request holds, if any.
	reservation *placement.Reservation
	// stream ties the attempts to one version, if any does. streamComplete is set once the
	// caller was sent the whole stream.
	stream         *assignment.Stream
	streamComplete bool
	// choice restricts the versions of the servers of the attempt, and answer is what
	// is known of its answer.
	choice rollout.Choice
	answer answer
}

// hashID returns a hash that is the same on all routers.
func hashID(id galenalatch.RequestID) uint64 {
	return xxhash.Sum64String(string(id))
}

// run sends the request to one server after the other until an attempt succeeds
// or no retry is allowed, and then sends the final response.
func (t *transaction) run(ctx context.Context) {
	for {
		reservation, err := t.chooseServer(ctx)
		if err == nil {
			err = t.attempt(ctx, reservation)
			t.recordResult(ctx, reservation, err)
			if err == nil {
				return
			}
		}
		if !t.shouldRetry(ctx, err) || !t.awaitRunEnd(ctx, reservation, err) {
			t.takeBackTokens()
			t.finish(ctx, err)
			return
		}
	}
}

// chooseServer makes a reservation on a server under the newest configuration,
// and refuses the request if there is none, the caller has disconnected or
// admission fails.
func (t *transaction) chooseServer(ctx context.Context) (*placement.Reservation, error) {
	if err := ctx.Err(); err != nil {
		return nil, galenalatch.KindWaitTimeout.Errorf("%w", context.Cause(ctx))
	}
	if ingress.CallerDisconnected(t.r.Context()) {
		return nil, galenalatch.KindCallerClosed.Errorf("the caller closed its connection %s after its request was read", time.Since(t.arrival).Round(time.Millisecond))
	}
	if len(t.tried) > 0 {
		// The configuration may have changed since the first attempt.
		if err := t.match(); err != nil {
			return nil, err
		}
	}
	if err := t.checkMemory(); err != nil {
		return nil, err
	}
	now := time.Now()
	p, err := t.reserve(ctx, now)
	t.decision.Waited = now.Sub(t.arrival)
	if err != nil {
		return nil, err
	}
	t.reservation = p
	t.decision.Server, t.decision.Wait, t.decision.Prefill, t.decision.Queue, t.decision.Overhead = p.Server, p.Wait, p.Prefill, p.Queue, p.Overhead
	t.decision.Cached, t.decision.Home, t.decision.Cold = p.Cached, p.Home, p.Cold
	t.decision.Slowdown, t.decision.WordAge = p.Slowdown, p.WordAge
	request := AdmissionRequest{
		Workspace: t.decision.Workspace, Route: t.route, TokenRate: t.configuration.Limits.TokenRate,
		TimeLimit: t.timeLimit, Waited: t.decision.Waited, Wait: p.Wait, Prefill: p.Prefill, Queue: p.Queue,
		Overhead: p.Overhead, Spare: p.Spare, Resumed: t.stream != nil && t.call.Resumes(),
	}
	if len(t.tried) == 0 {
		fractions, ok := t.h.Admit(now, request)
		t.decision.Fractions = fractions
		if !ok {
			t.release(now, placement.Unsent)
			t.choice.End(rollout.Answer{Void: true})
			return nil, galenalatch.KindQueueFull.Errorf("the first token is predicted after %s", p.Wait.Round(time.Millisecond))
		}
	}
	if t.route.Kind == galenalatch.StreamWork && len(t.tried) == 0 {
		t.startedAt = now
		t.h.Ledger.Add(now, t.decision.Workspace, share.Usage{Started: t.decision.Tokens})
	}
	t.decision.Attempt = t.attempts + 1
	t.h.Events.Placed(t.call.ID, t.decision)
	return p, nil
}

// noServer returns the error of a request that no server can take now. If all servers
// have asked for a pause, the caller is asked to return after the first of them ends.
func (t *transaction) noServer(now time.Time) error {
	a := t.h.Table.ServiceAvailability(now, t.decision.Service)
	if a.Reason == placement.PauseRequested || a.Reason == placement.Returning {
		t.returnAfter = max(a.Until.Sub(now), retryAfter)
	}
	return galenalatch.KindServerUnreachable.Errorf("no server of service %s can take the request: %s", t.decision.Service, a.Reason)
}

// takeBackTokens undoes the count of started tokens if no server began the request.
func (t *transaction) takeBackTokens() {
	if t.startedAt.IsZero() || t.mayHaveRun {
		return
	}
	t.h.Ledger.TakeBack(time.Now(), t.startedAt, t.decision.Workspace, t.decision.Tokens)
	t.startedAt = time.Time{}
}

// release ends the reservation of the request.
func (t *transaction) release(now time.Time, r placement.Result) {
	t.h.Table.Release(now, t.reservation, r)
	t.reservation = nil
}

// recordResult records the result of an attempt in the table and in the log.
func (t *transaction) recordResult(ctx context.Context, p *placement.Reservation, err error) {
	result, status := placement.Served, 0
	defer t.recordAnswer(p, err)
	var failed *responseError
	var unsent *exchange.NotSentError
	switch {
	case err == nil:
	case errors.As(err, &unsent) && unsent.Checked:
		result = placement.Unsent
	case errors.As(err, &unsent):
		result = placement.Unreachable
	case errors.As(err, &failed) && failed.misdirected:
		result, status = placement.Misdirected, failed.status
	case errors.As(err, &failed) && failed.notRun:
		result, status = placement.Shed, failed.status
	case errors.As(err, &failed):
		result, status = placement.Failed, failed.status
	case t.r.Context().Err() != nil || errors.Is(err, errTimeLimit):
		result = placement.Cancelled
	default:
		result = placement.Broken
		t.recordInterruption(ctx, p)
	}
	t.release(time.Now(), result)
	t.h.Events.Attempted(t.call.ID, t.decision, status, err)
}

// shouldRetry reports whether the request is sent to another server. It takes a
// retry from the budget, unless the last attempt was not sent.
func (t *transaction) shouldRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || t.headSent && !t.route.Resumable || t.decision.Interruption.suspicious() {
		return false
	}
	var unsent *exchange.NotSentError
	if errors.As(err, &unsent) {
		return t.connectFailures < maxConnectFailures && galenalatch.KindOf(err) != galenalatch.KindPromptHeld
	}
	var failed *responseError
	var refused *galenalatch.Error
	switch {
	case errors.As(err, &refused):
		return false
	case errors.As(err, &failed) && failed.notRun:
	case t.route.Repeatable():
	default:
		return false
	}
	if t.attempts >= t.route.MaxAttempts {
		return false
	}
	return t.h.withBudget(t.decision.Service, func(b *budget.Budget) bool { return b.TakeRetry(time.Now()) })
}

// send sends the request to one server and returns the response once its head
// was received.
func (t *transaction) send(ctx context.Context, p *placement.Reservation) (*exchange.Response, error) {
	t.tried = append(t.tried, p.Server)
	t.begun, t.decision.Interruption = false, Interruption{}
	last := t.lastEventID
	if last == "" {
		last = t.call.LastEvent
	}
	r := &exchange.Request{
		ID: t.call.ID, Server: p.Server, Address: p.Address,
		Method: t.r.Method, URI: t.r.RequestURI, Host: t.r.Host, Body: t.body,
		Header: t.h.Headers.ForwardRequest(t.r.Header, galenalatch.Forwarding{
			Server: p.Server, Workspace: t.decision.Workspace, LastEvent: last,
			Remaining: t.timeLimit - time.Since(t.arrival),
		}),
		Check: func() error { return t.checkBeforeSend(p) },
	}
	if !t.route.Repeatable() {
		r.MaxIdleAge = maxOnceIdleAge
	}
	a, err := t.h.Client.Send(ctx, r)
	var unsent *exchange.NotSentError
	if errors.As(err, &unsent) {
		t.connectFailures++
		return nil, err
	}
	t.attempts++
	if err != nil {
		t.mayHaveRun = true
		return nil, err
	}
	t.recordSignals(p, a.Head)
	t.answer.status = a.Status
	if !a.Head.NotRun {
		t.mayHaveRun, t.begun = true, true
	}
	return a, nil
}

// checkBeforeSend returns an error if the request must not be sent to the server
// any more. The choice of the server may be old, since a connection was opened and
// the goroutine waited for the processor.
func (t *transaction) checkBeforeSend(p *placement.Reservation) error {
	if r := t.h.Table.CheckReservation(time.Now(), p); r != placement.Available {
		return fmt.Errorf("the backend server takes no requests any more: %s", r)
	}
	if ingress.CallerDisconnected(t.r.Context()) {
		return errors.New("the caller closed its connection")
	}
	if err := t.checkPrompt(); err != nil {
		return err
	}
	return t.choice.Send(p.Version)
}
