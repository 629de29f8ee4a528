package demo

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/operator/client"
	"github.com/galenalatch/galenalatch/internal/operator/message"
	"github.com/galenalatch/galenalatch/internal/standin/platform"
)

const (
	author = "demo"
	// inForce bounds the time in which a change must be in force, and
	// serviceEnds the time after which a data centre out of service must get
	// no new work.
	inForce     = 5 * time.Second
	serviceEnds = 3 * time.Second
	// countFor is the least time for which late work is counted.
	countFor = 500 * time.Millisecond
	// stepWait bounds one step.
	stepWait = 30 * time.Second
)

// story is what happens to the fleet while calls are made.
type story struct {
	*Demo
	// out is the data centre that is taken out of service, stopped the
	// router that is stopped.
	out galenalatch.DataCentre
	// taken is closed when it is out, at the time outAt.
	taken   chan struct{}
	outAt   time.Time
	runs    int
	counted bool
	stopped *member
	ending  sync.WaitGroup
}

func newStory(d *Demo) *story {
	return &story{Demo: d, out: dataCentres[d.random.IntN(len(dataCentres))], taken: make(chan struct{})}
}

// step happens at a part of the duration.
type step struct {
	at  float64
	run func(ctx context.Context)
}

// run makes the steps and ends when the last one is complete.
func (s *story) run(ctx context.Context, done chan struct{}) {
	defer close(done)
	s.ending.Add(1)
	go s.countOut(ctx)
	began := time.Now()
	for _, p := range []step{
		{0.05, s.book},
		{0.10, s.takeOut},
		{0.45, s.bringBack},
		{0.50, s.turnCold},
		{0.60, s.stopRouter},
		{0.72, s.platformDown},
		{0.88, s.platformUp},
	} {
		at := time.Duration(p.at * float64(s.options.Duration))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(at))):
			s.do(ctx, p)
		}
	}
	s.ending.Wait()
}

func (s *story) do(ctx context.Context, p step) {
	ctx, cancel := context.WithTimeout(ctx, stepWait)
	defer cancel()
	p.run(ctx)
}

// operator returns a client of a router that is not stopped.
func (s *story) operator() *client.Client {
	for _, r := range s.site.routers {
		if r != s.stopped {
			return s.site.operator(r)
		}
	}
	return nil
}

// change takes the data centre out of service or back in.
func (s *story) change(ctx context.Context, out bool) (message.Result, time.Duration, error) {
	began := time.Now()
	res, err := s.operator().DataCentre(ctx, s.out, out, message.Service{ID: uuid.NewString(), Author: author})
	return res, time.Since(began), err
}

// mustChange is change for times at which the platform works.
func (s *story) mustChange(ctx context.Context, out bool) bool {
	way := "back in"
	if out {
		way = "out of"
	}
	res, took, err := s.change(ctx, out)
	if err != nil {
		s.fault("data centre %s could not be taken %s service: %v", s.out, way, err)
		return false
	}
	s.say("an operator takes data centre %s %s service: version %d %s, held by %d of %d routers after %v",
		s.out, way, res.Version, res.State, res.Held, res.Total, took.Round(time.Millisecond))
	if res.State != message.Accepted || took > inForce {
		s.fault("version %d was not in force after %v", res.Version, inForce)
	}
	return true
}

func (s *story) takeOut(ctx context.Context) {
	defer close(s.taken)
	if s.mustChange(ctx, true) {
		s.outAt = time.Now()
	}
}

// runsOut returns the runs that began in the data centre out of service.
func (s *story) runsOut() int {
	n := 0
	for _, b := range s.site.backends {
		if b.dataCentre == s.out {
			n += b.runs()
		}
	}
	return n
}

func (s *story) bringBack(ctx context.Context) {
	// On a busy machine the data centre may have been taken out late.
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Until(s.outAt.Add(serviceEnds + countFor))):
	}
	late, counted := s.lateRuns()
	switch {
	case !counted:
		s.fault("the requests that data centre %s got were not counted", s.out)
	case late > 0:
		s.fault("data centre %s got %d new requests later than %v after it was taken out of service", s.out, late, serviceEnds)
	default:
		s.say("data centre %s got no new request from %v after it was taken out of service", s.out, serviceEnds)
	}
	s.mustChange(ctx, false)
}

// turnCold restarts the engine that has the most to lose.
func (s *story) turnCold(context.Context) {
	var all []*backend
	for _, b := range s.site.backendsOf(modelPool) {
		if b.dataCentre != s.out {
			all = append(all, b)
		}
	}
	b := slices.MaxFunc(all, func(a, b *backend) int { return cmp.Compare(a.Stats().Running, b.Stats().Running) })
	running := b.Stats().Running
	b.TurnCold()
	s.say("%s restarts without warning with %d running requests, and is cold", b.id, running)
}

// stopRouter stops the router that holds the most cells.
func (s *story) stopRouter(ctx context.Context) {
	cells := make(map[*member][]string)
	for _, r := range s.site.routers {
		st, err := s.site.operator(r).Status(ctx)
		if err != nil {
			s.fault("router %s gave no status: %v", r.id, err)
			return
		}
		for _, c := range st.Cells {
			cells[r] = append(cells[r], c.Cell.String())
		}
	}
	r := slices.MaxFunc(s.site.routers, func(a, b *member) int { return cmp.Compare(len(cells[a]), len(cells[b])) })
	if err := s.site.platform.SetInstance(r.instance(true)); err != nil {
		s.fault("instance list: %v", err)
		return
	}
	s.stopped = r
	s.say("%s is stopped; it holds the cells %s", r.id, strings.Join(cells[r], ", "))
	s.ending.Add(1)
	go s.awaitStop(time.Now(), r)
}

// platformDown makes the platform refuse all calls, and shows what an
// operator is told then.
func (s *story) platformDown(ctx context.Context) {
	s.site.platform.SetFaults(platform.Faults{Down: true})
	s.say("the platform is down")
	if _, _, err := s.change(ctx, true); galenalatch.OutcomeOf(err) == galenalatch.NotRun && err != nil {
		s.say("a change of the catalogue is refused: %v", err)
	} else {
		s.fault("a change was not refused while the platform was down: %v", err)
	}
}

func (s *story) platformUp(context.Context) {
	s.site.platform.SetFaults(platform.Faults{})
	s.say("the platform answers again")
}
