package cell

import (
	"cmp"
	"time"

	"github.com/galenalatch/galenalatch"
)

// SetCatalogue applies a version of the catalogue: the settings of the pool,
// the limits of workspaces and the servers and data centres that are out of
// service. If the catalogue does not list the pool, the cell does not grant.
func (c *Cell) SetCatalogue(_ time.Time, cat galenalatch.Catalogue) {
	c.tickPending = true
	c.catalogue = cat
	p, ok := cat.Pool(c.cfg.ID.Pool)
	c.poolRemoved = !ok
	if ok {
		c.cfg.Pool = p
		c.queue.SetMaxCost(p.MaxCost)
		c.servers.SetLimits(p.ColdLimit, p.WarmLimit)
	}
	c.servers.SetInService(cat.InService)
	byWorkspace := make(map[galenalatch.WorkspaceName][]galenalatch.Entry)
	for _, e := range cat.Entries {
		if c.queue.HasWorkspace(e.Workspace) {
			byWorkspace[e.Workspace] = append(byWorkspace[e.Workspace], e)
		}
	}
	for _, w := range c.queue.WorkspaceNames() {
		c.setLimits(w, byWorkspace[w])
	}
}

// ensureLimits sets the limits of a workspace that has no record in the queue.
// Limits are set on first use, since a cell serves few of all workspaces.
func (c *Cell) ensureLimits(w galenalatch.WorkspaceName) {
	if !c.queue.HasWorkspace(w) {
		c.setLimits(w, c.catalogue.Entries)
	}
}

// setLimits combines the entries of a workspace among the candidates. Each
// class has its own limit of running requests; the workspace's limit is their
// sum. A class without an entry has the default limits.
func (c *Cell) setLimits(w galenalatch.WorkspaceName, candidates []galenalatch.Entry) {
	classes := []galenalatch.Class{galenalatch.Interactive, galenalatch.Batch}
	entries := map[galenalatch.Class]galenalatch.Entry{}
	for _, k := range classes {
		entries[k] = c.catalogue.DefaultLimits
	}
	weight := int64(0)
	for _, e := range candidates {
		if e.Workspace == w {
			entries[e.Class] = e
			weight = max(weight, e.Weight)
		}
	}
	l := galenalatch.Limits{Weight: cmp.Or(weight, c.catalogue.DefaultLimits.Weight, 1)}
	for _, k := range classes {
		e := entries[k]
		l.MaxRunning += cmp.Or(e.MaxRunning, unlimited)
		l.MaxWaiting = max(l.MaxWaiting, e.MaxWaiting)
		l.MaxWaitingBytes = max(l.MaxWaitingBytes, e.MaxWaitingBytes)
		c.queue.SetClassRunning(w, k, e.MaxRunning)
	}
	c.queue.SetLimits(w, l)
}

// unlimited stands for a limit of running requests that is not set.
const unlimited = 1 << 30

// SetServers replaces the list of the cell's backend servers. A server that
// was not listed before is cold.
func (c *Cell) SetServers(_ time.Time, servers []galenalatch.Instance) {
	c.tickPending = true
	c.servers.SetInstances(servers)
	c.servers.SetInService(c.catalogue.InService)
}

// SetLoad records the load report of a backend server, sampled at the given
// time, or the error of reading it.
func (c *Cell) SetLoad(now time.Time, s galenalatch.ServerID, sampled time.Time, l galenalatch.LoadReport, err error) {
	c.tickPending = true
	c.servers.RecordReport(now, s, sampled, l, err)
}

// SetLease records until when the lease is valid, and whether the holder
// continues without a valid lease because the platform is down and no newer
// epoch is known.
func (c *Cell) SetLease(expires time.Time, lapsed bool) {
	c.tickPending = true
	if lapsed && !c.lapsed {
		c.lapsedSince = expires
	}
	c.leaseExpires, c.lapsed = expires, lapsed
	c.servers.SetLapsed(lapsed)
}

// SetRouters replaces the list of live routers. A new holder waits for the
// reports of those that are listed.
func (c *Cell) SetRouters(_ time.Time, routers []galenalatch.RouterID) {
	c.tickPending = true
	c.routersListed = true
	for _, r := range c.routers {
		r.listed = false
	}
	for _, id := range routers {
		c.router(id).listed = true
	}
}

// SetPeers replaces the list of holders of the pool's other cells. If the list
// has a newer holder of this cell, the cell stops granting.
func (c *Cell) SetPeers(_ time.Time, holders []galenalatch.Holder) {
	c.tickPending = true
	listed := make(map[galenalatch.CellID]bool, len(holders))
	for _, h := range holders {
		if h.Cell == c.cfg.ID {
			c.stopIfSuperseded(h.Epoch)
			continue
		}
		if h.Cell.Pool == c.cfg.ID.Pool {
			listed[h.Cell] = true
			c.peer(h.Cell).setHolder(h.Router, h.Epoch)
		}
	}
	for id := range c.peers {
		if !listed[id] {
			delete(c.peers, id)
		}
	}
}
