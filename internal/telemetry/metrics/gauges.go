package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/status"
)

// describe returns the description of a metric without its prefix galenalatch_.
func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("galenalatch_"+name, help, labels, nil)
}

var (
	cellsHeld     = describe("cells_held", "Cells whose lease this router holds, by pool and whether the lease has lapsed.", "pool", "lapsed")
	cellWaiting   = describe("cell_waiting", "Requests that wait in the cells of this router, by pool.", "pool")
	cellRunning   = describe("cell_running", "Requests that run on servers of the cells of this router, by pool.", "pool")
	entryWaiting  = describe("entry_waiting", "Requests that this router holds as an entry and that have no grant.")
	entryRunning  = describe("entry_running", "Requests that this router holds as an entry and that have a grant.")
	serverLimit   = describe("server_limit", "Concurrency limit of a backend server.", "pool", "server")
	serverRunning = describe("server_running", "Requests granted or running on a backend server.", "pool", "server")
	serverStates  = describe("servers", "Backend servers of the cells of this router, by pool and state.", "pool", "state")
	version       = describe("catalogue_version", "Version of the catalogue that this router holds.")
	fresh         = describe("catalogue_fresh", "1 when the catalogue is fresh, otherwise 0.")
	ready         = describe("ready", "1 when the router is ready for new requests, otherwise 0.")
	peerBytes     = describe("peer_bytes_total", "Bytes of control messages on the connections to other routers.", "direction")
)

// gauges reads the status of the router at each scrape, so that series of removed
// servers and cells disappear.
type gauges struct {
	source func() status.Status
}

// Describe implements prometheus.Collector.
func (g gauges) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		cellsHeld, cellWaiting, cellRunning, entryWaiting, entryRunning, serverLimit, serverRunning,
		serverStates, version, fresh, ready, peerBytes,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (g gauges) Collect(ch chan<- prometheus.Metric) {
	s := g.source()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	type cellGroup struct {
		pool   galenalatch.PoolName
		lapsed string
	}
	cells := make(map[cellGroup]int)
	waiting := make(map[galenalatch.PoolName]int)
	running := make(map[galenalatch.PoolName]int)
	for _, c := range s.Cells {
		cells[cellGroup{c.Cell.Pool, boolLabel(c.Lapsed)}]++
		waiting[c.Cell.Pool] += c.Waiting
		running[c.Cell.Pool] += c.Running
	}
	for h, n := range cells {
		gauge(cellsHeld, float64(n), string(h.pool), h.lapsed)
	}
	for p, n := range waiting {
		gauge(cellWaiting, float64(n), string(p))
		gauge(cellRunning, float64(running[p]), string(p))
	}
	type serverGroup struct {
		pool  galenalatch.PoolName
		state string
	}
	states := make(map[serverGroup]int)
	seen := make(map[galenalatch.ServerID]bool)
	for _, x := range s.Servers {
		if seen[x.Server] {
			continue
		}
		seen[x.Server] = true
		states[serverGroup{x.Pool, x.State}]++
		gauge(serverLimit, float64(x.Limit), string(x.Pool), string(x.Server))
		gauge(serverRunning, float64(x.Running), string(x.Pool), string(x.Server))
	}
	for k, n := range states {
		gauge(serverStates, float64(n), string(k.pool), k.state)
	}
	gauge(entryWaiting, float64(sum(s.Waiting)))
	gauge(entryRunning, float64(sum(s.Running)))
	gauge(version, float64(s.Version))
	gauge(fresh, boolValue(s.Fresh))
	gauge(ready, boolValue(s.Ready))
	ch <- prometheus.MustNewConstMetric(peerBytes, prometheus.CounterValue, float64(s.PeerBytesIn), "in")
	ch <- prometheus.MustNewConstMetric(peerBytes, prometheus.CounterValue, float64(s.PeerBytesOut), "out")
}

func sum(m map[galenalatch.WorkspaceName]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

func boolLabel(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
