package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// plainInterval is the time between an answer to the client of a gateway and its next
	// request. With 8 gateways that is half of the load of the sheet.
	plainInterval = 800 * time.Millisecond
	// calmTime is the time before the other writer's entry, afterTime that after it.
	calmTime  = 5 * time.Second
	afterTime = 5 * time.Second
)

// otherWriter has another writer put one entry into the store that lacks fields. It stands
// under the id of a model server and names the service of another route. No request of that
// route may run at the model server.
func otherWriter(ctx context.Context, r *rig) (int, error) {
	r.store.write(twoServices())
	model, err := r.startWorker("i-00", "pool", "zone-1", 64)
	if err != nil {
		return 0, err
	}
	for i := range 4 {
		if _, err := r.startWorker(fmt.Sprintf("i-1%d", i), "desk", fmt.Sprintf("zone-%d", i+1), 6); err != nil {
			return 0, err
		}
	}
	if err := r.startGateways(ctx, 8); err != nil {
		return 0, err
	}
	if err := r.checkServed(ctx, "key"); err != nil {
		return 0, err
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	for _, g := range r.gateways {
		group.Go(func() { r.sendPlain(sending, g) })
	}
	if err := sleep(ctx, calmTime); err != nil {
		return 0, err
	}
	if r.trouble {
		r.store.write(model.incompleteEntry("desk"))
		r.record("another writer puts an entry of %s: service desk, no coldLeftMs, sequence and born, a number as version", model.id)
	}
	if err := sleep(ctx, afterTime); err != nil {
		return 0, err
	}
	stop()
	group.Wait()
	return r.countMisrouted(model), nil
}

// twoServices is the operator's configuration with a plain route to the service desk and a
// route of streams to the service pool.
func twoServices() row {
	return jsonRow("op", "config", map[string]any{
		"version":  7,
		"routes":   []any{plainRoute(nonIdempotent), streamRoute()},
		"services": []any{plainService(), streamService()},
		"limits":   callerLimits(),
		"tenants":  tenants("key"),
	})
}

// sendPlain sends requests to a gateway at intervals until ctx ends.
func (r *rig) sendPlain(ctx context.Context, g *gateway) {
	for sleep(ctx, plainInterval) == nil {
		r.send(context.WithoutCancel(ctx), call{gateway: g, method: "POST", path: plainPath, key: "key", body: "{}"})
	}
}

// incompleteEntry returns an entry of the server for a service in which fields are missing
// and one is of another type.
func (w *worker) incompleteEntry(service string) row {
	return jsonRow("servers", w.id, map[string]any{
		"service": service, "address": w.listener.Addr().String(), "zone": w.zone, "version": 1, "slots": 6, "state": "ready",
	})
}

// countMisrouted returns how many requests of the plain route have run at a server of
// another service.
func (r *rig) countMisrouted(w *worker) int {
	misrouted := slices.DeleteFunc(w.executions(), func(x execution) bool { return !strings.HasPrefix(x.path, plainPath) })
	for _, x := range misrouted {
		r.record("%s of route r-1, which goes to service desk, ran at %s of service %s", x.request, w.id, w.service)
	}
	return len(misrouted)
}
