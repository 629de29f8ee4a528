package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch/internal/telemetry/events"
)

// These limits apply to the listeners for readiness, peers and metrics. The time limits
// end at the handshake of a peer, which has its own.
const (
	headerTimeout   = 10 * time.Second
	exchangeTimeout = 30 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 16 << 10
	// descriptorsPerListener is the number of descriptors of the process for each open
	// connection of one listener.
	descriptorsPerListener = 16
)

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// listen opens the listeners for readiness, peers and metrics.
func (g *Gateway) listen() ([]*http.Server, []net.Listener, error) {
	readiness, metrics := http.NewServeMux(), http.NewServeMux()
	readiness.HandleFunc("/", g.serveReady)
	metrics.Handle("/metrics", g.metrics.handler())
	metrics.HandleFunc("GET /rollouts", g.serveRollouts)
	var servers []*http.Server
	var listeners []net.Listener
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{g.settings.Listen.Readiness, readiness},
		{g.settings.Listen.Peer, g.peers},
		{g.settings.Listen.Metrics, metrics},
	} {
		listen := net.ListenConfig{Control: boundReceiveBuffer}
		l, err := listen.Listen(context.Background(), "tcp", s.address)
		if err != nil {
			g.log.Event(events.ListenerFailed, "address", s.address, "error", err)
			return nil, nil, errors.Join(fmt.Errorf("listen on %s: %w", s.address, err), closeAll(listeners))
		}
		listeners = append(listeners, l)
		bound := &connectionBound{most: g.settings.Descriptors / descriptorsPerListener}
		servers = append(servers, &http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: exchangeTimeout, WriteTimeout: exchangeTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: bound.observe,
		})
	}
	return servers, listeners, nil
}

func closeAll(listeners []net.Listener) error {
	var all error
	for _, l := range listeners {
		all = errors.Join(all, l.Close())
	}
	return all
}
