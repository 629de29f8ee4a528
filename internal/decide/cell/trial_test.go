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

// workspaceLoad is a workspace that keeps a number of requests open, or one
// that submits at a rate per second when openRequests is zero.
type workspaceLoad struct {
	name         galenalatch.WorkspaceName
	class        galenalatch.Class
	openRequests int
	rate         float64
	cost         int64
	weight       int64
	paused       bool
	// home is the number of the home cell, or 0 for the rendezvous hash.
	home int
	// maxRunning replaces the limit of the pool when it is not zero.
	maxRunning int
	// movesHome says that the home cell changes every ten samples.
	movesHome bool

	currentOpen, waiting int
	served               int64
	running              map[*fakeRequest]bool
	samples              []int64
	everIdle             bool
	waits                *hdrhistogram.Histogram
}

// poolLoad describes a pool and its load.
type poolLoad struct {
	pool        galenalatch.Pool
	dataCentres int
	// servers is the number of backend servers of the pool.
	servers int
	// routers is the number of routers that serve the pool.
	routers  int
	unitTime time.Duration
	// cellsWithServers is the number of cells with servers, or 0 for all.
	cellsWithServers int
	maxRunning       int
	workspaces       []workspaceLoad
	config           Config
}

// trial simulates one policy under one load.
type trial struct {
	*simulation
	load         poolLoad
	central      *centralDispatcher
	workspaces   []*workspaceLoad
	workspaceOf  map[*fakeRequest]*workspaceLoad
	cellNames    []string
	cellIDs      []galenalatch.CellID
	requestCount int
	bytesSent    map[*fakeRouter]int64
	bytesByType  map[string]int64
	// peakBytes is the largest number of bytes that all routers sent in a
	// second.
	peakBytes    int64
	decisionTime time.Duration
	grants       int
	utilisation  float64
}

// policies are the names of the compared policies.
var policies = []string{"cells", "fifo", "static"}

func newTrial(z poolLoad, policy string) *trial {
	w := newSimulation(7, z.pool)
	w.unitTime, w.config = z.unitTime, z.config
	w.catalogue.DefaultLimits = galenalatch.Entry{Weight: 1, MaxRunning: z.maxRunning}
	t := &trial{simulation: w, load: z, workspaceOf: map[*fakeRequest]*workspaceLoad{}, bytesSent: map[*fakeRouter]int64{}, bytesByType: map[string]int64{}}
	w.onRequestStart, w.onRequestEnd = t.requestStarted, t.requestEnded
	for _, x := range z.workspaces {
		x.weight = max(1, x.weight)
		x.running = map[*fakeRequest]bool{}
		x.waits = hdrhistogram.New(1, 1e7, 3)
		w.catalogue.Entries = append(w.catalogue.Entries, galenalatch.Entry{Workspace: x.name, Class: x.class, Weight: x.weight, MaxRunning: cmp.Or(x.maxRunning, z.maxRunning)})
		t.workspaces = append(t.workspaces, &x)
	}
	slots := z.servers * z.pool.WarmLimit
	switch policy {
	case "fifo":
		t.central = &centralDispatcher{trial: t, policy: baseline.NewFIFO(), capacity: slots, requests: map[galenalatch.RequestID]*fakeRequest{}}
	case "static":
		t.central = &centralDispatcher{trial: t, policy: baseline.NewStaticPartition(slots, len(z.workspaces)), capacity: slots, requests: map[galenalatch.RequestID]*fakeRequest{}}
	default:
		t.addCells()
	}
	for _, x := range t.workspaces {
		t.submitOpen(x)
		if x.openRequests == 0 {
			t.scheduleArrival(x)
		}
	}
	return t
}

func (t *trial) addCells() {
	z := t.load
	w := t.simulation
	w.onDecision = func(grants int, d time.Duration) { t.grants += grants; t.decisionTime += d }
	w.onSend = func(n *fakeRouter, m galenalatch.Message) {
		b, err := cbor.Marshal(m)
		if err != nil {
			w.fail("encode %T: %v", m, err)
		}
		// The type of the message and the header of its frame.
		t.bytesSent[n] += int64(len(b)) + 16
		t.bytesByType[m.MessageType()] += int64(len(b)) + 16
	}
	per := max(1, z.pool.CellsPerDataCentre)
	for i := range z.dataCentres {
		for j := range per {
			t.cellIDs = append(t.cellIDs, galenalatch.CellID{Pool: z.pool.Name, DataCentre: galenalatch.DataCentre(fmt.Sprint("d", i)), Index: j})
		}
	}
	for i := range z.routers {
		w.addRouter(fmt.Sprint("d", i%z.dataCentres))
	}
	for i := range z.servers {
		w.addServer(fmt.Sprint("s", i), t.cellIDs[i%cmp.Or(z.cellsWithServers, len(t.cellIDs))])
	}
	for i, id := range t.cellIDs {
		t.cellNames = append(t.cellNames, id.String())
		w.takeOver(w.routers[i%len(w.routers)], id)
	}
	for _, n := range w.routers {
		for i, id := range t.cellIDs {
			n.recordHolder(galenalatch.Holder{Cell: id, Router: w.routers[i%len(w.routers)].id, Epoch: 1})
		}
	}
}

// submitOpen submits until the workspace has enough open requests.
func (t *trial) submitOpen(x *workspaceLoad) {
	for !x.paused && x.currentOpen < x.openRequests {
		t.submit(x)
	}
}

func (t *trial) scheduleArrival(x *workspaceLoad) {
	t.after(time.Duration(t.rng.ExpFloat64()/x.rate*float64(time.Second)), func() {
		if !x.paused {
			t.submit(x)
		}
		t.scheduleArrival(x)
	})
}

func (t *trial) submit(x *workspaceLoad) {
	t.requestCount++
	// Costs vary by a factor of about 16 and are bounded by MaxCost.
	cost := int64(float64(x.cost) * math.Exp(t.rng.NormFloat64()*0.7-0.245))
	k := &fakeRequest{
		id: galenalatch.RequestID(fmt.Sprintf("q%015d", t.requestCount)), workspace: x.name, class: x.class,
		cost: min(max(1, cost), t.pool.MaxCost), estimate: t.pool.MaxCost,
	}
	t.workspaceOf[k] = x
	x.currentOpen++
	x.waiting++
	if t.central != nil {
		k.arrived = t.now
		t.central.submit(k)
		return
	}
	ranked := rendezvous.Hash{}.Rank(string(x.name), t.cellNames)
	k.home = t.cellIDs[cmp.Or(x.home, slices.Index(t.cellNames, ranked[0])+1)-1]
	// Requests are spread unevenly over the routers.
	n := t.routers[int(float64(len(t.routers))*t.rng.Float64()*t.rng.Float64())]
	n.submit(k)
}

func (t *trial) requestStarted(k *fakeRequest) {
	x := t.workspaceOf[k]
	x.waiting--
	x.running[k] = true
	_ = x.waits.RecordValue(max(1, t.now.Sub(k.arrived).Milliseconds()))
}

func (t *trial) requestEnded(k *fakeRequest) {
	x := t.workspaceOf[k]
	delete(t.workspaceOf, k)
	if x.running[k] {
		delete(x.running, k)
		x.served += k.cost
	} else {
		x.waiting--
	}
	x.currentOpen--
	t.submitOpen(x)
}

// reset starts a new measurement.
func (t *trial) reset() {
	t.bytesSent, t.bytesByType, t.decisionTime, t.grants, t.utilisation, t.peakBytes = map[*fakeRouter]int64{}, map[string]int64{}, 0, 0, 0, 0
	for _, x := range t.workspaces {
		x.samples, x.everIdle = nil, false
		x.waits.Reset()
	}
}

// measure runs the simulation for a number of seconds and samples the service
// of each workspace once a second.
func (t *trial) measure(seconds int) {
	for range seconds {
		before := t.totalBytes()
		t.run(time.Second)
		t.peakBytes = max(t.peakBytes, t.totalBytes()-before)
		for _, x := range t.workspaces {
			sum := x.served
			for k := range x.running {
				sum += min(k.cost, int64(t.now.Sub(k.started)/t.unitTime))
			}
			t.utilisation += float64(len(x.running))
			x.samples = append(x.samples, sum/x.weight)
			x.everIdle = x.everIdle || x.waiting == 0
			if x.movesHome {
				t.moveHome(x, len(x.samples)/10%len(t.cellIDs)+1)
			}
		}
	}
	t.utilisation /= float64(seconds * t.load.servers * t.pool.WarmLimit)
}

// totalBytes returns the number of bytes that all routers have sent.
func (t *trial) totalBytes() int64 {
	sum := int64(0)
	for _, b := range t.bytesSent {
		sum += b
	}
	return sum
}

// moveHome moves the waiting requests of a workspace to another home cell.
func (t *trial) moveHome(x *workspaceLoad, home int) {
	if x.home == home {
		return
	}
	x.home = home
	for _, n := range t.routers {
		for _, k := range sortedRequests(requestSet(n.requests)) {
			if k.workspace == x.name {
				n.moveRequest(k, t.cellIDs[home-1])
			}
		}
	}
}

// serviceGap returns the largest difference of service divided by weight
// between two counted workspaces that were backlogged all the time, over any
// interval of samples, and the mean of their service.
func (t *trial) serviceGap(counts func(*workspaceLoad) bool) (gap, mean float64) {
	var all [][]int64
	for _, x := range t.workspaces {
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

// gapBound returns the bound of the gap in service units, for weights of at
// least one: twice the largest cost of a workspace's running requests, twice
// the service of the pool in 1.2 s, and LendTolerance.
func (z poolLoad) gapBound() float64 {
	mu := float64(z.servers*z.pool.WarmLimit) / z.unitTime.Seconds()
	tolerance := float64(z.config.withDefaults().LendTolerance)
	if z.config.LendTolerance == 0 {
		tolerance = float64(z.pool.MaxCost / 4)
	}
	return 2*(float64(z.pool.MaxCost)*float64(z.maxRunning)+mu*1.2) + tolerance
}

// waitPercentile returns the q-th percentile of the waiting times of a
// workspace in seconds.
func (t *trial) waitPercentile(name galenalatch.WorkspaceName, q float64) float64 {
	for _, x := range t.workspaces {
		if x.name == name {
			return float64(x.waits.ValueAtQuantile(q)) / 1000
		}
	}
	return 0
}

// controlTraffic returns the bytes sent per second by the busiest router, and
// the mean over all routers.
func (t *trial) controlTraffic(seconds int) (busiest, mean float64) {
	for _, b := range t.bytesSent {
		busiest = max(busiest, float64(b))
		mean += float64(b)
	}
	return busiest / float64(seconds), mean / float64(seconds*len(t.routers))
}

// centralDispatcher applies a baseline policy to all slots of the pool. It has
// the complete state at any time, sends no messages and has no cold servers.
type centralDispatcher struct {
	trial     *trial
	policy    galenalatch.Policy
	requests  map[galenalatch.RequestID]*fakeRequest
	capacity  int
	usedSlots int
}

func (c *centralDispatcher) submit(k *fakeRequest) {
	c.requests[k.id] = k
	if err := c.policy.Add(c.trial.now, galenalatch.Waiting{Request: k.id, Workspace: k.workspace, Class: k.class, Estimate: k.estimate}); err != nil {
		c.trial.fail("add: %v", err)
	}
	c.dispatch()
}

func (c *centralDispatcher) dispatch() {
	for c.usedSlots < c.capacity {
		w, ok := c.policy.Next(c.trial.now)
		if !ok {
			return
		}
		k := c.requests[w.Request]
		c.usedSlots++
		k.started = c.trial.now
		c.trial.onRequestStart(k)
		c.trial.after(time.Duration(k.cost)*c.trial.unitTime, func() {
			c.usedSlots--
			delete(c.requests, k.id)
			c.policy.Settle(k.id, k.cost)
			c.trial.onRequestEnd(k)
			c.dispatch()
		})
	}
}
