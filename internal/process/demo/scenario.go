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
	// maxAcceptTime limits the time until a change is in force.
	// maxDispatchTime limits the time for which a data centre that was taken
	// out of service may still get new requests.
	maxAcceptTime   = 5 * time.Second
	maxDispatchTime = 3 * time.Second
	// minCountTime is the minimum time for which late requests are counted.
	minCountTime = 500 * time.Millisecond
	// stepTimeout limits the time of one step.
	stepTimeout = 30 * time.Second
)

// scenario is the sequence of faults and changes while requests are sent.
type scenario struct {
	*Demo
	// targetDataCentre is the data centre that is taken out of service.
	targetDataCentre galenalatch.DataCentre
	// takenOut is closed after the attempt to take the data centre out of
	// service. takenOutAt is the time of success, and zero before it.
	takenOut      chan struct{}
	takenOutAt    time.Time
	runsAtCount   int
	runsCounted   bool
	stoppedRouter *fleetRouter
	background    sync.WaitGroup
}

func newScenario(d *Demo) *scenario {
	return &scenario{Demo: d, targetDataCentre: dataCentres[d.random.IntN(len(dataCentres))], takenOut: make(chan struct{})}
}

// step is an action that runs after a fraction of the duration.
type step struct {
	fraction float64
	run      func(ctx context.Context)
}

// run executes the steps and returns when all of them, and the goroutines that
// they started, have ended.
func (s *scenario) run(ctx context.Context, done chan struct{}) {
	defer close(done)
	s.background.Add(1)
	go s.countRuns(ctx)
	began := time.Now()
	for _, p := range []step{
		{0.05, s.bookWithSameKey},
		{0.10, s.takeOutOfService},
		{0.45, s.returnToService},
		{0.50, s.restartEngine},
		{0.60, s.stopRouter},
		{0.72, s.platformDown},
		{0.88, s.platformUp},
	} {
		at := time.Duration(p.fraction * float64(s.options.Duration))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(at))):
			s.runStep(ctx, p)
		}
	}
	s.background.Wait()
}

func (s *scenario) runStep(ctx context.Context, p step) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	p.run(ctx)
}

// operatorClient returns a client of the operators' API of the first router that
// is not stopped.
func (s *scenario) operatorClient() *client.Client {
	for _, r := range s.fleet.routers {
		if r != s.stoppedRouter {
			return s.fleet.operatorClient(r)
		}
	}
	return nil
}

// setOutOfService takes the data centre out of service or returns it. It also
// returns the time that this took.
func (s *scenario) setOutOfService(ctx context.Context, outOfService bool) (message.ApplyResult, time.Duration, error) {
	began := time.Now()
	res, err := s.operatorClient().SetDataCentreService(ctx, s.targetDataCentre, outOfService, message.ServiceRequest{ID: uuid.NewString(), Author: author})
	return res, time.Since(began), err
}

// mustSetOutOfService is setOutOfService while the platform works: an error or a
// change that is not in force in time is a fault. It reports whether the change
// was made.
func (s *scenario) mustSetOutOfService(ctx context.Context, outOfService bool) bool {
	direction := "back in"
	if outOfService {
		direction = "out of"
	}
	res, took, err := s.setOutOfService(ctx, outOfService)
	if err != nil {
		s.reportFault("data centre %s could not be taken %s service: %v", s.targetDataCentre, direction, err)
		return false
	}
	s.logEvent("an operator takes data centre %s %s service: version %d %s, held by %d of %d routers after %v",
		s.targetDataCentre, direction, res.Version, res.State, res.Holders, res.Total, took.Round(time.Millisecond))
	if res.State != message.Accepted || took > maxAcceptTime {
		s.reportFault("version %d was not in force after %v", res.Version, maxAcceptTime)
	}
	return true
}

func (s *scenario) takeOutOfService(ctx context.Context) {
	defer close(s.takenOut)
	if s.mustSetOutOfService(ctx, true) {
		s.takenOutAt = time.Now()
	}
}

// dataCentreRuns returns the number of runs that have begun in s.targetDataCentre.
func (s *scenario) dataCentreRuns() int {
	n := 0
	for _, b := range s.fleet.backends {
		if b.dataCentre == s.targetDataCentre {
			n += b.runs()
		}
	}
	return n
}

func (s *scenario) returnToService(ctx context.Context) {
	// On a busy machine the data centre may have been taken out of service
	// late, and the late requests must still be counted for minCountTime.
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Until(s.takenOutAt.Add(maxDispatchTime + minCountTime))):
	}
	late, counted := s.lateRuns()
	switch {
	case !counted:
		s.reportFault("the requests that data centre %s got were not counted", s.targetDataCentre)
	case late > 0:
		s.reportFault("data centre %s got %d new requests later than %v after it was taken out of service", s.targetDataCentre, late, maxDispatchTime)
	default:
		s.logEvent("data centre %s got no new request from %v after it was taken out of service", s.targetDataCentre, maxDispatchTime)
	}
	s.mustSetOutOfService(ctx, false)
}

// restartEngine restarts the engine with the most running requests, outside of
// s.targetDataCentre.
func (s *scenario) restartEngine(context.Context) {
	var all []*backend
	for _, b := range s.fleet.backendsOf(modelPool) {
		if b.dataCentre != s.targetDataCentre {
			all = append(all, b)
		}
	}
	b := slices.MaxFunc(all, func(a, b *backend) int { return cmp.Compare(a.Stats().Running, b.Stats().Running) })
	running := b.Stats().Running
	b.Restart()
	s.logEvent("%s restarts without warning with %d running requests, and is cold", b.id, running)
}

// stopRouter stops the router that holds the most cells.
func (s *scenario) stopRouter(ctx context.Context) {
	cells := make(map[*fleetRouter][]string)
	for _, r := range s.fleet.routers {
		st, err := s.fleet.operatorClient(r).Status(ctx)
		if err != nil {
			s.reportFault("router %s returned no status: %v", r.id, err)
			return
		}
		for _, c := range st.Cells {
			cells[r] = append(cells[r], c.Cell.String())
		}
	}
	r := slices.MaxFunc(s.fleet.routers, func(a, b *fleetRouter) int { return cmp.Compare(len(cells[a]), len(cells[b])) })
	if err := s.fleet.platform.SetInstance(r.instance(true)); err != nil {
		s.reportFault("instance list: %v", err)
		return
	}
	s.stoppedRouter = r
	s.logEvent("%s is stopped; it holds the cells %s", r.id, strings.Join(cells[r], ", "))
	s.background.Add(1)
	go s.awaitDrain(time.Now(), r)
}

// platformDown makes the platform refuse all calls, and checks that a change by an
// operator is refused then.
func (s *scenario) platformDown(ctx context.Context) {
	s.fleet.platform.SetFaults(platform.Faults{Down: true})
	s.logEvent("the platform is down")
	if _, _, err := s.setOutOfService(ctx, true); galenalatch.OutcomeOf(err) == galenalatch.NotRun && err != nil {
		s.logEvent("a change of the catalogue is refused: %v", err)
	} else {
		s.reportFault("a change was not refused while the platform was down: %v", err)
	}
}

func (s *scenario) platformUp(context.Context) {
	s.fleet.platform.SetFaults(platform.Faults{})
	s.logEvent("the platform answers again")
}
