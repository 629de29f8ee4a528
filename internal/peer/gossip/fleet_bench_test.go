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
	// frameOverheadBytes is the size of the head of a frame and of the
	// WebSocket header with its mask.
	frameOverheadBytes = 9
	roundInterval      = 250 * time.Millisecond
	cellCount          = 300
)

// viewFleet is a fleet of freshness views in one process. In each round every
// view sends requests to its gossip peers, in random order, and receives the
// replies at once.
type viewFleet struct {
	b            *testing.B
	codec        *wire.Codec
	rand         *rand.Rand
	now          time.Time
	platformDown bool
	fullGossip   bool
	packedAges   bool
	views        []*freshness.View
	ids          []galenalatch.RouterID
	index        map[galenalatch.RouterID]int
	bytes        []int
	links        map[[2]int]bool
	nextRead     []time.Time
	version      galenalatch.Version
	listSum      uint64
}

func newViewFleet(b *testing.B, n int) *viewFleet {
	c, err := wire.New()
	assert.NilError(b, err)
	f := &viewFleet{
		b: b, codec: c, packedAges: true, rand: rand.New(rand.NewPCG(1, 2)), now: time.Now(),
		index: make(map[galenalatch.RouterID]int), bytes: make([]int, n), links: make(map[[2]int]bool),
		nextRead: make([]time.Time, n), version: 1,
	}
	f.ids = benchIDs(n)
	for i, id := range f.ids {
		f.index[id] = i
		f.views = append(f.views, freshness.New(freshness.Options{Self: id, Started: f.now, LastStamp: 1 << 31}))
	}
	f.listSum = listSum(f.ids)
	f.now = f.now.Add(time.Millisecond)
	for i, v := range f.views {
		v.SetInstances(f.ids)
		v.SetHeld(1, freshness.Lists{Current: f.ids})
		v.RecordRead(f.now, 1)
		f.nextRead[i] = f.now.Add(time.Duration(f.rand.Int64N(int64(v.ReadInterval(f.now)))))
	}
	for i := range cellCount {
		h := galenalatch.Holder{
			Cell:   galenalatch.CellID{Pool: galenalatch.PoolName(fmt.Sprint("model-", i/10)), DataCentre: "bical", Index: i % 10},
			Router: f.ids[i%n], Epoch: 12,
		}
		for _, v := range f.views {
			v.SetHolder(f.now, h)
		}
	}
	for range 40 {
		f.round()
	}
	return f
}

// listSum returns the checksum of a router list, as sent by a router without a
// confirmed catalogue.
func listSum(ids []galenalatch.RouterID) uint64 {
	v := freshness.New(freshness.Options{Self: "x", Started: time.Now()})
	v.SetInstances(ids)
	return v.Request(time.Now(), "x").Gossip.ListSum
}

func (f *viewFleet) count(from, to int, m galenalatch.Message) {
	b, err := f.codec.Encode(m)
	assert.NilError(f.b, err)
	f.bytes[from] += len(b) + frameOverheadBytes
	f.bytes[to] += len(b) + frameOverheadBytes
	f.links[[2]int{min(from, to), max(from, to)}] = true
}

// round advances the time by 250 ms and runs one round of all views.
func (f *viewFleet) round() {
	f.now = f.now.Add(roundInterval)
	for _, i := range f.rand.Perm(len(f.views)) {
		v := f.views[i]
		if !f.platformDown && !f.now.Before(f.nextRead[i]) {
			v.RecordRead(f.now, f.version)
			f.nextRead[i] = f.now.Add(v.ReadInterval(f.now))
		}
		for _, p := range v.GossipPeers(f.now, f.rand) {
			j := f.index[p]
			o := f.views[j]
			q := v.Request(f.now, p)
			if f.fullGossip {
				q.Gossip.Holders = v.Holders()
				q.Gossip.ListSum = f.listSum
			}
			if q.Gossip.ListSum != 0 && !f.packedAges {
				q.Gossip.ListSum = 1
			}
			f.count(i, j, q)
			a := o.Reply(f.now, q)
			if f.fullGossip {
				a.Holders = o.Holders()
			}
			f.count(j, i, a)
			v.Merge(f.now, p, a)
			f.fetchChange(i, j)
			f.fetchChange(j, i)
		}
	}
}

// fetchChange makes router i fetch a change of 300 bytes from router j if it
// holds an older version.
func (f *viewFleet) fetchChange(i, j int) {
	if v := f.views[j].Held(); v > f.views[i].Held() {
		f.count(i, j, galenalatch.ChangesRequest{After: f.views[i].Held()})
		f.count(j, i, galenalatch.Changes{Changes: [][]byte{make([]byte, 300)}})
		f.views[i].SetHeld(v, freshness.Lists{Current: f.ids})
	}
}

// traffic runs some rounds and returns the mean and the maximum of the bytes
// per second of a router, including the heartbeats of its connections.
func (f *viewFleet) traffic(rounds int) (mean, most float64) {
	clear(f.bytes)
	clear(f.links)
	for range rounds {
		f.round()
	}
	heartbeats := make([]float64, len(f.views))
	for l := range f.links {
		// Each side sends at most one empty frame per second; the two have 3
		// and 7 bytes.
		heartbeats[l[0]] += 10
		heartbeats[l[1]] += 10
	}
	seconds := float64(rounds) * roundInterval.Seconds()
	for i, n := range f.bytes {
		s := float64(n)/seconds + heartbeats[i]
		mean += s / float64(len(f.bytes))
		most = max(most, s)
	}
	return mean, most
}

// fresh returns the number of fresh routers.
func (f *viewFleet) fresh() (n int) {
	for _, v := range f.views {
		if ok, _ := v.Fresh(f.now); ok {
			n++
		}
	}
	return n
}

// BenchmarkFleet measures the bytes per second, in and out, of one router in a
// fleet of 400, and the rounds until a change and a confirmation have reached
// all routers.
//
// In the cases named "always" each message carries all holders and requests the
// last contacts. In "packed" cases the reply holds one byte for each router, in
// "unpacked" cases a list of names.
func BenchmarkFleet(b *testing.B) {
	for _, c := range []struct {
		name                                 string
		platformDown, fullGossip, packedAges bool
	}{
		{"suspended", false, false, true},
		{"outage/packed", true, false, true},
		{"outage/unpacked", true, false, false},
		{"always/packed", false, true, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := newViewFleet(b, 400)
			for b.Loop() {
				f.platformDown, f.fullGossip, f.packedAges = c.platformDown, c.fullGossip, c.packedAges
				least := len(f.views)
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
		f := newViewFleet(b, 400)
		for b.Loop() {
			f.version++
			v := f.views[0]
			v.SetHeld(f.version, freshness.Lists{Current: f.ids})
			v.AwaitAcceptance(f.now, f.version)
			start, all, accepted := f.now, time.Duration(0), time.Duration(0)
			clear(f.bytes)
			for all == 0 || accepted == 0 {
				f.round()
				if held, total := v.Accepted(f.now, f.version); accepted == 0 && 2*held > total {
					accepted = f.now.Sub(start)
				}
				n := 0
				for _, v := range f.views {
					if v.Held() == f.version {
						n++
					}
				}
				if all == 0 && n == len(f.views) {
					all = f.now.Sub(start)
				}
				assert.Assert(b, f.now.Sub(start) < time.Minute)
			}
			b.ReportMetric(float64(all/roundInterval), "rounds/all")
			b.ReportMetric(accepted.Seconds(), "s/accepted")
			b.ReportMetric(float64(f.bytes[0])/f.now.Sub(start).Seconds(), "B/s-watcher")
		}
	})
	b.Run("confirmation", func(b *testing.B) {
		f := newViewFleet(b, 400)
		for b.Loop() {
			f.platformDown = true
			for range 20 {
				f.round()
			}
			start := f.now
			f.views[0].RecordRead(f.now, f.version)
			n, rounds := 0, 0
			for n < len(f.views) && rounds < 8 {
				f.round()
				rounds++
				n = 0
				for _, v := range f.views {
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
