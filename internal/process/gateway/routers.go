package gateway

import (
	"context"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/fleet/members"
	"github.com/galenalatch/galenalatch/internal/fleet/relay"
	"github.com/galenalatch/galenalatch/internal/fleet/topology"
	"github.com/galenalatch/galenalatch/internal/peer/use"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// silentLimit is how long a router is silent before another one removes it
// from the list, and silentPoll the time between two looks.
const (
	silentLimit = 20 * time.Second
	silentPoll  = 5 * time.Second
)

// join sets up the list of routers and the connections with them.
func (g *Gateway) join(observe observer) {
	start := string(galenalatch.NewRequestID())
	g.peers = use.New(use.Options{
		Self: g.settings.ID, Start: start, DataCentre: g.settings.DataCentre, Table: g.table, Ledger: g.ledger,
		StoreAnswered: g.relay.Deliver,
		Connected:     func(r galenalatch.RouterID) { g.log.Event(events.PeerConnected, "peer", r) },
		Lost:          func(r galenalatch.RouterID, err error) { g.log.Event(events.PeerLost, "peer", r, "error", err) },
	})
	g.members = members.New(members.Options{
		Store:  g.relay,
		Events: observe,
		Self: members.Member{
			ID: g.settings.ID, Address: g.settings.Listen.Peer, DataCentre: g.settings.DataCentre, Start: start,
		},
		Changed: g.routersChanged,
	})
}

// routersChanged takes a new list of routers.
func (g *Gateway) routersChanged(list []members.Member, token string) {
	ids := make([]galenalatch.RouterID, 0, len(list))
	instances := make([]galenalatch.Instance, 0, len(list))
	for _, m := range list {
		ids = append(ids, m.ID)
		instances = append(instances, galenalatch.Instance{
			ID: string(m.ID), Role: galenalatch.RouterRole, Address: m.Address, DataCentre: m.DataCentre,
		})
	}
	t := topology.New(g.settings.ID, g.settings.DataCentre, instances)
	g.table.SetMembers(ids)
	g.relay.SetMode(relayMode(t))
	g.routers.Store(int64(len(ids)))
	if err := g.peers.SetPeers(instances, t, token); err != nil {
		g.log.Event(events.PeerRejected, "error", err)
	}
	g.log.Event(events.MembersChanged, "routers", len(ids), "near", len(t.Near), "far", len(t.Far()))
}

// relayMode decides who follows the store for a router.
func relayMode(t topology.Topology) relay.Mode {
	switch {
	case t.Small:
		return relay.Alone
	case t.Relaying():
		return relay.Relaying
	}
	return relay.Listening
}

// removeSilent removes routers that were not heard for long. Writes of two
// routers at once exclude each other.
func (g *Gateway) removeSilent(ctx context.Context, now time.Time) {
	if now.Sub(g.looked) < silentPoll {
		return
	}
	g.looked = now
	silent, connected := g.peers.Silent(now, silentLimit)
	if !connected {
		// This router may be the one that is cut off.
		return
	}
	for _, r := range silent {
		err := g.members.Remove(ctx, r)
		g.log.Event(events.MembersChanged, "removed", r, "error", err)
	}
}
