package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// drainTime is the time after which a server that leaves gets no more requests.
	drainTime = 2 * time.Second
	// writeAfter is the time from the leaving to the other writer's entry, exitAfter that
	// to the end of the server's process.
	writeAfter = 2500 * time.Millisecond
	exitAfter  = 6 * time.Second
	// plainInterval is the time between an answer to the client of a gateway and its next
	// request. With 8 gateways that is about the load of the sheet.
	plainInterval = 550 * time.Millisecond
)

// otherWriter has a server leave without a report: its entry is removed, and it serves on
// for a while. Then another writer puts an entry of it into the store that lacks fields. No
// request may reach the server later than drainTime after the store's answer.
func otherWriter(ctx context.Context, r *rig) (int, error) {
	r.store.write(plainConfiguration(7, "key"))
	for i := range 4 {
		if _, err := r.startWorker(fmt.Sprintf("i-%02d", i), "desk", fmt.Sprintf("zone-%d", i+1), 6); err != nil {
			return 0, err
		}
	}
	if err := r.startGateways(ctx, 8); err != nil {
		return 0, err
	}
	// The machines are in touch contactMs after their start.
	if err := sleep(ctx, 5*time.Second); err != nil {
		return 0, err
	}
	if err := r.checkServed(ctx, "key"); err != nil {
		return 0, err
	}
	sending, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, g := range r.gateways {
		group.Go(func() { r.sendPlain(sending, g) })
	}
	w := r.workers[0]
	left, err := r.leaveAndWrite(ctx, w)
	stop()
	group.Wait()
	if err != nil {
		return 0, err
	}
	return r.countLate(w, left), nil
}

// sendPlain sends requests to a gateway at intervals until ctx ends.
func (r *rig) sendPlain(ctx context.Context, g *gateway) {
	for sleep(ctx, plainInterval) == nil {
		r.send(context.WithoutCancel(ctx), call{gateway: g, method: "GET", path: "/status/1", key: "key"})
	}
}

// leaveAndWrite has a server leave and another writer put an entry of it into the store. It
// returns the time of the store's answer to the leaving.
func (r *rig) leaveAndWrite(ctx context.Context, w *worker) (time.Time, error) {
	if err := sleep(ctx, 2*time.Second); err != nil {
		return time.Time{}, err
	}
	left := w.leave()
	r.record("the store acknowledges that %s is gone", w.id)
	if err := sleep(ctx, writeAfter); err != nil {
		return left, err
	}
	if r.trouble {
		r.store.write(w.incompleteEntry())
		r.record("another writer puts an entry of %s without coldLeftMs, sequence and born, and with a number as version", w.id)
	}
	if err := sleep(ctx, time.Until(left.Add(exitAfter))); err != nil {
		return left, err
	}
	w.close()
	r.record("%s has ended", w.id)
	return left, sleep(ctx, 2*time.Second)
}

// incompleteEntry returns an entry of the server in which fields are missing and one is of
// another type.
func (w *worker) incompleteEntry() row {
	return jsonRow("servers", w.id, map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": 1, "slots": w.slots, "state": "ready",
	})
}

// countLate returns how many requests reached a server later than drainTime after the
// store's answer.
func (r *rig) countLate(w *worker, left time.Time) int {
	late := slices.DeleteFunc(w.executions(), func(x execution) bool { return x.began.Sub(left) <= drainTime })
	for _, x := range late {
		r.record("%s reached %s %s after the store had acknowledged that it is gone", x.request, w.id, x.began.Sub(left).Round(time.Millisecond))
	}
	return len(late)
}
