package gateway

import (
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/galenalatch/galenalatch/internal/config/gateway"
	"github.com/galenalatch/galenalatch/internal/decide/memory"
	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

const (
	// maxRejectedConnections bounds the rejected connections that are open.
	// rejectedPerPlace and descriptorsPerRejected bound it further in a small process.
	maxRejectedConnections = 512
	rejectedPerPlace       = 2
	descriptorsPerRejected = 8
	// pressureInterval is the shortest time between two log lines about callers that
	// gave way.
	pressureInterval = 10 * time.Second
)

// heapLimit returns the limit on the memory of the Go runtime in a process with the
// given memory in bytes.
func heapLimit(process int64) int64 {
	return int64(max(memoryShare*float64(process-nonHeapBytes), minMemoryShare*float64(process)))
}

// clientLimits returns the limits on what callers hold.
func clientLimits(s gateway.Settings) memory.Limits {
	l := memory.LimitsFor(s.MemoryMegabytes<<20, s.Descriptors)
	l.BodyGrace, l.BodyRate, l.AnswerStall = s.Callers.BodyGrace.Std(), s.Callers.BodyRate, s.Callers.AnswerStall.Std()
	return l
}

// maxRejected returns the number of rejected connections that may be open.
func maxRejected(s gateway.Settings) int {
	return min(maxRejectedConnections, clientLimits(s).Connections/rejectedPerPlace, s.Descriptors/descriptorsPerRejected)
}

// boundReceiveBuffer sets the receive buffer of a listener, which accepted connections
// inherit: bytes that callers send and nobody reads are in the memory of the machine.
func boundReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the bound, callers are served all the same.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, memory.ReceiveBytes)
	})
}

// pressure holds the numbers of callers that gave way up to the last log line.
type pressure struct {
	at         time.Time
	departures map[memory.Cause]int64
	full       int64
}

// logPressure logs how many callers gave way since the last line.
func (g *Gateway) logPressure(now time.Time) {
	if now.Sub(g.pressure.at) < pressureInterval {
		return
	}
	u, last := g.memory.Usage(), g.pressure
	next := pressure{now, u.Departures, g.ingress.FullConnections()}
	since := func(c memory.Cause) int64 { return u.Departures[c] - last.departures[c] }
	if since(memory.Needed)+since(memory.SlowBody)+since(memory.UnreadAnswer)+next.full-last.full == 0 {
		return
	}
	g.pressure = next
	g.log.Event(events.CallersGaveWay, "needed", since(memory.Needed), "slowBody", since(memory.SlowBody), "unreadAnswer", since(memory.UnreadAnswer),
		"full", next.full-last.full, "connections", u.Connections, "bytes", u.Bytes)
}

// registerMemory adds the metrics of what callers hold.
func (c *gatewayMetrics) registerMemory(o counters) {
	c.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "galenalatch_gateway_full_connections_total", Help: "New connections whose request was rejected with 503 and not parsed because too many were open."},
			func() float64 { return float64(o.fullConnections()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "galenalatch_gateway_caller_connections", Help: "Open connections of callers."},
			func() float64 { return float64(o.memory().Connections) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "galenalatch_gateway_caller_bytes", Help: "Memory that callers hold in bodies, long heads and answers."},
			func() float64 { return float64(o.memory().Bytes) }),
	)
	for _, cause := range memory.Causes {
		c.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "galenalatch_gateway_departures_total", Help: "Callers that were refused or whose connection was closed because of what they hold, by cause.", ConstLabels: prometheus.Labels{"cause": cause.String()},
		}, func() float64 { return float64(o.memory().Departures[cause]) }))
	}
}
