package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// copyAge is the age of the copy from which the store comes back, awayTime how long
	// it is away, writeAgainTime the time within which the servers have written again.
	copyAge        = 3 * time.Second
	awayTime       = time.Second
	writeAgainTime = 250 * time.Millisecond
	// revokeTime is the bound on removed keys.
	revokeTime = 5 * time.Second
)

// restoredStore takes a key away while the store is away for a moment. The store comes
// back from a copy that is some seconds old, the operator and the servers write again, and
// requests with the key must not run any more revokeTime after the store's answer.
func restoredStore(ctx context.Context, r *rig) (int, error) {
	const kept, removed = "key-kept", "key-removed"
	r.store.write(plainConfiguration(7, kept, removed))
	for i := range 16 {
		if _, err := r.startWorker(fmt.Sprintf("i-%02d", i), "desk", fmt.Sprintf("zone-%d", i%4+1), 6); err != nil {
			return 0, err
		}
	}
	if err := r.startGateways(ctx, 8); err != nil {
		return 0, err
	}
	if err := sleep(ctx, 10*time.Second); err != nil {
		return 0, err
	}
	if err := r.checkServed(ctx, kept, removed); err != nil {
		return 0, err
	}
	backup, copied := r.store.copy(), time.Now()
	r.record("the copy of the store has version %d", backup.version)
	if err := sleep(ctx, copyAge); err != nil {
		return 0, err
	}
	left := time.Now()
	if r.trouble {
		r.record("the store is away at version %d", r.store.copy().version)
		r.store.leave()
	}
	if err := sleep(ctx, awayTime); err != nil {
		return 0, err
	}
	if r.trouble {
		r.store.restore(backup)
		r.record("the store is back with version %d", backup.version)
	}
	// The operator has tried to write this since the store was away.
	version, ok := r.store.write(plainConfiguration(9, kept))
	if !ok {
		return 0, fmt.Errorf("the store did not take the configuration")
	}
	acknowledged := time.Now()
	r.record("the store acknowledges configuration 9 without %s, version %d", removed, version)
	if r.trouble {
		for _, w := range r.workers {
			time.AfterFunc(rand.N(writeAgainTime), func() { w.writeAgain(copied, left) })
		}
		time.AfterFunc(writeAgainTime, func() { r.record("the servers have written again, version %d", r.store.copy().version) })
	}
	if err := sleep(ctx, time.Until(acknowledged.Add(revokeTime+500*time.Millisecond))); err != nil {
		return 0, err
	}
	return r.countRevoked(ctx, kept, removed)
}

// checkServed returns an error unless all gateways serve all keys.
func (r *rig) checkServed(ctx context.Context, keys ...string) error {
	for _, g := range r.gateways {
		for _, key := range keys {
			if a := r.send(ctx, call{gateway: g, method: "GET", path: plainPath, key: key}); a.status != 200 {
				return fmt.Errorf("%s answered %d before the disruption: %v", g.name, a.status, a.err)
			}
		}
	}
	return nil
}

// countRevoked sends requests with a kept and a removed key to all gateways for some
// seconds, and returns how many with the removed key have run.
func (r *rig) countRevoked(ctx context.Context, kept, removed string) (int, error) {
	sent := make(map[string]string)
	served := make(map[string]int)
	for range 5 {
		for _, g := range r.gateways {
			if a := r.send(ctx, call{gateway: g, method: "GET", path: plainPath, key: kept}); a.status == 200 {
				served[g.name]++
			}
			a := r.send(ctx, call{gateway: g, method: "GET", path: plainPath, key: removed})
			sent[a.request] = g.name
		}
		if err := sleep(ctx, time.Second); err != nil {
			return 0, err
		}
	}
	broken := 0
	byGateway := make(map[string]int)
	for _, w := range r.workers {
		for _, x := range w.executions() {
			if name, ok := sent[x.request]; ok {
				broken++
				byGateway[name]++
			}
		}
	}
	r.record("requests with the removed key that ran, by gateway: %v; served with the kept key: %v", byGateway, served)
	return broken, nil
}
