package entry

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
)

// lease is the newest known state of the lease of a cell.
type lease struct {
	epoch galenalatch.Epoch
	// validUntil is computed from the time at which the LeaseRequest was sent, so
	// that it is never later than the expiry on the holder's clock.
	validUntil time.Time
	askedAt    time.Time
}

// lapsedLeaseValidity is how long a LeaseState confirms grants when its holder
// could not renew the lease.
const lapsedLeaseValidity = time.Second

// leaseConfirmTimeout bounds the wait for the confirmation of a grant's leases.
const leaseConfirmTimeout = time.Second

// Handle processes a message from a dispatcher. It reports false for types of
// messages that are not addressed to entries.
func (e *Entry) Handle(from galenalatch.RouterID, m galenalatch.Message) bool {
	switch m := m.(type) {
	case galenalatch.Grant:
		e.onGrant(m)
	case galenalatch.Refuse:
		e.onRefuse(m)
	case galenalatch.LeaseState:
		e.onLease(m)
	default:
		return false
	}
	return true
}

func (e *Entry) onGrant(g galenalatch.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.running[g.Request]; ok && r.grant.Cell == g.Cell && r.grant.Serial == g.Serial {
		if g.StatusQuery {
			r.reportedAt = time.Time{}
			e.sendProgress(time.Now())
		}
		return
	}
	p, waits := e.pending[g.Request]
	if !waits || g.StatusQuery || g.Serial <= e.newestSerials[g.Request][g.Cell] {
		e.declineGrant(g)
		if waits {
			// The cell drops the request together with the declined grant, so the
			// next check sends an Enqueue again.
			p.sent = time.Time{}
		}
		return
	}
	e.newestSerials[g.Request][g.Cell] = g.Serial
	delete(e.pending, g.Request)
	if p.holder.Router != "" && p.holder.Cell != g.Cell {
		e.options.Send(p.holder.Router, galenalatch.Withdraw{Cell: p.holder.Cell, Request: g.Request})
	}
	// From here on the request counts as running, so that reports include it
	// and a copy of the grant does not start it again.
	e.running[g.Request] = &running{request: p.request, grant: g, record: p.record}
	p.granted <- g
}

// declineGrant answers a grant that is not used with a Finish. It records the
// serial number, so that a delayed copy of the grant does not start the request
// after its slot was freed.
func (e *Entry) declineGrant(g galenalatch.Grant) {
	if seen, held := e.newestSerials[g.Request]; held {
		seen[g.Cell] = max(seen[g.Cell], g.Serial)
	}
	if f, ok := e.endedGrants[grantKey{g.Request, g.Cell, g.Serial}]; ok {
		e.sendFinish(f.message)
		return
	}
	e.sendFinish(galenalatch.Finish{Cell: g.Cell, Request: g.Request, Serial: g.Serial, Outcome: galenalatch.NotRun})
}

func (e *Entry) onRefuse(m galenalatch.Refuse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.pending[m.Request]
	if !ok || p.holder.Cell != m.Cell {
		return
	}
	select {
	case p.refused <- m:
	default:
	}
}

func (e *Entry) onLease(m galenalatch.LeaseState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.leases[m.Cell]
	if m.Epoch < l.epoch {
		return
	}
	remaining := time.Duration(m.RemainingMillis) * time.Millisecond
	if m.Lapsed {
		remaining = lapsedLeaseValidity
	}
	until := e.base.Add(time.Duration(m.Echo)).Add(remaining)
	if m.Epoch > l.epoch || until.After(l.validUntil) {
		l.epoch, l.validUntil = m.Epoch, until
	}
	e.leases[m.Cell] = l
	if t := e.sentReports[m.Cell]; t.holder.Epoch == m.Epoch && m.Reported {
		t.confirmed = true
		e.sentReports[m.Cell] = t
	}
	close(e.leaseChanged)
	e.leaseChanged = make(chan struct{})
}

// leaseRequestInterval is the minimum time between two LeaseRequest messages
// for the same cell.
const leaseRequestInterval = 100 * time.Millisecond

// askLease sends a LeaseRequest to a holder unless its lease is known to be
// valid for more than a second. The caller holds e.mu.
func (e *Entry) askLease(now time.Time, h galenalatch.Holder) {
	l := e.leases[h.Cell]
	known := l.epoch == h.Epoch && l.validUntil.Sub(now) > time.Second
	if known || now.Sub(l.askedAt) < leaseRequestInterval {
		return
	}
	l.askedAt = now
	e.leases[h.Cell] = l
	e.options.Send(h.Router, galenalatch.LeaseRequest{Cell: h.Cell, Stamp: int64(now.Sub(e.base))})
}

// checkGrant returns an error when a grant must not be used now. It is called
// right before the request is sent.
func (e *Entry) checkGrant(g galenalatch.Grant) error {
	if err := e.options.CheckFresh(); err != nil {
		return err
	}
	if !e.options.Directory().Catalogue().InService(g.Server, g.DataCentre) {
		return galenalatch.KindOutOfService.Errorf("server %q was taken out of service", g.Server)
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkLease(now, g.Cell, g.Epoch); err != nil {
		return err
	}
	return e.checkLease(now, g.ServerCell, g.ServerEpoch)
}

func (e *Entry) checkLease(now time.Time, c galenalatch.CellID, epoch galenalatch.Epoch) error {
	if h, ok := e.options.Holder(c); ok && h.Epoch > epoch {
		return galenalatch.KindStaleGrant.Errorf("cell %s has epoch %d, the grant has %d", c, h.Epoch, epoch)
	}
	l := e.leases[c]
	if l.epoch != epoch {
		return galenalatch.KindStaleGrant.Errorf("the lease of cell %s with epoch %d is not confirmed", c, epoch)
	}
	if !now.Before(l.validUntil) {
		return galenalatch.KindStaleGrant.Errorf("the lease of cell %s with epoch %d has run out", c, epoch)
	}
	return nil
}

// awaitLeases waits until the leases of the grant's home cell and of its
// server's cell are confirmed, at most leaseConfirmTimeout.
func (e *Entry) awaitLeases(ctx context.Context, g galenalatch.Grant) error {
	ctx, cancel := context.WithTimeout(ctx, leaseConfirmTimeout)
	defer cancel()
	for {
		e.mu.Lock()
		changed := e.leaseChanged
		e.mu.Unlock()
		err := e.checkGrant(g)
		if err == nil || galenalatch.KindOf(err) != galenalatch.KindStaleGrant {
			return err
		}
		e.askLeases(g)
		select {
		case <-changed:
		case <-time.After(leaseRequestInterval):
		case <-ctx.Done():
			return err
		}
	}
}

func (e *Entry) askLeases(g galenalatch.Grant) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range []galenalatch.CellID{g.Cell, g.ServerCell} {
		if h, ok := e.options.Holder(c); ok {
			e.askLease(now, h)
		}
	}
}
