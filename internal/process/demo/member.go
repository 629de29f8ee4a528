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

// member is one router of the fleet.
type member struct {
	id         galenalatch.RouterID
	dataCentre galenalatch.DataCentre
	router     *router.Router
	listeners  []net.Listener
	// caller, peer and operator are addresses.
	caller, peer, operator string

	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

func (s *site) addRouter(id string, dc galenalatch.DataCentre) error {
	r := &member{id: galenalatch.RouterID(id), dataCentre: dc, done: make(chan struct{})}
	s.routers = append(s.routers, r)
	var options []router.Option
	for _, address := range []*string{&r.caller, &r.peer, &r.operator} {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return err
		}
		*address = l.Addr().String()
		r.listeners = append(r.listeners, l)
		options = append(options, router.WithListener(l))
	}
	c := settings.Default()
	c.ID, c.DataCentre = r.id, dc
	c.Listen.Caller, c.Listen.Peer, c.Listen.Operator = r.caller, r.peer, r.operator
	token := secret.Secret{File: s.tokenFile()}
	c.Platform.Address, c.Platform.Token = "http://"+s.address, token
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

func (r *member) instance(leaving bool) galenalatch.Instance {
	return galenalatch.Instance{
		ID: string(r.id), Role: galenalatch.RouterRole, Address: r.peer, DataCentre: r.dataCentre, Leaving: leaving,
	}
}

func (r *member) close() {
	for _, l := range r.listeners {
		_ = l.Close()
	}
}

func (r *member) start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	go r.run(ctx)
}

func (r *member) run(ctx context.Context) {
	defer close(r.done)
	r.err = r.router.Run(ctx)
}

// wait returns the error with which the router ended.
func (r *member) wait() error {
	<-r.done
	return r.err
}

// ready reports whether the router wants new requests.
func (r *member) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.caller+"/readyz", nil)
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
