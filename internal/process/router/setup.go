package router

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/backend/connection"
	"github.com/galenalatch/galenalatch/internal/backend/engine"
	"github.com/galenalatch/galenalatch/internal/backend/report"
	"github.com/galenalatch/galenalatch/internal/backend/service"
	"github.com/galenalatch/galenalatch/internal/caller/auth"
	"github.com/galenalatch/galenalatch/internal/caller/inflight"
	"github.com/galenalatch/galenalatch/internal/caller/openai"
	"github.com/galenalatch/galenalatch/internal/caller/plain"
	"github.com/galenalatch/galenalatch/internal/caller/request"
	configcatalogue "github.com/galenalatch/galenalatch/internal/config/catalogue"
	"github.com/galenalatch/galenalatch/internal/decide/freshness"
	"github.com/galenalatch/galenalatch/internal/decide/lease"
	"github.com/galenalatch/galenalatch/internal/operator/api"
	"github.com/galenalatch/galenalatch/internal/peer/link"
	"github.com/galenalatch/galenalatch/internal/platform/catalogue"
	"github.com/galenalatch/galenalatch/internal/platform/claims"
	"github.com/galenalatch/galenalatch/internal/platform/httpclient"
	"github.com/galenalatch/galenalatch/internal/platform/instances"
	"github.com/galenalatch/galenalatch/internal/platform/leases"
	"github.com/galenalatch/galenalatch/internal/platform/object"
	"github.com/galenalatch/galenalatch/internal/platform/table"
	"github.com/galenalatch/galenalatch/internal/process/dispatch"
	"github.com/galenalatch/galenalatch/internal/process/entry"
	"github.com/galenalatch/galenalatch/internal/process/fleet"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
	"github.com/galenalatch/galenalatch/internal/telemetry/metrics"
)

// setUpPlatform creates the clients of the platform: instance list, catalogue,
// claims and leases.
func (r *Router) setUpPlatform() error {
	token, err := r.settings.Platform.Token.Read()
	if err != nil {
		return err
	}
	c, err := httpclient.New(r.settings.Platform.Address, httpclient.WithToken(token))
	if err != nil {
		return err
	}
	rows := table.New(c)
	r.fleet = fleet.New(instances.New(c), fleet.WithOnChange(r.onInstances))
	r.catalogue = catalogue.New(rows, object.New(c),
		catalogue.WithValidation(configcatalogue.New().Check),
		catalogue.WithNotify(r.onCatalogue))
	r.claims = claims.New(rows, object.New(c))
	r.leases = leases.New(rows, r.settings.ID, r.startID,
		leases.WithConfig(lease.Config{
			Duration: r.settings.Lease.Duration.Std(),
			Renew:    r.settings.Lease.Renew.Std(),
			Margin:   r.settings.Lease.Margin.Std(),
		}),
		leases.WithReachable(r.reachable),
		leases.WithNotify(r.onLease))
	return nil
}

func (r *Router) onInstances(list []galenalatch.Instance) {
	r.mesh.SetPeers(slices.DeleteFunc(slices.Clone(list), func(i galenalatch.Instance) bool {
		return i.Role != galenalatch.RouterRole
	}))
	var routers []galenalatch.RouterID
	for _, i := range list {
		if i.Role == galenalatch.RouterRole {
			routers = append(routers, galenalatch.RouterID(i.ID))
		}
	}
	r.gossip.SetInstances(routers)
	r.leases.SetRouterCount(len(routers))
	r.log.Event(events.InstancesRead, "instances", len(list))
}

func (r *Router) onCatalogue(c galenalatch.Catalogue) {
	r.fleet.SetCatalogue(c)
	r.gossip.SetHeld(c.Version, freshness.Lists{Current: c.Routers, Previous: c.PreviousRouters})
	r.log.Event(events.CatalogueApplied, "version", c.Version)
	r.logServiceChanges(c)
}

func (r *Router) onLease(c galenalatch.CellID, s leases.State) {
	// The cell is opened before other routers receive its holder.
	r.dispatcher.Wake()
	if h, ok := r.rowHolder(c, s); ok {
		r.gossip.SetHolder(h)
	}
	if s.Epoch != 0 && !s.Held && !s.Lapsed {
		// The lease has ended; whether it was released or lost follows from the
		// next read of its row.
		return
	}
	before := r.loggedLeases[c]
	r.loggedLeases[c] = s
	if n, ok := r.leaseEvent(before, s); ok {
		r.log.Event(n, "cell", c, "epoch", max(s.Epoch, s.HolderEpoch))
	}
}

// leaseEvent returns the event for a change of a lease's state. It reports false
// when the change is not logged.
func (r *Router) leaseEvent(before, now leases.State) (events.Number, bool) {
	had := before.Held || before.Lapsed
	same := had && before.Epoch == now.Epoch
	switch {
	case now.Held && same && before.Lapsed:
		return events.LeaseRenewed, true
	case now.Held:
		return events.LeaseAcquired, !same
	case now.Lapsed:
		return events.LeaseLapsed, !before.Lapsed
	case now.Released && now.Holder == r.settings.ID:
		return events.LeaseReleased, had
	}
	return events.LeaseLost, had
}

// setUpPeers creates the mesh of connections to other routers.
func (r *Router) setUpPeers() error {
	token, err := r.settings.Tokens.Peer.Read()
	if err != nil {
		return err
	}
	r.mesh, err = link.New(link.Options{
		Self:              r.settings.ID,
		Start:             r.startID,
		DataCentre:        r.settings.DataCentre,
		Token:             token,
		Handle:            r.onMessage,
		Connected:         r.onPeerConnected,
		Disconnected:      r.onPeerDisconnected,
		ConnectionError:   r.onPeerFailed,
		HandshakeRejected: r.onPeerRejected,
		QueueFull:         r.onPeerQueueFull,
	})
	return err
}

func (r *Router) onMessage(from galenalatch.RouterID, m galenalatch.Message) {
	if !r.entry.Handle(from, m) && !r.dispatcher.Handle(from, m) {
		r.gossip.Handle(from, m)
	}
}

func (r *Router) onPeerConnected(p galenalatch.RouterID, start string) {
	r.connectedPeers.Store(p, true)
	r.failedPeers.Delete(p)
	r.dispatcher.RouterConnected(p, start)
	r.entry.RouterConnected(p)
	r.log.Event(events.PeerConnected, "peer", p)
}

func (r *Router) onPeerFailed(p galenalatch.RouterID, err error) {
	_, was := r.connectedPeers.LoadAndDelete(p)
	if !was {
		// Only a failed attempt makes the peer unreachable: after the loss of an
		// established connection, a new one may succeed.
		r.failedPeers.Store(p, time.Now())
	}
	if errors.Is(err, context.Canceled) {
		// The connections end because this router stops, which is not logged.
		return
	}
	if was || r.logLimiter.allow(time.Now(), "lost "+string(p)) {
		r.log.Event(events.PeerLost, "peer", p, "error", err)
	}
}

func (r *Router) onPeerDisconnected(p galenalatch.RouterID) {
	r.dispatcher.RouterDisconnected(p)
}

// setUpRequests creates the entry, the dispatcher, the metrics and the clients of
// the backend servers.
func (r *Router) setUpRequests() error {
	r.connections = connection.New()
	runners := map[galenalatch.PoolKind]galenalatch.Runner{
		galenalatch.ModelPool: engine.New(r.connections),
		galenalatch.PlainPool: service.New(r.connections),
	}
	r.metrics = metrics.New(r.status)
	r.entry = entry.New(entry.Options{
		Self:          r.settings.ID,
		Directory:     r.fleet.Directory,
		Holder:        r.holder,
		Reachable:     r.reachable,
		CheckFresh:    r.checkFresh,
		Send:          r.mesh.Send,
		Runner:        func(k galenalatch.PoolKind) galenalatch.Runner { return runners[k] },
		Claims:        claimAdapter{r.claims},
		Observer:      observer{r},
		OnUnusedGrant: r.onUnusedGrant,
		OnRetry:       r.onRetry,
	})
	r.dispatcher = dispatch.New(dispatch.Options{
		Self:      r.settings.ID,
		Directory: r.fleet.Directory,
		Leases:    r.heldLeases,
		Holders:   r.holders,
		Reporter:  report.New(),
		Send:      r.mesh.Send,
		Observer:  cellObserver{r.log},
	})
	// The entry of this router needs no connection.
	r.dispatcher.RouterConnected(r.settings.ID, r.startID)
	return nil
}

// unreachablePeriod is how long a router counts as unreachable after a failed
// attempt to connect.
const unreachablePeriod = 2 * time.Second

// reachable reports whether messages can be sent to a router. A router without a
// connection counts as reachable, since sending opens one.
func (r *Router) reachable(p galenalatch.RouterID) bool {
	if p == r.settings.ID {
		return true
	}
	at, ok := r.failedPeers.Load(p)
	return !ok || time.Since(at.(time.Time)) > unreachablePeriod
}

func (r *Router) heldLeases() map[galenalatch.CellID]dispatch.LeaseState {
	held := make(map[galenalatch.CellID]dispatch.LeaseState)
	for c, s := range r.leases.OwnStates() {
		if s.Held || s.Lapsed {
			held[c] = dispatch.LeaseState{Epoch: s.Epoch, Expires: s.ExpiresAt, Lapsed: s.Lapsed, Unconfirmed: s.Unconfirmed, Released: s.Epoch > 1 && !s.Unconfirmed}
		}
	}
	return held
}

// setUpListener registers the handlers of all addresses of the router.
func (r *Router) setUpListener() error {
	operator, err := r.settings.Tokens.Operator.Read()
	if err != nil {
		return err
	}
	keys := auth.New(r.catalogue.Current)
	limit := inflight.New(r.settings.Limits.ConnectionsPerWorkspace, r.settings.Limits.HeldBytesPerWorkspace)
	server := request.New(r.entry, r.catalogue.Current, keys.Workspace,
		request.WithBodyLimit(r.settings.Limits.BodyBytes), request.WithLimiter(limit), request.WithObserver(r.onRequestEnded))
	operatorAPI := api.New(r.catalogue, api.Fleet{Status: r.status, CountHolders: r.versionAcceptance, Instances: r.fleet.Instances},
		galenalatch.Diff, auth.TokenCheck(operator), api.WithObserver(r.onChange))

	a := r.settings.Listen
	r.listener.Handle(a.Caller, "/v1/", openai.New(server))
	r.listener.Handle(a.Caller, plain.Prefix, plain.New(server))
	r.listener.Handle(a.Caller, "/healthz", http.HandlerFunc(r.serveHealth))
	r.listener.Handle(a.Caller, "/readyz", http.HandlerFunc(r.serveReady))
	r.listener.Handle(a.Peer, "/peer", r.mesh.Handler())
	r.listener.Handle(a.Operator, "/operator/v1/", operatorAPI)
	r.listener.Handle(a.Operator, "/metrics", r.metrics.Handler())
	if d := r.settings.Debug.Listen; d != "" {
		r.listener.Handle(d, "PUT /debug/links/{router}", r.debugHandler(auth.TokenCheck(operator)))
	}
	return nil
}

func (r *Router) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := r.notReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
