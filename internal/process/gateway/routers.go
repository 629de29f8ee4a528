package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/rendezvous"
	"github.com/galenalatch/galenalatch/internal/fleet/members"
	"github.com/galenalatch/galenalatch/internal/fleet/relay"
	"github.com/galenalatch/galenalatch/internal/fleet/topology"
	"github.com/galenalatch/galenalatch/internal/peer/load"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// silenceTimeout is the time without contact with a router after which it is
// removed from the list, silenceCheckInterval the time between two checks.
const (
	silenceTimeout       = 20 * time.Second
	silenceCheckInterval = 5 * time.Second
)

// initPeers creates the list of routers and the connections with them.
func (g *Gateway) initPeers(obs observer, direct galenalatch.Store) {
	start := string(galenalatch.NewRequestID())
	g.peers = load.New(load.Options{
		Self: g.settings.ID, Start: start, DataCentre: g.settings.DataCentre, Table: g.table, Ledger: g.ledger, Quarantine: g.quarantine,
		Rollouts:      g.rollouts,
		Streams:       g.assignments,
		StoreAnswered: g.relay.Deliver,
		Connected:     func(r galenalatch.RouterID) { g.log.Event(events.PeerConnected, "peer", r) },
		Disconnected:  func(r galenalatch.RouterID, err error) { g.log.Event(events.PeerLost, "peer", r, "error", err) },
	})
	g.members = members.New(members.Options{
		Store:   g.relay,
		Direct:  direct,
		Events:  obs,
		Listens: g.relay.Listens,
		Self: members.Member{
			ID: g.settings.ID, Address: g.settings.Listen.Peer, DataCentre: g.settings.DataCentre, Start: start,
		},
		Changed:   g.setRouters,
		OtherRows: g.setPlans,
	})
}

// setRouters applies a new list of routers.
func (g *Gateway) setRouters(list []members.Member, token string) {
	ids := make([]galenalatch.RouterID, 0, len(list))
	instances := make([]galenalatch.Instance, 0, len(list))
	for _, m := range list {
		ids = append(ids, m.ID)
		instances = append(instances, galenalatch.Instance{
			ID: string(m.ID), Role: galenalatch.RouterRole, Address: m.Address, DataCentre: m.DataCentre,
		})
	}
	t := topology.New(g.settings.ID, g.settings.DataCentre, instances)
	g.table.SetRouters(ids)
	g.relay.SetMode(relayMode(t))
	g.routers.Store(int64(len(ids)))
	g.storeRouterIDs(ids)
	if err := g.peers.SetPeers(instances, t, token); err != nil {
		g.log.Event(events.PeerRejected, "error", err)
	}
	g.log.Event(events.MembersChanged, "routers", len(ids), "near", len(t.Peers), "far", len(t.RemoteRelays()))
}

// storeRouterIDs keeps the list of routers for ownsPart.
func (g *Gateway) storeRouterIDs(ids []galenalatch.RouterID) {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	slices.Sort(names)
	g.routerIDs.Store(&names)
}

// ownsPart reports whether this router, of all in the list, tries whether a held
// prompt part has become sound.
func (g *Gateway) ownsPart(part uint64) bool {
	names := g.routerIDs.Load()
	if names == nil || len(*names) == 0 {
		return false
	}
	ranked := rendezvous.Hash{Seed: "promptPart"}.Rank(strconv.FormatUint(part, 16), *names)
	return ranked[0] == string(g.settings.ID)
}

// relayMode returns how the router follows the store: on its own in a small fleet, for
// the whole fleet, as a relay, or through the relays of its data centre.
func relayMode(t topology.Topology) relay.Mode {
	switch {
	case t.FullMesh:
		return relay.Direct
	case t.Polling():
		return relay.Relaying
	case t.Relaying():
		return relay.Standby
	}
	return relay.Listening
}

// removeSilent removes routers without contact for silenceTimeout from the list. Of
// concurrent writes by several routers only one succeeds.
func (g *Gateway) removeSilent(ctx context.Context, now time.Time) {
	if now.Sub(g.lastSilenceCheck) < silenceCheckInterval {
		return
	}
	g.lastSilenceCheck = now
	silent, connected := g.peers.Silent(now, silenceTimeout)
	if !connected {
		// This router itself may be disconnected from the others.
		return
	}
	for _, r := range silent {
		err := g.members.Remove(ctx, r)
		g.log.Event(events.MembersChanged, "removed", r, "error", err)
	}
}
