package host

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/caller/ingress"
	"github.com/galenalatch/galenalatch/internal/decide/budget"
	"github.com/galenalatch/galenalatch/internal/decide/share"
)

// defaultTimeLimit applies to requests without a deadline on routes without a
// timeout.
const defaultTimeLimit = time.Minute

// timeLimit returns the time within which a request must be answered, from the deadline
// of its caller and the timeout of its route, of which either may be 0.
func timeLimit(deadline, timeout time.Duration) time.Duration {
	switch {
	case deadline <= 0 && timeout <= 0:
		return defaultTimeLimit
	case deadline <= 0:
		return timeout
	case timeout <= 0:
		return deadline
	}
	return min(deadline, timeout)
}

// accept checks the request, finds its route and reads its body.
func (t *transaction) accept() error {
	t.account = ingress.AccountOf(t.r.Context())
	call, err := t.h.Headers.Call(t.r.Header)
	if err != nil {
		return err
	}
	t.call = call
	if err := t.match(); err != nil {
		return err
	}
	if err := t.checkPrompt(); err != nil {
		return err
	}
	t.h.withBudget(t.decision.Service, func(b *budget.Budget) bool { b.CountRequest(t.arrival); return true })
	t.timeLimit = timeLimit(t.call.Deadline, t.route.Timeout)
	if t.route.Kind == galenalatch.StreamWork {
		t.decision.Tokens = tokenCost(t.call)
		t.h.Ledger.Add(t.arrival, t.decision.Workspace, share.Usage{Requested: t.decision.Tokens})
	}
	return t.readBody()
}

func (t *transaction) readBody() error {
	if t.r.Body == nil || t.r.Body == http.NoBody {
		return nil
	}
	body := io.Reader(t.r.Body)
	if limit := t.configuration.Limits.BodyBytes; limit > 0 {
		if t.r.ContentLength > limit {
			return galenalatch.KindTooLarge.Errorf("body of %d bytes; allowed: %d", t.r.ContentLength, limit)
		}
		body = http.MaxBytesReader(t.w, t.r.Body, limit)
	}
	read, err := t.readPieces(body)
	if err != nil {
		return t.bodyError(err)
	}
	t.body = read
	return t.account.EndBody()
}

// bodyError returns the error of a request whose body could not be read.
func (t *transaction) bodyError(err error) error {
	if given := t.account.Err(); given != nil {
		return given
	}
	var refused *galenalatch.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &refused):
		return err
	case errors.As(err, &tooLarge):
		return galenalatch.KindTooLarge.Errorf("body of more than %d bytes", tooLarge.Limit)
	}
	return galenalatch.KindCallerClosed.Errorf("body: %w", err)
}

// match finds the route, the workspace and the service of the request in the
// newest configuration.
func (t *transaction) match() error {
	c := t.h.View.Configuration()
	if c == nil {
		return galenalatch.KindCatalogueStale.Errorf("no configuration was read yet")
	}
	t.configuration = c
	t.decision.Configuration = c.Version
	age, _ := t.h.View.Age()
	t.decision.ProofAge = age
	route, ok := c.Match(t.r.Host, t.path)
	if !ok && age > t.h.MaxDenialAge {
		return staleError("the route is unknown", age, t.h.MaxDenialAge)
	}
	if !ok {
		return galenalatch.KindNotFound.Errorf("no route for host %.64q and path %.64q in version %d", t.r.Host, t.path, c.Version)
	}
	t.route = route
	t.decision.Route = route.Name
	if err := t.authorize(c, age); err != nil {
		return err
	}
	t.decision.Service = t.service()
	return nil
}

// staleError refuses a request that needs a newer proof of the configuration.
func staleError(reason string, age, allowed time.Duration) error {
	return galenalatch.KindCatalogueStale.Errorf("%s, and the configuration was last known to be the newest %s ago; allowed: %s", reason, age.Round(time.Millisecond), allowed)
}

// authorize finds the workspace of the caller's key. A removed key must be
// rejected within a bounded time, so a router whose configuration was not
// confirmed as the newest within MaxProofAge refuses requests with keys.
func (t *transaction) authorize(c *galenalatch.Configuration, age time.Duration) error {
	if !c.KeysRequired || t.route.Public {
		return nil
	}
	if age > t.h.MaxProofAge {
		return staleError("the request has a key", age, t.h.MaxProofAge)
	}
	o, ok := c.Keys[t.call.Key]
	if !ok && age > t.h.MaxDenialAge {
		return staleError("the key is unknown", age, t.h.MaxDenialAge)
	}
	if !ok {
		return galenalatch.KindUnauthorized.Errorf("the key is not in version %d of the configuration", c.Version)
	}
	t.decision.Workspace = o.Workspace
	return nil
}

// service selects one of the route's services by weight and by a hash of the
// stream id or else the request id, so that a retry, or an attempt to resume the stream,
// goes to the same service while the weights stay.
// It returns "" if all weights are 0.
func (t *transaction) service() string {
	total := 0
	for _, s := range t.route.Targets {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	n := int(hashID(cmp.Or(t.call.Stream(), t.call.ID)) % uint64(total))
	for _, s := range t.route.Targets {
		n -= max(s.Weight, 0)
		if n < 0 {
			return s.Service
		}
	}
	return ""
}
