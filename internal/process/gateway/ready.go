package gateway

import (
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// readyProofShare is the share of the time within which removed keys must be
// rejected. If the configuration was not confirmed for longer, the router is not
// ready.
const readyProofShare = 0.9

// serveReady responds to the readiness checks of the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := g.ready()
	if g.wasReady.Swap(ready) != ready {
		if ready {
			g.log.Event(events.RouterReady)
		} else {
			g.log.Event(events.RouterNotReady, "error", reason)
		}
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the router can serve all requests, and if not, why.
func (g *Gateway) ready() (bool, string) {
	if g.draining.Load() {
		return false, "the router is stopping"
	}
	c := g.view.Configuration()
	if c == nil {
		return false, "no configuration was read yet"
	}
	if !g.view.ServersLoaded() {
		return false, "the list of backend servers was not read yet"
	}
	age, ok := g.view.Age()
	if limit := time.Duration(readyProofShare * float64(g.settings.KeyRemoval)); c.KeysRequired && (!ok || age > limit) {
		return false, "the proof of the configuration is too old"
	}
	if g.overload.Overloaded(time.Now()) {
		return false, "the processor is overloaded"
	}
	return true, ""
}
