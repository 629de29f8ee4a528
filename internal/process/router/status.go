package router

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/message"
	"github.com/galenalatch/galenalatch/internal/operator/status"
	"github.com/galenalatch/galenalatch/internal/peer/link"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// statusTimeout bounds the wait for the states of the cells.
const statusTimeout = time.Second

// status returns the state of the router for operators and metrics.
func (r *Router) status() status.Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s := status.Status{
		Router:       r.settings.ID,
		Start:        r.startID,
		DataCentre:   r.settings.DataCentre,
		Version:      r.catalogue.Current().Version,
		Fresh:        r.checkFresh() == nil,
		Ready:        r.notReady() == nil,
		Draining:     r.draining.Load(),
		HeldVersions: r.gossip.Versions(),
	}
	s.Waiting, s.Running = r.entry.Counts()
	for _, c := range r.dispatcher.Status(ctx) {
		s.Cells = append(s.Cells, status.Cell{
			Cell:      c.Cell,
			Epoch:     c.Epoch,
			Lapsed:    c.Lapsed,
			Waiting:   c.Waiting,
			Running:   c.Granted,
			Ready:     c.Ready,
			LentSlots: c.LentSlots,
			Granting:  c.MayGrant,
		})
		for _, w := range c.Servers {
			s.Servers = append(s.Servers, status.Server{
				Server:     w.Server,
				Pool:       c.Cell.Pool,
				DataCentre: w.DataCentre,
				State:      string(w.State),
				Limit:      w.Limit,
				Running:    w.Running,
				Untracked:  w.Untracked,
			})
		}
	}
	for _, t := range r.mesh.Stats() {
		s.PeerBytesIn += uint64(t.BytesIn)
		s.PeerBytesOut += uint64(t.BytesOut)
	}
	return s
}

// PeerTraffic returns the bytes exchanged with each other router.
func (r *Router) PeerTraffic() map[galenalatch.RouterID]link.Traffic {
	return r.mesh.Stats()
}

// onChange logs and counts the result of a change that an operator requested.
func (r *Router) onChange(ch galenalatch.Change, m message.ApplyResult, err error) {
	r.metrics.Changed(err)
	switch {
	case err == nil && m.State == message.Pending:
		r.log.Event(events.ChangePending, "change", ch.ID, "author", ch.Author, "version", m.Version)
	case err == nil:
		r.log.Event(events.ChangeAccepted, "change", ch.ID, "author", ch.Author, "version", m.Version)
	case galenalatch.KindOf(err) == galenalatch.KindUnauthorized:
		r.log.Event(events.OperatorRejected, "error", err)
	case galenalatch.KindOf(err) == galenalatch.KindConflict:
		r.log.Event(events.ChangeConflict, "change", ch.ID, "author", ch.Author)
	default:
		r.log.Event(events.ChangeRefused, "change", ch.ID, "author", ch.Author, "error", err)
	}
}

// observer passes the entry's measurements to the metrics and the log.
type observer struct {
	router *Router
}

// Granted implements entry.Observer.
func (o observer) Granted(q galenalatch.Request, wait time.Duration) {
	o.router.metrics.Waited(q.Workspace, q.Class, wait)
}

// FirstPiece implements entry.Observer.
func (observer) FirstPiece(galenalatch.Request, time.Duration) {}

// Ended implements entry.Observer.
func (o observer) Ended(q galenalatch.Request, took time.Duration, units int64, err error) {
	if err == nil {
		o.router.log.Event(events.RequestEnded, "request", q.ID, "workspace", q.Workspace, "pool", q.Pool, "took", took, "units", units)
		return
	}
	o.router.log.Event(failureEvent(err), "request", q.ID, "workspace", q.Workspace, "pool", q.Pool, "error", err)
}
