// Package host forwards the requests of callers to backend servers. Routes, which
// operators configure, select the service by host and path prefix.
//
// The response to a request is the complete response of a backend server, a
// refusal, which guarantees that the request has not run, or a gateway error,
// after which the request may have run. A response that breaks off after its
// head was sent ends with a closed connection. A request that must not be
// repeated is not sent to another backend server once one may have started to
// run it.
package host

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/exchange"
	"github.com/galenalatch/galenalatch/internal/decide/budget"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/decide/quarantine"
	"github.com/galenalatch/galenalatch/internal/decide/share"
	"github.com/galenalatch/galenalatch/internal/fleet/assignment"
	"github.com/galenalatch/galenalatch/internal/fleet/rollout"
	"github.com/galenalatch/galenalatch/internal/fleet/view"
)

// Options configure a Handler. All pointer, interface and function fields but
// Rollouts and Assignments are required.
type Options struct {
	View    *view.View
	Table   *placement.Table
	Client  *exchange.Client
	Headers galenalatch.Headers
	Reports galenalatch.RunReports
	Events  Events
	// MaxProofAge is the time since the store last confirmed the configuration
	// as the newest one, above which requests with keys are refused.
	MaxProofAge time.Duration
	// MaxDenialAge is the same time above which an unknown route or key is no
	// reason to deny a request for good: a newer configuration may hold it.
	MaxDenialAge time.Duration
	// PassLimit is the time within which an event of a stream must be
	// forwarded. With 0, events are never batched.
	PassLimit time.Duration
	// NewBudget returns the retry budget for one service.
	NewBudget func() *budget.Budget
	// FixedRetries returns the number of retries in a window that this router
	// may use regardless of the number of requests. It depends on the current
	// list of routers.
	FixedRetries func() float64
	// Admit decides whether a request is admitted. It also returns what the
	// workspace has of its shares.
	Admit func(now time.Time, r AdmissionRequest) (share.Fractions, bool)
	// Ledger counts the tokens that workspaces request and that are started
	// for them.
	Ledger *share.Ledger
	// Quarantine holds the prompt parts that crash servers.
	Quarantine *quarantine.List
	// Rollouts restricts the versions of the servers; nil restricts nothing.
	Rollouts *rollout.Controller
	// Assignments ties streams to the version that began them; nil ties none.
	Assignments *assignment.Controller
}

// AdmissionRequest holds the inputs of the admission decision for a request.
type AdmissionRequest struct {
	Workspace galenalatch.WorkspaceName
	Route     *galenalatch.HostRoute
	// TokenRate is the throughput of all engines in tokens per second.
	TokenRate float64
	// TimeLimit is the time from the arrival after which the caller does not
	// wait any longer.
	TimeLimit time.Duration
	// Waited is the time since the request arrived, Wait the predicted time
	// from now to the first token, Prefill the part of Wait for the prefill of the
	// request itself, Queue the part for those before it, Overhead the part that is not
	// spent waiting for an engine.
	Waited   time.Duration
	Wait     time.Duration
	Prefill  time.Duration
	Queue    time.Duration
	Overhead time.Duration
	// Spare is as in placement.Reservation.
	Spare bool
	// Resumed is set for a stream that has begun before.
	Resumed bool
}

// Events receives the decisions about requests. Its methods must not block.
//
// Placed is called when a server was chosen and the request admitted, Attempted
// after each attempt. Its status is 0 if the attempt succeeded or no response was
// received. Refused is called when a request is refused; it has not run. Ended is
// called when any other request ends, with the final status, or 0 if the
// connection of the caller was closed. Panicked is called instead when a defect of the
// router ended it.
//
// LimitChanged is called when a server names another limit than before, or none any
// more, and LimitInvalid when it names a value that cannot be used. LoadInvalid is called
// when a server begins to tell a load with wrong figures.
//
// LeavingAnnounced is called when a server has said in an answer that it leaves, and
// PauseRequested when it has asked for a pause, with the time that this router waits.
type Events interface {
	Placed(r galenalatch.RequestID, d Decision)
	Attempted(r galenalatch.RequestID, d Decision, status int, err error)
	Refused(r galenalatch.RequestID, d Decision, err error)
	Ended(r galenalatch.RequestID, d Decision, status int, err error)
	Panicked(r galenalatch.RequestID, d Decision, err error)
	LimitChanged(s galenalatch.ServerID, named bool, rate float64)
	LimitInvalid(s galenalatch.ServerID, value string)
	LoadInvalid(s galenalatch.ServerID, value string)
	LeavingAnnounced(s galenalatch.ServerID)
	PauseRequested(s galenalatch.ServerID, asked, wait time.Duration)
}

// Decision holds the state on which the decisions about a request are based.
// Configuration is the version of the configuration. Cold is set when the server
// is cold. Fields that are not known yet are zero.
type Decision struct {
	Route     string
	Workspace galenalatch.WorkspaceName
	Service   string
	Server    galenalatch.ServerID
	// Version is the version that a stream is tied to; empty if none is. Resumes is the id
	// of the stream that the request resumes; empty if it resumes none.
	Version       string
	Resumes       galenalatch.RequestID
	Configuration uint64
	// ProofAge is the time since the configuration was last known to be the
	// newest one.
	ProofAge time.Duration
	// Wait is the predicted time to the first token, Prefill the part of it for
	// the prefill of the request itself, Queue the part for those before it, Overhead
	// the part that is not spent waiting for an engine, Cached the number of prompt tokens that are expected
	// in the cache of the server, Home the rank of the server among the homes of the
	// prompt, starting at 1, or 0.
	Wait     time.Duration
	Prefill  time.Duration
	Queue    time.Duration
	Overhead time.Duration
	Cached   int
	Home     int
	// Slowdown is how much longer than usual work was expected to take on the
	// server, and WordAge the time since a router has heard of its speed, or 0 if
	// none has.
	Slowdown float64
	WordAge  time.Duration
	// Tokens is the cost of a stream: its prompt tokens plus twice its output
	// tokens.
	Tokens float64
	// Fractions are what the workspace has of its shares.
	Fractions share.Fractions
	// Attempt is the number of the attempt, starting at 1. Waited is the time
	// from the arrival of the request to the choice of the server. FirstByte
	// is the time from the arrival to the first bytes of a stream or to the
	// end of a buffered response.
	Attempt   int
	Waited    time.Duration
	FirstByte time.Duration
	Cold      bool
	// Interruption describes how the last attempt broke off.
	Interruption Interruption
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	Options
	draining atomic.Bool
	// openStreams is the number of streams that are being forwarded.
	openStreams atomic.Int64

	mu      sync.Mutex
	budgets map[string]*budget.Budget
}

// New returns a handler with the given options.
func New(o Options) *Handler {
	return &Handler{Options: o, budgets: make(map[string]*budget.Budget)}
}

// Drain makes the responses to all further requests close their connections.
func (h *Handler) Drain() {
	h.draining.Store(true)
}

// Streams returns the number of streams that are being forwarded.
func (h *Handler) Streams() int { return int(h.openStreams.Load()) }

// withBudget calls f with the retry budget of a service, under the lock of h.
func (h *Handler) withBudget(service string, f func(*budget.Budget) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.budgets[service]
	if !ok {
		b = h.NewBudget()
		h.budgets[service] = b
	}
	b.Fixed = h.FixedRetries()
	return f(b)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	t := &transaction{h: h, w: w, r: r, arrival: time.Now(), path: rawPath(r)}
	defer t.recoverPanic()
	defer t.endStream()
	if err := t.accept(); err != nil {
		t.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), t.arrival.Add(t.timeLimit), errTimeLimit)
	defer cancel()
	t.run(ctx)
}

// errTimeLimit is the cause of a context that ends at the caller's deadline or
// the timeout of the route.
var errTimeLimit = errors.New("the time limit of the request has passed")

// rawPath returns the path of the request target without decoding it.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return r.URL.EscapedPath()
	}
	return path
}
