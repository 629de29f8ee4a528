package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/freshness"
	"github.com/galenalatch/galenalatch/internal/peer/wire"
)

const (
	// frameBytes are the frame's head and the WebSocket's head with mask.
	frameBytes = 9
	round      = 250 * time.Millisecond
	cells      = 300
)

// views is a fleet of views in one process. All ask in each round in random
// order, and answers arrive at once.
type views struct {
	b       *testing.B
	codec   *wire.Codec
	rand    *rand.Rand
	now     time.Time
	down    bool
	always  bool
	packed  bool
	list    []*freshness.View
	ids     []galenalatch.RouterID
	index   map[galenalatch.RouterID]int
	bytes   []int
	links   map[[2]int]bool
	nextAsk []time.Time
	version galenalatch.Version
	listSum uint64
}

func newViews(b *testing.B, n int) *views {
	c, err := wire.New()
	assert.NilError(b, err)
	f := &views{
		b: b, codec: c, packed: true, rand: rand.New(rand.NewPCG(1, 2)), now: time.Now(),
		index: make(map[galenalatch.RouterID]int), bytes: make([]int, n), links: make(map[[2]int]bool),
		nextAsk: make([]time.Time, n), version: 1,
	}
	f.ids = benchIDs(n)
	for i, id := range f.ids {
		f.index[id] = i
		f.list = append(f.list, freshness.New(freshness.Options{Self: id, Started: f.now, Stamp: 1 << 31}))
	}
	f.listSum = listSum(f.ids)
	f.now = f.now.Add(time.Millisecond)
	for i, v := range f.list {
		v.SetListed(f.ids)
		v.Hold(1, freshness.Lists{Current: f.ids})
		v.Read(f.now, 1)
		f.nextAsk[i] = f.now.Add(time.Duration(f.rand.Int64N(int64(v.ReadInterval(f.now)))))
	}
	for i := range cells {
		h := galenalatch.Holder{
			Cell:   galenalatch.CellID{Pool: galenalatch.PoolName(fmt.Sprint("model-", i/10)), DataCentre: "bical", Index: i % 10},
			Router: f.ids[i%n], Epoch: 12,
		}
		for _, v := range f.list {
			v.SetHolder(f.now, h)
		}
	}
	for range 40 {
		f.round()
	}
	return f
}

// listSum returns the checksum of a list as a router sends it that has no
// confirmation.
func listSum(ids []galenalatch.RouterID) uint64 {
	v := freshness.New(freshness.Options{Self: "x", Started: time.Now()})
	v.SetListed(ids)
	return v.Ask(time.Now(), "x").Gossip.ListSum
}

func (f *views) count(from, to int, m galenalatch.Message) {
	b, err := f.codec.Encode(m)
	assert.NilError(f.b, err)
	f.bytes[from] += len(b) + frameBytes
	f.bytes[to] += len(b) + frameBytes
	f.links[[2]int{min(from, to), max(from, to)}] = true
}

// round lets 250 ms pass and returns the freshness of the fleet.
func (f *views) round() {
	f.now = f.now.Add(round)
	for _, i := range f.rand.Perm(len(f.list)) {
		v := f.list[i]
		if !f.down && !f.now.Before(f.nextAsk[i]) {
			v.Read(f.now, f.version)
			f.nextAsk[i] = f.now.Add(v.ReadInterval(f.now))
		}
		for _, p := range v.Partners(f.now, f.rand) {
			j := f.index[p]
			o := f.list[j]
			q := v.Ask(f.now, p)
			if f.always {
				q.Gossip.Holders = v.Holders()
				q.Gossip.ListSum = f.listSum
			}
			if q.Gossip.ListSum != 0 && !f.packed {
				q.Gossip.ListSum = 1
			}
			f.count(i, j, q)
			a := o.Answer(f.now, q)
			if f.always {
				a.Holders = o.Holders()
			}
			f.count(j, i, a)
			v.Merge(f.now, p, a)
			f.learn(i, j)
			f.learn(j, i)
		}
	}
}

// learn lets a router that is behind fetch a change of 300 bytes.
func (f *views) learn(i, j int) {
	if v := f.list[j].Held(); v > f.list[i].Held() {
		f.count(i, j, galenalatch.ChangesAsk{After: f.list[i].Held()})
		f.count(j, i, galenalatch.Changes{Changes: [][]byte{make([]byte, 300)}})
		f.list[i].Hold(v, freshness.Lists{Current: f.ids})
	}
}

// traffic returns the mean and the largest bytes a second of a router over
// some rounds, heartbeats of its links included.
func (f *views) traffic(rounds int) (mean, most float64) {
	clear(f.bytes)
	clear(f.links)
	for range rounds {
		f.round()
	}
	heartbeats := make([]float64, len(f.list))
	for l := range f.links {
		// Both sides send at most one empty frame a second, of 3 and 7 bytes.
		heartbeats[l[0]] += 10
		heartbeats[l[1]] += 10
	}
	seconds := float64(rounds) * round.Seconds()
	for i, n := range f.bytes {
		s := float64(n)/seconds + heartbeats[i]
		mean += s / float64(len(f.bytes))
		most = max(most, s)
	}
	return mean, most
}

// fresh returns how many routers are fresh.
func (f *views) fresh() (n int) {
	for _, v := range f.list {
		if ok, _ := v.Fresh(f.now); ok {
			n++
		}
	}
	return n
}

// BenchmarkFleet measures the bytes a second of a router of 400, in and out,
// and the rounds until a change and a confirmation reach all.
func BenchmarkFleet(b *testing.B) {
	for _, c := range []struct {
		name                 string
		down, always, packed bool
	}{
		{"suspended", false, false, true},
		{"outage/packed", true, false, true},
		{"outage/unpacked", true, false, false},
		{"always/packed", false, true, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := newViews(b, 400)
			for b.Loop() {
				f.down, f.always, f.packed = c.down, c.always, c.packed
				least := len(f.list)
				for range 40 {
					f.round()
					least = min(least, f.fresh())
				}
				mean, most := f.traffic(40)
				b.ReportMetric(mean, "B/s")
				b.ReportMetric(most, "B/s-most")
				b.ReportMetric(float64(least), "fresh-least")
			}
		})
	}
	b.Run("change", func(b *testing.B) {
		f := newViews(b, 400)
		for b.Loop() {
			f.version++
			v := f.list[0]
			v.Hold(f.version, freshness.Lists{Current: f.ids})
			v.Watch(f.now, f.version)
			start, all, accepted := f.now, time.Duration(0), time.Duration(0)
			clear(f.bytes)
			for all == 0 || accepted == 0 {
				f.round()
				if held, total := v.Accepted(f.now, f.version); accepted == 0 && 2*held > total {
					accepted = f.now.Sub(start)
				}
				n := 0
				for _, v := range f.list {
					if v.Held() == f.version {
						n++
					}
				}
				if all == 0 && n == len(f.list) {
					all = f.now.Sub(start)
				}
				assert.Assert(b, f.now.Sub(start) < time.Minute)
			}
			b.ReportMetric(float64(all/round), "rounds/all")
			b.ReportMetric(accepted.Seconds(), "s/accepted")
			b.ReportMetric(float64(f.bytes[0])/f.now.Sub(start).Seconds(), "B/s-watcher")
		}
	})
	b.Run("confirmation", func(b *testing.B) {
		f := newViews(b, 400)
		for b.Loop() {
			f.down = true
			for range 20 {
				f.round()
			}
			start := f.now
			f.list[0].Read(f.now, f.version)
			n, rounds := 0, 0
			for n < len(f.list) && rounds < 8 {
				f.round()
				rounds++
				n = 0
				for _, v := range f.list {
					if ok, r := v.Fresh(f.now); ok && r == freshness.Table {
						n++
					}
				}
			}
			b.ReportMetric(float64(rounds), "rounds/all")
			b.ReportMetric(float64(n), "reached")
			b.ReportMetric(f.now.Sub(start).Seconds(), "s")
		}
	})
}
