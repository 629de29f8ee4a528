package demo

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/duration"
	"github.com/galenalatch/galenalatch/internal/config/secret"
	"github.com/galenalatch/galenalatch/internal/config/settings"
	"github.com/galenalatch/galenalatch/internal/process/router"
)

// fleetRouter is one router of the fleet with its listeners.
type fleetRouter struct {
	id                                          galenalatch.RouterID
	dataCentre                                  galenalatch.DataCentre
	router                                      *router.Router
	listeners                                   []net.Listener
	callerAddress, peerAddress, operatorAddress string

	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

func (s *fleet) addRouter(id string, dc galenalatch.DataCentre) error {
	r := &fleetRouter{id: galenalatch.RouterID(id), dataCentre: dc, done: make(chan struct{})}
	s.routers = append(s.routers, r)
	var options []router.Option
	for _, address := range []*string{&r.callerAddress, &r.peerAddress, &r.operatorAddress} {
		l, err := net.Listen("tcp", loopbackAddress)
		if err != nil {
			return err
		}
		*address = l.Addr().String()
		r.listeners = append(r.listeners, l)
		options = append(options, router.WithListener(l))
	}
	c := settings.Default()
	c.ID, c.DataCentre = r.id, dc
	c.Listen.Caller, c.Listen.Peer, c.Listen.Operator = r.callerAddress, r.peerAddress, r.operatorAddress
	token := secret.Secret{File: s.tokenFile()}
	c.Platform.Address, c.Platform.Token = "http://"+s.platformAddress, token
	c.Tokens.Peer, c.Tokens.Operator = token, token
	c.Drain.Delay = duration.Duration(time.Second)
	c.Drain.Limit = duration.Duration(time.Minute)
	if err := c.Check(); err != nil {
		return err
	}
	var err error
	if r.router, err = router.New(c, s.log, options...); err != nil {
		return err
	}
	return s.platform.SetInstance(r.instance(false))
}

func (r *fleetRouter) instance(leaving bool) galenalatch.Instance {
	return galenalatch.Instance{
		ID: string(r.id), Role: galenalatch.RouterRole, Address: r.peerAddress, DataCentre: r.dataCentre, Leaving: leaving,
	}
}

func (r *fleetRouter) close() {
	for _, l := range r.listeners {
		_ = l.Close()
	}
}

func (r *fleetRouter) start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	go r.run(ctx)
}

func (r *fleetRouter) run(ctx context.Context) {
	defer close(r.done)
	r.err = r.router.Run(ctx)
}

// wait waits until the router has stopped and returns its error.
func (r *fleetRouter) wait() error {
	<-r.done
	return r.err
}

// ready reports whether the router accepts new requests.
func (r *fleetRouter) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.callerAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
