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

// today is the size of the two deployments: 12 workers in 4 data centres and
// 8 entries.
func today(tenants ...tenant) size {
	return size{
		pool:    galenalatch.Pool{Name: "m", Kind: galenalatch.ModelPool, ColdLimit: 2, WarmLimit: 16, MaxCost: 1000, CellsPerDataCentre: 1},
		centres: 4, workers: 12, nodes: 8, unit: 40 * time.Millisecond, maxRunning: 64, tenants: tenants,
	}
}

// named returns n tenants with the prefix in their names.
func named(prefix string, n int, x tenant) []tenant {
	var all []tenant
	for i := range n {
		x.name = galenalatch.WorkspaceName(fmt.Sprintf("%s%d", prefix, i))
		all = append(all, x)
	}
	return all
}

// target returns pool number i of the target size: 27 pools with Zipf
// popularity share 600 workers and 1,100 backlogged workspaces. A worker runs
// 91 requests of 392 tokens at 58 ms each, which makes 2,400 requests/s.
func target(i int) size {
	harmonic := 0.0
	for j := range 27 {
		harmonic += 1 / float64(j+1)
	}
	share := 1 / float64(i+1) / harmonic
	workers := max(6, int(600*share))
	per := max(1, (workers*4/24+5)/6)
	return size{
		pool:    galenalatch.Pool{Name: galenalatch.PoolName(fmt.Sprint("p", i)), Kind: galenalatch.ModelPool, ColdLimit: 8, WarmLimit: 91, MaxCost: 2048, CellsPerDataCentre: per},
		centres: 6, workers: workers, nodes: max(6*per, int(400*share)), unit: 58 * time.Millisecond, maxRunning: 128,
		tenants: named("w", max(2, int(1100*share)), tenant{class: galenalatch.Interactive, open: 72, cost: 392}),
	}
}

func all(*tenant) bool { return true }

func each(b *testing.B, z size, do func(b *testing.B, t *trial)) {
	for _, p := range policies {
		b.Run(p, func(b *testing.B) {
			for b.Loop() {
				do(b, newTrial(z, p))
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// saturate measures a pool in which every workspace is backlogged.
func saturate(b *testing.B, t *trial, warm, seconds int) {
	t.measure(warm)
	t.reset()
	t.measure(seconds)
	gap, mean := t.gap(all)
	b.ReportMetric(gap, "gap-units")
	b.ReportMetric(t.size.bound(), "bound-units")
	b.ReportMetric(mean, "mean-units")
	b.ReportMetric(100*t.busy, "util-%")
	if t.central == nil {
		if gap > t.size.bound() {
			b.Errorf("gap %.0f exceeds the bound %.0f", gap, t.size.bound())
		}
		busiest, mean := t.control(seconds)
		b.ReportMetric(busiest, "busiest-B/s")
		b.ReportMetric(mean, "mean-B/s/node")
		for _, k := range slices.Sorted(maps.Keys(t.byType)) {
			b.Logf("%-10s %8.0f B/s/node", k, float64(t.byType[k])/float64(seconds*len(t.nodes)))
		}
		b.ReportMetric(float64(t.work.Nanoseconds())/float64(max(1, t.grants)), "ns/grant")
	}
}

func BenchmarkTodaySaturated(b *testing.B) {
	z := today(append(named("large", 3, tenant{class: galenalatch.Interactive, open: 150, cost: 200}),
		named("small", 13, tenant{class: galenalatch.Interactive, open: 30, cost: 50})...)...)
	each(b, z, func(b *testing.B, t *trial) { saturate(b, t, 60, 120) })
}

func BenchmarkTargetHotPool(b *testing.B) {
	each(b, target(0), func(b *testing.B, t *trial) { saturate(b, t, 120, 60) })
}

// BenchmarkFlood measures the smallest workspace while another one floods.
func BenchmarkFlood(b *testing.B) {
	z := today(append(named("flood", 1, tenant{class: galenalatch.Interactive, open: 2000, cost: 200}),
		append(named("mid", 14, tenant{class: galenalatch.Interactive, open: 10, cost: 100}),
			named("tiny", 1, tenant{class: galenalatch.Interactive, rate: 0.2, cost: 50})...)...)...)
	z.maxRunning = 192
	each(b, z, func(b *testing.B, t *trial) {
		t.measure(60)
		t.reset()
		t.measure(300)
		b.ReportMetric(t.wait("tiny0", 100), "tiny-worst-wait-s")
		b.ReportMetric(t.wait("tiny0", 50), "tiny-median-wait-s")
		b.ReportMetric(100*t.busy, "util-%")
	})
}

// BenchmarkLongPlans measures interactive requests while batch requests of
// the same workspaces (w) and of others (clerk) fill the pool.
func BenchmarkLongPlans(b *testing.B) {
	z := today(append(named("w", 8, tenant{class: galenalatch.Batch, open: 40, cost: 500}),
		append(named("w", 8, tenant{class: galenalatch.Interactive, rate: 0.5, cost: 30}),
			named("clerk", 8, tenant{class: galenalatch.Interactive, rate: 0.5, cost: 30})...)...)...)
	each(b, z, func(b *testing.B, t *trial) {
		t.measure(60)
		t.reset()
		t.measure(300)
		for _, kind := range []string{"w", "clerk"} {
			worst, median := 0.0, 0.0
			for _, x := range t.tenants {
				if x.class == galenalatch.Interactive && strings.HasPrefix(string(x.name), kind) {
					worst = max(worst, float64(x.waits.Max())/1000)
					median = max(median, float64(x.waits.ValueAtQuantile(50))/1000)
				}
			}
			b.ReportMetric(worst, kind+"-worst-wait-s")
			b.ReportMetric(median, kind+"-median-wait-s")
		}
		b.ReportMetric(100*t.busy, "util-%")
	})
}

// BenchmarkCellsWithoutServers measures a pool whose servers are all in one of
// four cells, with few waiting requests. Most slots are lent.
func BenchmarkCellsWithoutServers(b *testing.B) {
	z := today(named("w", 16, tenant{class: galenalatch.Interactive, open: 13, cost: 20})...)
	z.serving = 1
	each(b, z, func(b *testing.B, t *trial) { saturate(b, t, 60, 120) })
}

// BenchmarkTermStart measures the first minute after nearly all workspaces
// wake together. The baselines are never cold.
func BenchmarkTermStart(b *testing.B) {
	for name, z := range map[string]size{
		"today":  today(named("w", 16, tenant{class: galenalatch.Interactive, open: 40, cost: 60})...),
		"target": target(0),
	} {
		b.Run(name, func(b *testing.B) {
			each(b, z, func(b *testing.B, t *trial) {
				t.measure(120)
				t.setAsleep(true)
				t.measure(120)
				t.reset()
				t.setAsleep(false)
				t.measure(60)
				gap, _ := t.gap(all)
				b.ReportMetric(gap, "gap-units")
				b.ReportMetric(100*t.busy, "util-%")
				if t.central == nil {
					b.ReportMetric(float64(t.peak)/float64(len(t.nodes)), "peak-B/s/node")
				}
			})
		})
	}
}

// BenchmarkTargetAllPools runs the 27 pools of the target size, one after the
// other, and adds up their control traffic and decision time over 400 nodes.
func BenchmarkTargetAllPools(b *testing.B) {
	for _, p := range policies {
		b.Run(p, func(b *testing.B) {
			for b.Loop() {
				var bytes, work, busy, slots, ratio, grants float64
				for i := range 27 {
					t := newTrial(target(i), p)
					t.measure(120)
					t.reset()
					t.measure(30)
					gap, _ := t.gap(all)
					ratio = max(ratio, gap/t.size.bound())
					n := float64(t.size.workers * t.pool.WarmLimit)
					busy, slots = busy+n*t.busy, slots+n
					bytes += float64(t.sent()) / 30
					work += t.work.Seconds() / 30
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

func (t *trial) setAsleep(asleep bool) {
	for _, x := range t.tenants {
		x.asleep = asleep
		t.fill(x)
	}
}

// BenchmarkDataCentreLeaves measures the service before, while and after a
// data centre is out of service. The target is a pool of 38 workers. The
// baselines lose and regain the slots at once and are never cold.
func BenchmarkDataCentreLeaves(b *testing.B) {
	for name, z := range map[string]size{
		"today":  today(named("w", 16, tenant{class: galenalatch.Interactive, open: 30, cost: 50})...),
		"target": target(3),
	} {
		b.Run(name, func(b *testing.B) { each(b, z, leaveAndReturn) })
	}
}

func leaveAndReturn(b *testing.B, t *trial) {
	t.measure(120)
	for _, phase := range []string{"before", "out", "back"} {
		if phase != "before" {
			t.setOut("d0", phase == "out")
		}
		if phase == "out" {
			t.run(30 * time.Second)
		}
		t.reset()
		t.measure(60)
		low := int64(1 << 62)
		for _, x := range t.tenants {
			low = min(low, x.samples[59]-x.samples[0])
		}
		b.ReportMetric(100*t.busy, phase+"-util-%")
		b.ReportMetric(float64(low), phase+"-lowest-units")
	}
}

// setOut takes a data centre out of service or back in.
func (t *trial) setOut(d galenalatch.DataCentre, out bool) {
	t.catalogue = t.catalogue.WithDataCentre(d, out)
	if t.central != nil {
		part := t.size.workers / t.size.centres * t.pool.WarmLimit
		if out {
			part = -part
		}
		t.central.capacity += part
		t.central.pump()
		return
	}
	for _, n := range t.nodes {
		for _, h := range n.cells {
			h.cell.SetCatalogue(t.now, t.catalogue)
			n.wake(h)
		}
	}
}
