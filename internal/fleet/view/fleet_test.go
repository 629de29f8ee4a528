package view

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/decide/placement"
	"github.com/galenalatch/galenalatch/internal/fleet/relay"
	"github.com/galenalatch/galenalatch/internal/standin/rows"
)

const (
	pool = "pool"
	// tick is the pause between two requests of each router for each server.
	tick = 50 * time.Millisecond
	// leavingBound and outBound are the operators' bounds for new requests to
	// a server that leaves and to a data centre that is out of service.
	leavingBound = 2 * time.Second
	outBound     = 5 * time.Second
	// contact is how long after a fault of the store or of the way to it the
	// bounds hold again.
	contact = 3 * time.Second
	// known is how long after a change or a fault a server is in use again.
	known    = 4 * time.Second
	coldTime = 3 * time.Second
	coldRate = 7.3
	// coldBound is the operators' bound for a cold server in any second.
	coldBound = 1.5*coldRate + 5
)

var (
	dataCentres = []galenalatch.DataCentre{"a", "b", "c"}
	errCut      = errors.New("the way to the store is cut")
)

// link is a router's way to the store.
type link struct {
	*rows.Store
	mu    sync.Mutex
	fault rows.Fault
}

func (l *link) set(f rows.Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// pass waits for ctx on a silent way and fails on a broken one.
func (l *link) pass(ctx context.Context) error {
	l.mu.Lock()
	f := l.fault
	l.mu.Unlock()
	switch f {
	case rows.Sound:
		return nil
	case rows.Silent:
		<-ctx.Done()
	}
	return errCut
}

// Operators implements galenalatch.Store.
func (l *link) Operators(ctx context.Context, after uint64, wait time.Duration) (galenalatch.OperatorUpdate, error) {
	if err := l.pass(ctx); err != nil {
		return galenalatch.OperatorUpdate{}, err
	}
	u, err := l.Store.Operators(ctx, after, wait)
	if err == nil {
		err = l.pass(ctx)
	}
	return u, err
}

// Servers implements galenalatch.Store.
func (l *link) Servers(ctx context.Context, after uint64, wait time.Duration) (galenalatch.ServerUpdate, error) {
	if err := l.pass(ctx); err != nil {
		return galenalatch.ServerUpdate{}, err
	}
	u, err := l.Store.Servers(ctx, after, wait)
	if err == nil {
		err = l.pass(ctx)
	}
	return u, err
}

// follower is a router that follows the store.
type follower struct {
	id    galenalatch.RouterID
	link  *link
	relay *relay.Store
	table *placement.Table
	// muted are until when answers of each relay do not reach the router.
	muted [2]atomic.Pointer[time.Time]
	// faulty is until when its way to the store is not sound.
	faulty time.Time
	// seen is what it knew about each server since the server's last change.
	seen map[galenalatch.ServerID]knowledge
}

// knowledge is what a router showed to know about a server.
type knowledge struct {
	since time.Time
	used  bool
	left  bool
}

// published is the truth about a server.
type published struct {
	registration galenalatch.Registration
	present      bool
	leaving      time.Time
	changed      time.Time
	cold         time.Time
	arrivals     []time.Time
}

// action is one event of a history, after a pause. Faults have a length.
type action struct {
	Pause, Length time.Duration
	Kind          string
	Router        int
	Server        int
	// Other is the relay that a muted router still hears, if there is one.
	Other int
	Fault rows.Fault
}

// fleet is several routers with one store, and an oracle that knows the truth
// and the rules.
type fleet struct {
	store     *rows.Store
	routers   []*follower
	servers   []*published
	out       map[galenalatch.DataCentre]time.Time
	changedDC map[galenalatch.DataCentre]time.Time
	faulty    time.Time
	broken    string
	wait      sync.WaitGroup
}

func newFleet(ctx context.Context, routers, servers int) *fleet {
	f := &fleet{store: rows.New(), out: make(map[galenalatch.DataCentre]time.Time), changedDC: make(map[galenalatch.DataCentre]time.Time)}
	f.store.Configure(&galenalatch.Configuration{Version: 1, Services: map[string]galenalatch.Service{
		pool: {Name: pool, Engine: true, ColdTime: coldTime, ColdRate: coldRate},
	}})
	for i := range servers {
		f.servers = append(f.servers, &published{registration: galenalatch.Registration{
			ID: galenalatch.ServerID(fmt.Sprint("s", i)), Service: pool, DataCentre: dataCentres[i%len(dataCentres)], Slots: 4,
		}})
		f.publish(f.servers[i], 0)
	}
	var ids []galenalatch.RouterID
	for i := range routers {
		ids = append(ids, galenalatch.RouterID(fmt.Sprint("r", i)))
	}
	for i, id := range ids {
		f.routers = append(f.routers, f.newRouter(i, id, ids))
	}
	start := time.Now()
	for _, r := range f.routers {
		v := New(Options{
			Store: r.relay, Table: r.table, Clock: func() time.Duration { return time.Since(start) }, Events: &quiet{},
			OperatorWait: 1500 * time.Millisecond,
		})
		f.wait.Go(func() { _ = v.Run(ctx) })
	}
	return f
}

// newRouter returns a router; in a fleet of four and more the first two are
// relays.
func (f *fleet) newRouter(i int, id galenalatch.RouterID, all []galenalatch.RouterID) *follower {
	r := &follower{
		id: id, link: &link{Store: f.store}, seen: make(map[galenalatch.ServerID]knowledge),
		table: placement.New(placement.Options{Self: id, Local: "a", ReadRate: 50, ColdOver: 1.5, ColdSlack: 5}),
	}
	r.table.SetMembers(all)
	r.relay = relay.New(relay.Options{Store: r.link, Send: func(s galenalatch.StoreAnswer) {
		for _, o := range f.routers[2:] {
			if m := o.muted[i].Load(); m == nil || !time.Now().Before(*m) {
				o.relay.Deliver(s)
			}
		}
	}})
	switch {
	case len(all) < 4:
	case i < 2:
		r.relay.SetMode(relay.Relaying)
	default:
		r.relay.SetMode(relay.Listening)
	}
	return r
}

// publish puts a new process of the server into the store.
func (f *fleet) publish(p *published, cold time.Duration) {
	now := time.Now()
	p.registration.Started++
	p.registration.Leaving = false
	p.registration.ColdFor = cold
	p.registration.Address = fmt.Sprintf("10.0.0.1:%d", p.registration.Started)
	p.present, p.leaving, p.changed, p.cold = true, time.Time{}, now, now.Add(cold)
	f.store.Register(p.registration)
}

func (f *fleet) do(a action) {
	now := time.Now()
	r, p := f.routers[a.Router%len(f.routers)], f.servers[a.Server%len(f.servers)]
	d := p.registration.DataCentre
	switch a.Kind {
	case "leave":
		if p.present && !p.registration.Leaving {
			p.registration.Leaving, p.leaving, p.changed = true, now, now
			f.store.Register(p.registration)
		}
	case "remove":
		if p.present {
			p.present, p.changed = false, now
			if p.leaving.IsZero() {
				p.leaving = now
			}
			f.store.Unregister(p.registration.ID)
		}
	case "start":
		if !p.present {
			f.publish(p, coldTime)
		}
	case "out":
		if f.out[d].IsZero() {
			f.out[d], f.changedDC[d] = now, now
			f.store.SetOut(d, true)
		}
	case "in":
		if !f.out[d].IsZero() {
			f.back(now, d)
		}
	case "cut":
		r.link.set(a.Fault)
		r.faulty = now.Add(a.Length)
	case "store":
		f.store.SetFault(a.Fault)
		f.faulty = now.Add(a.Length)
	case "mute":
		for i := range 2 {
			if a.Other != i {
				end := now.Add(a.Length)
				r.muted[i].Store(&end)
			}
		}
	}
}

// back returns a data centre to service. Its servers are cold for all routers
// that could learn that it was out.
func (f *fleet) back(now time.Time, d galenalatch.DataCentre) {
	delete(f.out, d)
	f.changedDC[d] = now
	f.store.SetOut(d, false)
}

// step ends the faults that are over and lets each router send a request to
// each server.
func (f *fleet) step() {
	now := time.Now()
	if !f.faulty.IsZero() && !now.Before(f.faulty) {
		f.store.SetFault(rows.Sound)
	}
	for _, r := range f.routers {
		if !r.faulty.IsZero() && !now.Before(r.faulty) {
			r.link.set(rows.Sound)
		}
		r.table.Expire(now)
		for _, p := range f.servers {
			f.request(now, r, p)
		}
	}
}

// request sends a request that only one server may take, and checks whether
// it may.
func (f *fleet) request(now time.Time, r *follower, p *published) {
	var others []galenalatch.ServerID
	for _, o := range f.servers {
		if o != p {
			others = append(others, o.registration.ID)
		}
	}
	id := p.registration.ID
	usable := r.table.Usable(now, id)
	place, ok := r.table.Choose(now, placement.Ask{Service: pool, Exclude: others})
	if ok {
		r.table.First(now, place)
		r.table.Done(now, place, placement.Served)
	}
	// A request to an earlier process at another address does not arrive.
	arrives := ok && place.Address == p.registration.Address
	f.checkLeft(now, r, p, usable, arrives)
	f.checkKnown(now, r, p, usable)
	if arrives && now.Before(p.cold) {
		p.arrivals = slices.DeleteFunc(append(p.arrivals, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
		if float64(len(p.arrivals)) > coldBound {
			f.fail("%s: %d requests in a second while cold", id, len(p.arrivals))
		}
	}
}

// checkLeft finds requests to servers that leave, are gone or out of service.
func (f *fleet) checkLeft(now time.Time, r *follower, p *published, usable, arrives bool) {
	id, out := p.registration.ID, f.out[p.registration.DataCentre]
	changed := latest(p.changed, f.changedDC[p.registration.DataCentre])
	k := r.seen[id]
	if !k.since.Equal(changed) {
		k = knowledge{since: changed}
	}
	if p.leaving.IsZero() && out.IsZero() {
		r.seen[id] = k
		return
	}
	if arrives && k.left {
		f.fail("%s uses %s again although it knew that it is to get no requests", r.id, id)
	}
	k.left = k.left || k.used && !usable
	k.used = k.used || usable
	r.seen[id] = k
	sound := latest(r.faulty, f.faulty).Add(contact)
	if !arrives || now.Before(sound) {
		return
	}
	if !p.leaving.IsZero() && now.Sub(p.leaving) > leavingBound {
		f.fail("%s: request to %s, which left %s ago", r.id, id, now.Sub(p.leaving))
	}
	if !out.IsZero() && now.Sub(out) > outBound {
		f.fail("%s: request to %s, out of service for %s", r.id, id, now.Sub(out))
	}
}

// checkKnown finds servers that stay unused.
func (f *fleet) checkKnown(now time.Time, r *follower, p *published, usable bool) {
	if !p.leaving.IsZero() || !f.out[p.registration.DataCentre].IsZero() {
		return
	}
	changed := latest(p.changed, f.changedDC[p.registration.DataCentre])
	if due := latest(changed, r.faulty, f.faulty).Add(known); !usable && now.After(due) {
		f.fail("%s does not use %s, which returned %s ago", r.id, p.registration.ID, now.Sub(changed))
	}
}

func (f *fleet) fail(format string, args ...any) {
	if f.broken == "" {
		f.broken = fmt.Sprintf(format, args...)
	}
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// playHistory plays a history and returns the first rule that was broken.
func playHistory(t *testing.T, routers, servers int, history []action) string {
	var broken string
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, routers, servers)
		time.Sleep(known)
		began := time.Now()
		for i, a := range append(history, action{Pause: known + contact}) {
			for end := time.Now().Add(a.Pause); time.Now().Before(end); time.Sleep(tick) {
				f.step()
			}
			if f.broken != "" {
				broken = fmt.Sprintf("after %s, before action %d: %s", time.Since(began), i, f.broken)
				break
			}
			f.do(a)
		}
		f.store.SetFault(rows.Sound)
		cancel()
		f.wait.Wait()
	})
	return broken
}

// Guards against requests to servers that leave or are out of service beyond
// the operators' bounds, against too many requests for cold servers as a sum
// over all routers, and against servers that stay unused, in histories of
// faults of the store, of the ways to it and between the routers.
func TestDrainAndEvacuation(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		routers := rapid.IntRange(2, 6).Draw(r, "routers")
		servers := rapid.IntRange(1, 5).Draw(r, "servers")
		history := rapid.SliceOfN(rapid.Custom(drawAction), 1, 8).Draw(r, "history")
		if broken := playHistory(t, routers, servers, history); broken != "" {
			r.Fatal(broken)
		}
	})
}

func drawAction(r *rapid.T) action {
	a := action{
		Pause: time.Duration(rapid.IntRange(0, 60).Draw(r, "pause")) * tick,
		Kind: rapid.SampledFrom([]string{
			"leave", "leave", "remove", "start", "start", "out", "in", "cut", "store", "mute", "mute",
		}).Draw(r, "kind"),
		Router: rapid.IntRange(0, 5).Draw(r, "router"),
		Server: rapid.IntRange(0, 4).Draw(r, "server"),
	}
	switch a.Kind {
	case "cut":
		a.Fault = rapid.SampledFrom([]rows.Fault{rows.Refusing, rows.Silent}).Draw(r, "fault")
	case "store":
		a.Fault = rapid.SampledFrom([]rows.Fault{rows.Refusing, rows.Silent, rows.Forgetful}).Draw(r, "fault")
	case "mute":
		a.Other = rapid.IntRange(0, 2).Draw(r, "relay that is heard")
	default:
		return a
	}
	a.Length = time.Duration(rapid.IntRange(1, 120).Draw(r, "length")) * tick
	return a
}
