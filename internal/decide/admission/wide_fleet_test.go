package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/share"
)

const (
	wideRouters = 300
	// reportInterval is the age of the sums that a router has of the others when they
	// come; they are twice as old when the next ones come.
	reportInterval = 600 * time.Millisecond
	wideLength     = 26 * time.Second
	// rulePeriod is the period over which a workspace must not get less than half of what
	// it asks or of what the best served one gets.
	rulePeriod = 6
	// ruleFrom is the second from which on the rules are checked.
	ruleFrom = 4
)

// wideWorkspace is a workspace whose requests come at random times to random ones of some routers.
type wideWorkspace struct {
	name galenalatch.WorkspaceName
	// rate is what it asks for in tokens per second, surge the factor by which that grows
	// from at to until.
	rate, surge float64
	at, until   time.Duration
	// first and routers are the routers at which its requests come.
	first, routers int
	// late is added to the predictions of its routers.
	late time.Duration
}

func (w wideWorkspace) demand(at time.Duration) float64 {
	if w.surge > 0 && at >= w.at && at < w.until {
		return w.surge * w.rate
	}
	return w.rate
}

// second is what a workspace asked and got within a second. waited is set if one of its
// requests was refused.
type second struct {
	asked, got float64
	waited     bool
}

// wideFleet is a fleet of many routers that each see few requests. Each knows of the others
// what they did reportInterval to two of them ago, as one sum.
type wideFleet struct {
	ledgers  []*share.Ledger
	reported []map[uint32]share.Usage
	pool     engines
	random   *rand.Rand
	// configured is the configured throughput.
	configured float64
}

func newWideFleet(pool engines, configured float64, seed uint64) *wideFleet {
	f := &wideFleet{pool: pool, configured: configured, random: rand.New(rand.NewPCG(seed, 2)), reported: make([]map[uint32]share.Usage, wideRouters)}
	for range wideRouters {
		f.ledgers = append(f.ledgers, share.New(4*time.Second))
	}
	return f
}

func (f *wideFleet) exchange(now time.Time) {
	sum := make(map[uint32]share.Usage)
	for _, r := range f.reported {
		for k, u := range r {
			s := sum[k]
			sum[k] = share.Usage{Requested: s.Requested + u.Requested, Started: s.Started + u.Started}
		}
	}
	for i, l := range f.ledgers {
		others := make(map[uint32]share.Usage, len(sum))
		for k, u := range sum {
			own := f.reported[i][k]
			others[k] = share.Usage{Requested: u.Requested - own.Requested, Started: u.Started - own.Started}
		}
		l.SetRemote(now, galenalatch.RemoteDataCentres, others, share.Aggregate{}, 4*time.Second)
		f.reported[i] = l.LocalUsage(now)
	}
}

// request makes one request of a workspace. It reports whether it was admitted.
func (f *wideFleet) request(now time.Time, w wideWorkspace) bool {
	const first, prefill = 50 * time.Millisecond, 40 * time.Millisecond
	l := f.ledgers[w.first+f.random.IntN(w.routers)]
	l.Add(now, w.name, share.Usage{Requested: requestSize})
	queue := f.pool.wait(f.random)
	d := Request{
		TargetLatency: 800 * time.Millisecond, Wait: queue + first + prefill + w.late, Queue: queue, Prefill: prefill, MeanPrefill: prefill,
		Fractions: l.Fractions(now, w.name, f.configured),
	}
	if !Default().Admit(d) {
		return false
	}
	l.Add(now, w.name, share.Usage{Started: requestSize})
	f.pool.backlog += requestSize
	return true
}

// run plays the demand of the workspaces. It returns what they asked and got in each second.
func (f *wideFleet) run(workspaces []wideWorkspace) map[galenalatch.WorkspaceName][]second {
	seconds := make(map[galenalatch.WorkspaceName][]second)
	due := make([]float64, len(workspaces))
	for i, w := range workspaces {
		seconds[w.name] = make([]second, wideLength/time.Second)
		due[i] = f.random.ExpFloat64()
	}
	begin := time.Unix(1000, 0)
	for at := time.Duration(0); at < wideLength; at += step {
		now := begin.Add(at)
		if at%reportInterval == 0 {
			f.exchange(now)
		}
		f.pool.backlog = max(f.pool.backlog-f.pool.rate*step.Seconds(), 0)
		for i, w := range workspaces {
			s := &seconds[w.name][at/time.Second]
			for due[i] -= w.demand(at) * step.Seconds() / requestSize; due[i] <= 0; due[i] += f.random.ExpFloat64() {
				s.asked += requestSize
				if f.request(now, w) {
					s.got += requestSize
				} else {
					s.waited = true
				}
			}
		}
	}
	return seconds
}

// checkFair fails if a workspace that waits in each of six seconds gets less than half of
// what it asks or what the best served one gets, whichever is less second by second.
func checkFair(t *testing.T, seconds map[galenalatch.WorkspaceName][]second) {
	t.Helper()
	for i := ruleFrom; i+rulePeriod <= int(wideLength/time.Second); i++ {
		var best []second
		for _, w := range seconds {
			if w := w[i : i+rulePeriod]; best == nil || got(w) > got(best) {
				best = w
			}
		}
		for name, w := range seconds {
			w := w[i : i+rulePeriod]
			if slices.ContainsFunc(w, func(s second) bool { return !s.waited }) {
				continue
			}
			bound := 0.0
			for j, s := range w {
				bound += min(s.asked, best[j].got) / 2
			}
			if got(w)+3*requestSize < bound {
				t.Errorf("%s got %.0f tokens from %d s, the best served workspace %.0f", name, got(w), i, got(best))
			}
		}
	}
}

// checkBusy fails if the engines do less than four fifths of their work in six seconds,
// less a second for the changes of demand.
func checkBusy(t *testing.T, seconds map[galenalatch.WorkspaceName][]second, rate float64) {
	t.Helper()
	for i := ruleFrom; i+rulePeriod <= int(wideLength/time.Second); i++ {
		total := 0.0
		for _, w := range seconds {
			total += got(w[i : i+rulePeriod])
		}
		if total < 0.8*(rulePeriod-1)*rate {
			t.Errorf("%.0f tokens were started from %d s, of %.0f that the engines can do", total, i, rulePeriod*rate)
		}
	}
}

func got(w []second) float64 {
	sum := 0.0
	for _, s := range w {
		sum += s.got
	}
	return sum
}

// Guards against refusals at idle engines, because the time that a request takes there by
// itself is above the limit of its workspace: then a workspace at a router that predicts
// longer times gets less than half of others, and the engines stand idle.
func TestIdleEnginesTakeRefusedRequests(t *testing.T) {
	const actual = 1e6
	for _, configured := range []float64{actual / 4, actual / 2, actual} {
		for _, late := range []time.Duration{0, 60 * time.Millisecond, 120 * time.Millisecond} {
			t.Run(fmt.Sprintf("%.2f of the throughput configured, one router %s late", configured/actual, late), func(t *testing.T) {
				workspaces := []wideWorkspace{
					{name: "surging", rate: 0.07 * actual, surge: 14, at: 12 * time.Second, until: 19 * time.Second, routers: wideRouters},
					{name: "single", rate: 0.85 * actual, first: 7, routers: 1, late: late},
				}
				for i := range 3 {
					workspaces = append(workspaces, wideWorkspace{name: galenalatch.WorkspaceName(fmt.Sprint("wide-", i)), rate: 0.2 * actual, routers: wideRouters})
				}
				for i := range 30 {
					workspaces = append(workspaces, wideWorkspace{name: galenalatch.WorkspaceName(fmt.Sprint("small-", i)), rate: 0.35 * actual / 30, routers: wideRouters})
				}
				seconds := newWideFleet(engines{rate: actual, spread: 1}, configured, 1).run(workspaces)
				checkFair(t, seconds)
				checkBusy(t, seconds, actual)
			})
		}
	}
}
