package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lostWorkers of allWorkers lose answers, lostPart of them, for lostTime.
	lostWorkers = 3
	allWorkers  = 5
	lostPart    = 0.4
	lostTime    = 4 * time.Second
	// overlapTime is how long a server may work on a request that goes on at another.
	overlapTime = 400 * time.Millisecond
	// streamInterval is the time between two requests to a gateway, streamTime how long
	// clients send.
	streamInterval = 200 * time.Millisecond
	streamTime     = 14 * time.Second
)

// lostReport has some servers lose a part of their answers, to streams and to calls for
// their report. No request may go on at another server while the one before still works on
// it overlapTime later.
func lostReport(ctx context.Context, r *rig) (int, error) {
	r.store.write(streamConfiguration())
	var losing atomic.Bool
	for i := range allWorkers {
		w, err := r.startWorker(fmt.Sprintf("i-%02d", i), "pool", fmt.Sprintf("zone-%d", i%4+1), 64)
		if err != nil {
			return 0, err
		}
		if i < lostWorkers {
			w.streams, w.reports = &loss{on: &losing}, &loss{on: &losing}
		}
	}
	if err := r.startGateways(ctx, 4); err != nil {
		return 0, err
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return 0, err
	}
	setLosing := func(on bool) {
		losing.Store(on)
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

// loss chooses the answers that a server loses while on is set: lostPart of them, and at no
// moment more.
type loss struct {
	on *atomic.Bool

	mu sync.Mutex
	// due is how many answers are to be lost.
	due float64
}

// next reports whether the next answer is lost. A nil loss loses none.
func (l *loss) next() bool {
	if l == nil || !l.on.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due += lostPart
	if l.due < 1 {
		return false
	}
	l.due--
	return true
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
