package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// lostWorkers of allWorkers lose answers, lostPart of them, for lostTime.
	lostWorkers = 3
	allWorkers  = 5
	lostPart    = 0.4
	lostTime    = 6 * time.Second
	// overlapTime is how long a server may work on a request that goes on at another.
	overlapTime = 400 * time.Millisecond
	// streamInterval is the time between two requests to a gateway, streamTime how long
	// clients send.
	streamInterval = 200 * time.Millisecond
	streamTime     = 14 * time.Second
)

// streamConfiguration is the operator's configuration with one route of streams that may
// be resumed.
func streamConfiguration() row {
	return jsonRow("op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "prefix": "/plan/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 800, "priority": 1,
			"service": "pool", "maxAttempts": 2, "public": false, "sticky": true, "streamResume": true, "gapAimMs": 300,
		}},
		"services": []any{map[string]any{
			"name": "pool", "healthPath": "/health", "maxConns": 370, "coldStartS": 0.0, "coldPerS": 0.0,
			"engine": map[string]any{"slots": 64, "kvCapacityTokens": 493270, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 350000},
		"tenants": []any{map[string]any{"name": "hule930", "keys": []string{"key"}, "priority": 1}},
	})
}

// lostReport has some servers lose a part of their answers, to streams and to calls for
// their report. No request may go on at another server while the one before still works on
// it overlapTime later.
func lostReport(ctx context.Context, r *rig) (int, error) {
	r.store.write(streamConfiguration())
	var mu sync.Mutex
	losing := false
	for i := range allWorkers {
		w, err := r.startWorker(fmt.Sprintf("i-%02d", i), "pool", fmt.Sprintf("zone-%d", i%4+1), 64)
		if err != nil {
			return 0, err
		}
		if i < lostWorkers {
			w.losesAnswer = func(w *worker, request string) bool {
				mu.Lock()
				defer mu.Unlock()
				return losing && fraction(request+w.id) < lostPart
			}
		}
	}
	if err := r.startGateways(ctx, 4); err != nil {
		return 0, err
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return 0, err
	}
	setLosing := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		losing = on
		r.record("servers lose answers: %v", on)
	}
	if r.trouble {
		time.AfterFunc(4*time.Second, func() { setLosing(true) })
		time.AfterFunc(4*time.Second+lostTime, func() { setLosing(false) })
	}
	var group sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < streamTime; {
		for _, g := range r.gateways {
			group.Go(func() {
				r.send(ctx, call{gateway: g, method: "POST", path: "/plan/2f", key: "key", body: "{}", header: map[string]string{
					"Model": "m", "Token-Count": "1460,80", "Prompt-Prefix": "5c1e07a2:800," + newID()[:8] + ":660",
				}})
			})
		}
		if err := sleep(ctx, streamInterval); err != nil {
			return 0, err
		}
	}
	group.Wait()
	return r.countOverlaps(), nil
}

// fraction returns a number from 0 to 1 that depends on a text.
func fraction(s string) float64 {
	h := fnv.New32a()
	// A hash returns no errors.
	_, _ = h.Write([]byte(s))
	return float64(h.Sum32()%1000) / 1000
}

// countOverlaps returns how many requests went on at another server while the one before
// still worked on them overlapTime later.
func (r *rig) countOverlaps() int {
	runs := make(map[string][]execution)
	lost := 0
	for _, w := range r.workers {
		lost += w.lost
		for _, x := range w.executions() {
			runs[x.request] = append(runs[x.request], x)
		}
	}
	broken, again := 0, 0
	for request, all := range runs {
		slices.SortFunc(all, func(x, y execution) int { return x.began.Compare(y.began) })
		for i := 1; i < len(all); i++ {
			again++
			before, next := all[i-1], all[i]
			overlap := before.ended.Sub(next.began)
			if strings.Compare(before.worker, next.worker) != 0 && overlap > overlapTime {
				broken++
				r.record("%s went on at %s while %s worked on it for %s more", request, next.worker, before.worker, overlap.Round(time.Millisecond))
			}
		}
	}
	r.record("answers lost: %d; requests sent once more: %d; with the server before still at work: %d", lost, again, broken)
	return broken
}
