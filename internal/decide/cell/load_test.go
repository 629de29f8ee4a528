package cell

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"
	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/baseline"
	"github.com/galenalatch/galenalatch/internal/decide/rendezvous"
)

// tenant is a workspace that keeps a number of requests open, or one that
// submits at a rate when open is zero.
type tenant struct {
	name   galenalatch.WorkspaceName
	class  galenalatch.Class
	open   int
	rate   float64
	cost   int64
	weight int64
	asleep bool
	// home is the number of the home cell, or 0 for the rendezvous hash.
	home int
	// maxRunning replaces the limit of the pool when it is not zero.
	maxRunning int
	// moves changes the home at each sample.
	moves bool

	current, waiting int
	served           int64
	running          map[*call]bool
	samples          []int64
	everIdle         bool
	waits            *hdrhistogram.Histogram
}

// size describes a pool and its load.
type size struct {
	pool    galenalatch.Pool
	centres int
	// workers is the number of servers of the pool.
	workers int
	// nodes is the pool's part of the routers.
	nodes int
	unit  time.Duration
	// serving is the number of cells with servers, or 0 for all.
	serving    int
	maxRunning int
	tenants    []tenant
	config     Config
}

// trial runs one policy on one size.
type trial struct {
	*world
	size    size
	central *central
	tenants []*tenant
	byCall  map[*call]*tenant
	cells   []string
	ids     []galenalatch.CellID
	calls   int
	bytes   map[*node]int64
	byType  map[string]int64
	// peak is the largest number of bytes that all nodes sent in a second.
	peak   int64
	work   time.Duration
	grants int
	busy   float64
}

// policies are the names of the compared policies.
var policies = []string{"cells", "first", "static"}

func newTrial(z size, policy string) *trial {
	w := newWorld(7, z.pool)
	w.unit, w.config = z.unit, z.config
	w.catalogue.DefaultLimits = galenalatch.Entry{Weight: 1, MaxRunning: z.maxRunning}
	t := &trial{world: w, size: z, byCall: map[*call]*tenant{}, bytes: map[*node]int64{}, byType: map[string]int64{}}
	w.onStart, w.onEnd = t.started, t.ended
	for _, x := range z.tenants {
		x.weight = max(1, x.weight)
		x.running = map[*call]bool{}
		x.waits = hdrhistogram.New(1, 1e7, 3)
		w.catalogue.Entries = append(w.catalogue.Entries, galenalatch.Entry{Workspace: x.name, Class: x.class, Weight: x.weight, MaxRunning: cmp.Or(x.maxRunning, z.maxRunning)})
		t.tenants = append(t.tenants, &x)
	}
	slots := z.workers * z.pool.WarmLimit
	switch policy {
	case "first":
		t.central = &central{trial: t, policy: baseline.NewFirstCome(), capacity: slots, calls: map[galenalatch.RequestID]*call{}}
	case "static":
		t.central = &central{trial: t, policy: baseline.NewStatic(slots, len(z.tenants)), capacity: slots, calls: map[galenalatch.RequestID]*call{}}
	default:
		t.addCells()
	}
	for _, x := range t.tenants {
		t.fill(x)
		if x.open == 0 {
			t.arrive(x)
		}
	}
	return t
}

func (t *trial) addCells() {
	z := t.size
	w := t.world
	w.onWork = func(grants int, d time.Duration) { t.grants += grants; t.work += d }
	w.onSend = func(n *node, m galenalatch.Message) {
		b, err := cbor.Marshal(m)
		if err != nil {
			w.fail("encode %T: %v", m, err)
		}
		// The type of the message and the header of its frame.
		t.bytes[n] += int64(len(b)) + 16
		t.byType[m.MessageType()] += int64(len(b)) + 16
	}
	per := max(1, z.pool.CellsPerDataCentre)
	for i := range z.centres {
		for j := range per {
			t.ids = append(t.ids, galenalatch.CellID{Pool: z.pool.Name, DataCentre: galenalatch.DataCentre(fmt.Sprint("d", i)), Index: j})
		}
	}
	for i := range z.nodes {
		w.addNode(fmt.Sprint("d", i%z.centres))
	}
	for i := range z.workers {
		w.addServer(fmt.Sprint("s", i), t.ids[i%cmp.Or(z.serving, len(t.ids))])
	}
	for i, id := range t.ids {
		t.cells = append(t.cells, id.String())
		w.hold(w.nodes[i%len(w.nodes)], id)
	}
	for _, n := range w.nodes {
		for i, id := range t.ids {
			n.learn(galenalatch.Holder{Cell: id, Router: w.nodes[i%len(w.nodes)].id, Epoch: 1})
		}
	}
}

// fill submits until the tenant has enough open requests.
func (t *trial) fill(x *tenant) {
	for !x.asleep && x.current < x.open {
		t.submit(x)
	}
}

func (t *trial) arrive(x *tenant) {
	t.after(time.Duration(t.rng.ExpFloat64()/x.rate*float64(time.Second)), func() {
		if !x.asleep {
			t.submit(x)
		}
		t.arrive(x)
	})
}

func (t *trial) submit(x *tenant) {
	t.calls++
	// Costs vary by a factor of about 16 and are bounded by MaxCost.
	cost := int64(float64(x.cost) * math.Exp(t.rng.NormFloat64()*0.7-0.245))
	k := &call{
		id: galenalatch.RequestID(fmt.Sprintf("q%015d", t.calls)), workspace: x.name, class: x.class,
		cost: min(max(1, cost), t.pool.MaxCost), hint: t.pool.MaxCost,
	}
	t.byCall[k] = x
	x.current++
	x.waiting++
	if t.central != nil {
		k.arrived = t.now
		t.central.submit(k)
		return
	}
	ranked := rendezvous.Hash{}.Rank(string(x.name), t.cells)
	k.home = t.ids[cmp.Or(x.home, slices.Index(t.cells, ranked[0])+1)-1]
	// Workspaces are spread unevenly over the entries.
	n := t.nodes[int(float64(len(t.nodes))*t.rng.Float64()*t.rng.Float64())]
	n.submit(k)
}

func (t *trial) started(k *call) {
	x := t.byCall[k]
	x.waiting--
	x.running[k] = true
	_ = x.waits.RecordValue(max(1, t.now.Sub(k.arrived).Milliseconds()))
}

func (t *trial) ended(k *call) {
	x := t.byCall[k]
	delete(t.byCall, k)
	if x.running[k] {
		delete(x.running, k)
		x.served += k.cost
	} else {
		x.waiting--
	}
	x.current--
	t.fill(x)
}

// reset starts a new measurement.
func (t *trial) reset() {
	t.bytes, t.byType, t.work, t.grants, t.busy, t.peak = map[*node]int64{}, map[string]int64{}, 0, 0, 0, 0
	for _, x := range t.tenants {
		x.samples, x.everIdle = nil, false
		x.waits.Reset()
	}
}

// measure runs for a number of seconds and samples once a second.
func (t *trial) measure(seconds int) {
	for range seconds {
		before := t.sent()
		t.run(time.Second)
		t.peak = max(t.peak, t.sent()-before)
		for _, x := range t.tenants {
			sum := x.served
			for k := range x.running {
				sum += min(k.cost, int64(t.now.Sub(k.started)/t.unit))
			}
			t.busy += float64(len(x.running))
			x.samples = append(x.samples, sum/x.weight)
			x.everIdle = x.everIdle || x.waiting == 0
			if x.moves {
				t.moveHome(x, len(x.samples)/10%len(t.ids)+1)
			}
		}
	}
	t.busy /= float64(seconds * t.size.workers * t.pool.WarmLimit)
}

// sent returns the number of bytes that all nodes have sent.
func (t *trial) sent() int64 {
	sum := int64(0)
	for _, b := range t.bytes {
		sum += b
	}
	return sum
}

// moveHome moves the waiting requests of a tenant to another home cell.
func (t *trial) moveHome(x *tenant, home int) {
	if x.home == home {
		return
	}
	x.home = home
	for _, n := range t.nodes {
		for _, k := range sortedCalls(callSet(n.calls)) {
			if k.workspace == x.name {
				n.move(k, t.ids[home-1])
			}
		}
	}
}

// gap is the largest difference of normalised service between two workspaces
// that are backlogged all the time, over any interval of samples.
func (t *trial) gap(counts func(*tenant) bool) (gap, mean float64) {
	var all [][]int64
	for _, x := range t.tenants {
		if !x.everIdle && counts(x) {
			all = append(all, x.samples)
			mean += float64(x.samples[len(x.samples)-1] - x.samples[0])
		}
	}
	if len(all) < 2 {
		return 0, 0
	}
	for i := range all[0] {
		for j := i + 1; j < len(all[0]); j++ {
			low, high := int64(math.MaxInt64), int64(0)
			for _, s := range all {
				low, high = min(low, s[j]-s[i]), max(high, s[j]-s[i])
			}
			gap = max(gap, float64(high-low))
		}
	}
	return gap, mean / float64(len(all))
}

// bound is the formula of the design page for weights of at least one.
func (z size) bound() float64 {
	mu := float64(z.workers*z.pool.WarmLimit) / z.unit.Seconds()
	tolerance := float64(z.config.withDefaults().LendTolerance)
	if z.config.LendTolerance == 0 {
		tolerance = float64(z.pool.MaxCost / 4)
	}
	return 2*(float64(z.pool.MaxCost)*float64(z.maxRunning)+mu*1.2) + tolerance
}

// wait returns the q-th percentile of the waits of a tenant in seconds.
func (t *trial) wait(name galenalatch.WorkspaceName, q float64) float64 {
	for _, x := range t.tenants {
		if x.name == name {
			return float64(x.waits.ValueAtQuantile(q)) / 1000
		}
	}
	return 0
}

// control returns the bytes sent per second by the busiest node, and the mean
// over the fleet.
func (t *trial) control(seconds int) (busiest, mean float64) {
	for _, b := range t.bytes {
		busiest = max(busiest, float64(b))
		mean += float64(b)
	}
	return busiest / float64(seconds), mean / float64(seconds*len(t.nodes))
}

// central is a dispatcher with perfect knowledge that applies a baseline
// policy to all slots of the pool, without messages and without cold starts.
type central struct {
	trial    *trial
	policy   galenalatch.Policy
	calls    map[galenalatch.RequestID]*call
	capacity int
	used     int
}

func (c *central) submit(k *call) {
	c.calls[k.id] = k
	if err := c.policy.Add(c.trial.now, galenalatch.Waiting{Request: k.id, Workspace: k.workspace, Class: k.class, Estimate: k.hint}); err != nil {
		c.trial.fail("add: %v", err)
	}
	c.pump()
}

func (c *central) pump() {
	for c.used < c.capacity {
		w, ok := c.policy.Next(c.trial.now)
		if !ok {
			return
		}
		k := c.calls[w.Request]
		c.used++
		k.started = c.trial.now
		c.trial.onStart(k)
		c.trial.after(time.Duration(k.cost)*c.trial.unit, func() {
			c.used--
			delete(c.calls, k.id)
			c.policy.Settle(k.id, k.cost)
			c.trial.onEnd(k)
			c.pump()
		})
	}
}
