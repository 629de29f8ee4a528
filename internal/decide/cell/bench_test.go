package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/galenalatch/galenalatch"
)

// currentLoad returns a pool of the size of the two existing deployments: 12
// backend servers in 4 data centres and 8 routers.
func currentLoad(workspaces ...workspaceLoad) poolLoad {
	return poolLoad{
		pool:        galenalatch.Pool{Name: "m", Kind: galenalatch.ModelPool, ColdLimit: 2, WarmLimit: 16, MaxCost: 1000, CellsPerDataCentre: 1},
		dataCentres: 4, servers: 12, routers: 8, unitTime: 40 * time.Millisecond, maxRunning: 64, workspaces: workspaces,
	}
}

// workspacesNamed returns n copies of x, named by the prefix and a number.
func workspacesNamed(prefix string, n int, x workspaceLoad) []workspaceLoad {
	var all []workspaceLoad
	for i := range n {
		x.name = galenalatch.WorkspaceName(fmt.Sprintf("%s%d", prefix, i))
		all = append(all, x)
	}
	return all
}

// targetLoad returns pool number i of a deployment of the target size: 27
// pools with Zipf popularity share 600 backend servers and 1,100 backlogged
// workspaces. A server runs 91 requests of 392 tokens at 58 ms per token, so
// that the deployment runs 2,400 requests/s.
func targetLoad(i int) poolLoad {
	harmonic := 0.0
	for j := range 27 {
		harmonic += 1 / float64(j+1)
	}
	share := 1 / float64(i+1) / harmonic
	servers := max(6, int(600*share))
	per := max(1, (servers*4/24+5)/6)
	return poolLoad{
		pool:        galenalatch.Pool{Name: galenalatch.PoolName(fmt.Sprint("p", i)), Kind: galenalatch.ModelPool, ColdLimit: 8, WarmLimit: 91, MaxCost: 2048, CellsPerDataCentre: per},
		dataCentres: 6, servers: servers, routers: max(6*per, int(400*share)), unitTime: 58 * time.Millisecond, maxRunning: 128,
		workspaces: workspacesNamed("w", max(2, int(1100*share)), workspaceLoad{class: galenalatch.Interactive, openRequests: 72, cost: 392}),
	}
}

func anyWorkspace(*workspaceLoad) bool { return true }

func forEachPolicy(b *testing.B, z poolLoad, do func(b *testing.B, t *trial)) {
	for _, p := range policies {
		b.Run(p, func(b *testing.B) {
			for b.Loop() {
				do(b, newTrial(z, p))
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measureSaturated measures a pool in which every workspace is backlogged. It
// fails if the gap between workspaces exceeds the bound.
func measureSaturated(b *testing.B, t *trial, warm, seconds int) {
	t.measure(warm)
	t.reset()
	t.measure(seconds)
	gap, mean := t.serviceGap(anyWorkspace)
	b.ReportMetric(gap, "gap-units")
	b.ReportMetric(t.load.gapBound(), "bound-units")
	b.ReportMetric(mean, "mean-units")
	b.ReportMetric(100*t.utilisation, "util-%")
	if t.central == nil {
		if gap > t.load.gapBound() {
			b.Errorf("gap %.0f exceeds the bound %.0f", gap, t.load.gapBound())
		}
		busiest, mean := t.controlTraffic(seconds)
		b.ReportMetric(busiest, "busiest-B/s")
		b.ReportMetric(mean, "mean-B/s/node")
		for _, k := range slices.Sorted(maps.Keys(t.bytesByType)) {
			b.Logf("%-10s %8.0f B/s/node", k, float64(t.bytesByType[k])/float64(seconds*len(t.routers)))
		}
		b.ReportMetric(float64(t.decisionTime.Nanoseconds())/float64(max(1, t.grants)), "ns/grant")
	}
}

func BenchmarkCurrentSaturated(b *testing.B) {
	z := currentLoad(append(workspacesNamed("large", 3, workspaceLoad{class: galenalatch.Interactive, openRequests: 150, cost: 200}),
		workspacesNamed("small", 13, workspaceLoad{class: galenalatch.Interactive, openRequests: 30, cost: 50})...)...)
	forEachPolicy(b, z, func(b *testing.B, t *trial) { measureSaturated(b, t, 60, 120) })
}

func BenchmarkTargetLargestPool(b *testing.B) {
	forEachPolicy(b, targetLoad(0), func(b *testing.B, t *trial) { measureSaturated(b, t, 120, 60) })
}

// BenchmarkFlood measures the waiting times of a workspace with few requests
// while another one keeps 2000 requests open.
func BenchmarkFlood(b *testing.B) {
	z := currentLoad(append(workspacesNamed("flood", 1, workspaceLoad{class: galenalatch.Interactive, openRequests: 2000, cost: 200}),
		append(workspacesNamed("mid", 14, workspaceLoad{class: galenalatch.Interactive, openRequests: 10, cost: 100}),
			workspacesNamed("tiny", 1, workspaceLoad{class: galenalatch.Interactive, rate: 0.2, cost: 50})...)...)...)
	z.maxRunning = 192
	forEachPolicy(b, z, func(b *testing.B, t *trial) {
		t.measure(60)
		t.reset()
		t.measure(300)
		b.ReportMetric(t.waitPercentile("tiny0", 100), "tiny-worst-wait-s")
		b.ReportMetric(t.waitPercentile("tiny0", 50), "tiny-median-wait-s")
		b.ReportMetric(100*t.utilisation, "util-%")
	})
}

// BenchmarkInteractiveWithBatch measures interactive requests while batch
// requests fill the pool: those of workspaces that send the batch requests
// (w) and those of workspaces that send no others (clerk).
func BenchmarkInteractiveWithBatch(b *testing.B) {
	z := currentLoad(append(workspacesNamed("w", 8, workspaceLoad{class: galenalatch.Batch, openRequests: 40, cost: 500}),
		append(workspacesNamed("w", 8, workspaceLoad{class: galenalatch.Interactive, rate: 0.5, cost: 30}),
			workspacesNamed("clerk", 8, workspaceLoad{class: galenalatch.Interactive, rate: 0.5, cost: 30})...)...)...)
	forEachPolicy(b, z, func(b *testing.B, t *trial) {
		t.measure(60)
		t.reset()
		t.measure(300)
		for _, kind := range []string{"w", "clerk"} {
			worst, median := 0.0, 0.0
			for _, x := range t.workspaces {
				if x.class == galenalatch.Interactive && strings.HasPrefix(string(x.name), kind) {
					worst = max(worst, float64(x.waits.Max())/1000)
					median = max(median, float64(x.waits.ValueAtQuantile(50))/1000)
				}
			}
			b.ReportMetric(worst, kind+"-worst-wait-s")
			b.ReportMetric(median, kind+"-median-wait-s")
		}
		b.ReportMetric(100*t.utilisation, "util-%")
	})
}

// BenchmarkCellsWithoutServers measures a pool whose servers are all in one of
// its four cells, with few waiting requests. Most slots are lent.
func BenchmarkCellsWithoutServers(b *testing.B) {
	z := currentLoad(workspacesNamed("w", 16, workspaceLoad{class: galenalatch.Interactive, openRequests: 13, cost: 20})...)
	z.cellsWithServers = 1
	forEachPolicy(b, z, func(b *testing.B, t *trial) { measureSaturated(b, t, 60, 120) })
}

// BenchmarkSimultaneousStart measures the first minute after all workspaces
// start to send requests together. The baselines have no cold servers.
func BenchmarkSimultaneousStart(b *testing.B) {
	for name, z := range map[string]poolLoad{
		"current": currentLoad(workspacesNamed("w", 16, workspaceLoad{class: galenalatch.Interactive, openRequests: 40, cost: 60})...),
		"target":  targetLoad(0),
	} {
		b.Run(name, func(b *testing.B) {
			forEachPolicy(b, z, func(b *testing.B, t *trial) {
				t.measure(120)
				t.setPaused(true)
				t.measure(120)
				t.reset()
				t.setPaused(false)
				t.measure(60)
				gap, _ := t.serviceGap(anyWorkspace)
				b.ReportMetric(gap, "gap-units")
				b.ReportMetric(100*t.utilisation, "util-%")
				if t.central == nil {
					b.ReportMetric(float64(t.peakBytes)/float64(len(t.routers)), "peak-B/s/node")
				}
			})
		})
	}
}

// BenchmarkTargetAllPools runs the 27 pools of the target size, one after the
// other, and adds up their control traffic and decision time over 400 routers.
func BenchmarkTargetAllPools(b *testing.B) {
	for _, p := range policies {
		b.Run(p, func(b *testing.B) {
			for b.Loop() {
				var bytes, work, busy, slots, ratio, grants float64
				for i := range 27 {
					t := newTrial(targetLoad(i), p)
					t.measure(120)
					t.reset()
					t.measure(30)
					gap, _ := t.serviceGap(anyWorkspace)
					ratio = max(ratio, gap/t.load.gapBound())
					n := float64(t.load.servers * t.pool.WarmLimit)
					busy, slots = busy+n*t.utilisation, slots+n
					bytes += float64(t.totalBytes()) / 30
					work += t.decisionTime.Seconds() / 30
					grants += float64(t.grants) / 30
				}
				b.ReportMetric(100*busy/slots, "util-%")
				b.ReportMetric(100*ratio, "worst-gap-%-of-bound")
				if p == "cells" {
					b.ReportMetric(bytes/400, "mean-B/s/node")
					b.ReportMetric(100*work/400, "core-%/node")
					b.ReportMetric(grants, "grants/s")
				}
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (t *trial) setPaused(paused bool) {
	for _, x := range t.workspaces {
		x.paused = paused
		t.submitOpen(x)
	}
}

// BenchmarkDataCentreOutOfService measures the service before, while and after
// a data centre is out of service. The pool of the target size has 38 backend
// servers. The baselines lose and regain the slots at once and have no cold
// servers.
func BenchmarkDataCentreOutOfService(b *testing.B) {
	for name, z := range map[string]poolLoad{
		"current": currentLoad(workspacesNamed("w", 16, workspaceLoad{class: galenalatch.Interactive, openRequests: 30, cost: 50})...),
		"target":  targetLoad(3),
	} {
		b.Run(name, func(b *testing.B) { forEachPolicy(b, z, measureOutage) })
	}
}

func measureOutage(b *testing.B, t *trial) {
	t.measure(120)
	for _, phase := range []string{"before", "out", "back"} {
		if phase != "before" {
			t.setDataCentreOut("d0", phase == "out")
		}
		if phase == "out" {
			t.run(30 * time.Second)
		}
		t.reset()
		t.measure(60)
		low := int64(1 << 62)
		for _, x := range t.workspaces {
			low = min(low, x.samples[59]-x.samples[0])
		}
		b.ReportMetric(100*t.utilisation, phase+"-util-%")
		b.ReportMetric(float64(low), phase+"-lowest-units")
	}
}

// setDataCentreOut takes a data centre out of service or back in.
func (t *trial) setDataCentreOut(d galenalatch.DataCentre, out bool) {
	t.catalogue = t.catalogue.WithDataCentre(d, out)
	if t.central != nil {
		part := t.load.servers / t.load.dataCentres * t.pool.WarmLimit
		if out {
			part = -part
		}
		t.central.capacity += part
		t.central.dispatch()
		return
	}
	for _, n := range t.routers {
		for _, h := range n.cells {
			h.cell.SetCatalogue(t.now, t.catalogue)
			n.scheduleTick(h)
		}
	}
}
